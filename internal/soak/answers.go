package soak

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"whinrun/internal/testbed"
)

// handle answers a call as the fault mode says. Without a fault, 3 calls of 97 fail, and the others are answered 200.
func (p *proxiedEndpoint) handle(call testbed.Call) testbed.Reply {
	delay := time.Duration(2+call.Number*7%20) * time.Millisecond
	mode := p.mode.Load()
	if mode == nil {
		switch call.Number % 97 {
		case 13:
			return testbed.Reply{Status: 500, Delay: delay}
		case 31:
			return testbed.Reply{Status: 503, Delay: delay}
		case 57:
			return testbed.Reply{Drop: true, Delay: delay}
		}
		return testbed.Reply{Status: 200, Delay: delay}
	}
	switch mode.kind {
	case "hang":
		return testbed.Reply{Hang: true}
	case "drop":
		return testbed.Reply{Drop: true, Delay: delay}
	case "errors":
		return testbed.Reply{Status: 500, Delay: delay}
	case "busy":
		return testbed.Reply{Status: 503, Delay: delay}
	case "waits":
		return testbed.Reply{Status: 429, RetryAfter: time.Duration(200+call.Number*37%700) * time.Millisecond, Delay: delay}
	case "copies", "parts":
		return copiedReply(call, mode.kind == "parts")
	case "over":
		return overReply(call, delay)
	case "reset-behind":
		return testbed.Reply{Status: 200, Delay: delay, ResetAfter: resetAfter(call)}
	case "early-close":
		return earlyCloseReply(call)
	case "doubt":
		return doubtfulReply(call)
	case "slow":
		return testbed.Reply{Status: 200, Delay: time.Duration(200+call.Number*53%900) * time.Millisecond}
	}
	return malformedReply(call, delay)
}

// copiedReply returns an answer after up to 0.2 s. One in four is a refusal, and one in two is sent again, some of them
// twice. With parts set, the copies are cut off.
func copiedReply(call testbed.Call, parts bool) testbed.Reply {
	rng := rand.New(rand.NewPCG(uint64(call.Number), 0xc0b1))
	r := testbed.Reply{Status: []int{200, 200, 200, 503}[rng.IntN(4)], Delay: time.Duration(5+rng.IntN(195)) * time.Millisecond}
	// Most copies come soon, some up to a second later.
	longest := []int{10, 100, 1000}[rng.IntN(3)]
	for rng.IntN(2) == 0 {
		c := testbed.Copy{After: time.Duration(rng.IntN(longest)) * time.Millisecond}
		if parts {
			c.Cut = 1 + rng.IntN(60)
		}
		r.Copies = append(r.Copies, c)
	}
	return r
}

// malformedReply returns an answer that cannot be parsed, or one with extra bytes after it.
func malformedReply(call testbed.Call, delay time.Duration) testbed.Reply {
	single := !call.Bulk
	switch {
	case call.Number%4 == 0:
		return testbed.Reply{Status: 500, Raw: "\x16\x03\x01 noise\r\n\r\n", Delay: delay}
	// The status line is valid, so the checker counts the call as delivered.
	case call.Number%4 == 1 && single:
		return testbed.Reply{Status: 200, Raw: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore to come", Delay: delay}
	case call.Number%4 == 2:
		return testbed.Reply{Status: 500, Raw: "HTTP/1.1 5", Close: true, Delay: delay}
	}
	return testbed.Reply{Status: 200, TrailingBytes: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Delay: delay}
}

// overShare says how many messages there are for each that is over.
const overShare = 3

// isOver reports whether a message is over for an endpoint that ends messages.
func isOver(name string) bool { return xxhash.Sum64String(name)%overShare == 0 }

// endSome has a reply tell that some messages of a call are over. Half of these answers are cut off in a reset.
func endSome(call testbed.Call, reply testbed.Reply) testbed.Reply {
	for _, name := range call.MessageNames {
		if isOver(name) {
			reply.Over = append(reply.Over, name)
		}
	}
	if len(reply.Over) > 0 && call.Number%2 == 0 {
		reply.BreakAt = 13 + call.Number*31%90
	}
	return reply
}

// overReply returns an answer that tells that some messages are over.
func overReply(call testbed.Call, delay time.Duration) testbed.Reply {
	return endSome(call, testbed.Reply{Status: 200, Delay: delay})
}

// maxResetAfter is the longest time from an answer until the reset of its connection.
const maxResetAfter = 100 * time.Millisecond

// resetAfter returns the time from an answer until the reset of its connection.
func resetAfter(call testbed.Call) time.Duration {
	return time.Millisecond + time.Duration(call.Number*7919)*time.Microsecond%maxResetAfter
}

// maxIdleTime is the longest time from an answer until its endpoint closes the idle connection early.
const maxIdleTime = 60 * time.Millisecond

// earlyCloseReply returns an answer behind which the connection is closed unless a further call comes soon. One in two sends the
// answer again right before the close. One call in ten is refused.
func earlyCloseReply(call testbed.Call) testbed.Reply {
	rng := rand.New(rand.NewPCG(uint64(call.Number), 0xc105))
	reply := testbed.Reply{Status: 200, Delay: time.Duration(5+rng.IntN(60)) * time.Millisecond, CopyAtClose: rng.IntN(2) == 0}
	if rng.IntN(10) == 0 {
		reply.Status = 503
	}
	reply.CloseIdleAfter = time.Millisecond + time.Duration(rng.Int64N(int64(maxIdleTime)))
	return reply
}

// doubtfulReply returns an answer that may be a copy, be cut off, tell the end of messages, or be followed by a reset, or no answer
// at all.
func doubtfulReply(call testbed.Call) testbed.Reply {
	rng := rand.New(rand.NewPCG(uint64(call.Number), 0xd0b7))
	reply := endSome(call, copiedReply(call, rng.IntN(4) == 0))
	reply.Hang = rng.IntN(25) == 0
	if rng.IntN(10) < 3 {
		reply.ResetAfter = resetAfter(call)
	}
	return reply
}
