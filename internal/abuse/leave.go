package abuse

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"whinrun/internal/amqp"
	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

// LeaveOptions describe clients that hand in many messages at once and leave without reading an answer.
type LeaveOptions struct {
	Program ProgramConfig
	// Clients is the number of clients, one after the other, and Messages that of the messages of each.
	Clients, Messages int
	// After is how long a client stays before it resets its connection.
	After time.Duration
	// Orderly closes the connection in order instead.
	Orderly bool
}

// LeaveReport tells what became of the messages of clients that left.
type LeaveReport struct {
	// HandedIn is the number of messages.
	HandedIn int
	// Calls is the number of messages that were called, and Twice that of those called more than once.
	Calls, Twice int
	// Latest is the longest time between the end of a client's connection and a call for it.
	Latest time.Duration
}

func (r *LeaveReport) String() string {
	return fmt.Sprintf("%d of %d messages were called, the last %v behind the end of its client, %d more than once", r.Calls, r.HandedIn, r.Latest.Round(time.Millisecond), r.Twice)
}

// leaveRest is the time between two clients, in which calls for the first one are seen.
const leaveRest = 500 * time.Millisecond

// Leave starts a dispatcher and has clients leave it.
func Leave(o LeaveOptions) (*LeaveReport, error) {
	program, err := StartProgram(o.Program)
	if err != nil {
		return nil, err
	}
	defer program.Close()
	report := &LeaveReport{}
	left := map[string]time.Time{}
	for client := range o.Clients {
		ids := make([]string, o.Messages)
		for i := range ids {
			ids[i] = fmt.Sprintf("leave-%d-%d", client, i)
		}
		ended, err := o.playOnce(program.Addr, ids)
		if err != nil {
			return nil, err
		}
		for _, id := range ids {
			left[id] = ended
		}
		time.Sleep(leaveRest)
	}
	report.HandedIn = len(left)
	called := map[string]int{}
	for _, c := range program.calls() {
		ended, ours := left[c.id]
		if !ours {
			continue
		}
		if called[c.id]++; called[c.id] == 2 {
			report.Twice++
		}
		report.Latest = max(report.Latest, c.at.Sub(ended))
	}
	report.Calls = len(called)
	return report, nil
}

// playOnce hands in messages and leaves. It returns when the connection was ended.
func (o *LeaveOptions) playOnce(addr string, ids []string) (time.Time, error) {
	c, err := dial(context.Background(), addr)
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = c.Close() }()
	if err := o.handIn(c, ids); err != nil {
		return time.Time{}, err
	}
	time.Sleep(o.After)
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return time.Time{}, errors.New("not a TCP connection")
	}
	if !o.Orderly {
		_ = tcp.SetLinger(0)
	}
	return clock.Wall(), tcp.Close()
}

// handIn writes messages, as far as the protocol lets them pass without reading an answer.
func (o *LeaveOptions) handIn(c net.Conn, ids []string) error {
	var b []byte
	switch o.Program.Front {
	case ServeHTTP2:
		client, err := openHTTP2(c)
		if err != nil {
			return err
		}
		for _, id := range ids[:min(len(ids), client.protocol.AvailableStreams())] {
			if _, err := client.protocol.Request(client.watch.Elapsed(), pushFields("/p"), []byte(id)); err != nil {
				return err
			}
		}
		return client.send()
	case ServeAMQP:
		b = amqpLogin(1)
		for _, id := range ids {
			b = amqp.AppendContent(amqp.AppendMethod(b, 1, &amqp.BasicPublish{Exchange: "x", Key: "p"}), 1, &amqp.Properties{}, []byte(id), amqpFrame)
		}
	default:
		for _, id := range ids {
			m := emptyMessage(0)
			m.Name = id
			b = append(b, testbed.EncodeRequest(m)...)
		}
	}
	_, err := c.Write(b)
	return err
}
