package abuse

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"whinrun/internal/amqp"
	"whinrun/internal/clock"
	"whinrun/internal/h2"
	"whinrun/internal/testbed"
)

// behaviour plays one client on a new connection until that ends. ctx closes the connection. An error tells why the connection ended.
type behaviour func(ctx context.Context, c net.Conn) error

// behaviours are the ways to misbehave at each front, by name.
var behaviours = map[Front]map[string]behaviour{
	NodeHTTP1: {
		"half bodies":   http1HalfBody,
		"slow bodies":   http1SlowBody,
		"many fields":   http1ManyFields,
		"ready":         flood(func(int64) []byte { return []byte(readyRequest) }),
		"messages":      flood(func(n int64) []byte { return testbed.EncodeRequest(emptyMessage(n)) }),
		"unknown paths": flood(func(n int64) []byte { return fmt.Appendf(nil, "GET /x%d HTTP/1.1\r\nHost: x\r\n\r\n", n) }),
		"bad requests": flood(func(n int64) []byte {
			return fmt.Appendf(nil, "POST /status HTTP/1.1\r\nHost: x\r\nX-Txn: %d\r\n\r\n", n)
		}),
	},
	ServeHTTP2: {
		"half bodies":   http2HalfBodies,
		"many fields":   http2ManyFields,
		"messages":      http2Flood(func(n int64) []h2.Field { return pushFields("/p") }),
		"unknown paths": http2Flood(func(n int64) []h2.Field { return pushFields(fmt.Sprintf("/x%d", n)) }),
		"subscriptions": http2Flood(func(n int64) []h2.Field { return pushFields("/receipts/t") }),
	},
	ServeAMQP: {
		"half bodies": amqpHalfBodies,
		"half frames": amqpHalfFrame,
		"publishes": amqpFlood(func(b []byte, n int64) []byte {
			return amqp.AppendContent(amqp.AppendMethod(b, 1, &amqp.BasicPublish{Exchange: "x", Key: "p"}), 1, &amqp.Properties{}, nil, amqpFrame)
		}),
		"declares": amqpFlood(func(b []byte, n int64) []byte {
			return amqp.AppendMethod(b, 1, &amqp.QueueDeclare{Queue: fmt.Sprint("q", n)})
		}),
		"unknown queues": amqpFlood(func(b []byte, n int64) []byte {
			return amqp.AppendMethod(b, 1, &amqp.BasicGet{Queue: fmt.Sprint("q", n)})
		}),
	},
}

// Behaviours returns the names of the behaviours at a front.
func Behaviours(front Front) []string { return slices.Sorted(maps.Keys(behaviours[front])) }

// manyConnections is the usual number of clients that stop half way.
const manyConnections = 300

// UsualConnections returns the number of clients with which a behaviour is worth playing: one that floods, or hundreds that stop half way.
func UsualConnections(behaviour string) int {
	if slices.Contains([]string{"half bodies", "half frames", "slow bodies", "many fields"}, behaviour) {
		return manyConnections
	}
	return 1
}

// readyRequest is the smallest request that a node answers.
const readyRequest = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"

// names numbers what is to be new each time.
var names atomic.Int64

// Sizes of requests that stop half way, in bytes.
const (
	nodeBody, nodeBodySent   = 60_000, 30_000
	serveBody, http2BodySent = 240_000, 64_000
	amqpBodySent             = 200_000
	amqpFrame                = 128 << 10
)

// Numbers of streams and channels with a request that stops half way, for each connection.
const http2Streams, amqpChannels = 40, 5

// waitForEnd waits until the peer or ctx closes the connection.
func waitForEnd(c net.Conn) error {
	_, err := io.Copy(io.Discard, c)
	return err
}

// emptyMessage returns a message without a body for a node, with a new id.
func emptyMessage(n int64) testbed.Message {
	return testbed.Message{Name: fmt.Sprint("flood-", n), Class: "status", Tenant: "acme", Dest: 1, Remaining: time.Second}
}

// http1Head returns the head of a message with a large body for a node.
func http1Head() []byte {
	m := emptyMessage(names.Add(1))
	m.Body = strings.Repeat("x", nodeBody)
	return testbed.EncodeRequest(m)
}

// http1HalfBody sends a request up to the middle of its body.
func http1HalfBody(_ context.Context, c net.Conn) error {
	request := http1Head()
	if _, err := c.Write(request[:len(request)-nodeBody+nodeBodySent]); err != nil {
		return err
	}
	return waitForEnd(c)
}

// http1SlowBody sends a request in small pieces.
func http1SlowBody(_ context.Context, c net.Conn) error {
	request := http1Head()
	for len(request) > 0 {
		n := min(400, len(request))
		if _, err := c.Write(request[:n]); err != nil {
			return err
		}
		request = request[n:]
		time.Sleep(10 * time.Millisecond)
	}
	return waitForEnd(c)
}

// http1ManyFields sends a head of many short fields, and not its end.
func http1ManyFields(_ context.Context, c net.Conn) error {
	var head strings.Builder
	head.WriteString("POST /status HTTP/1.1\r\n")
	for i := range 60 {
		fmt.Fprintf(&head, "a%d: b\r\n", i)
	}
	if _, err := io.WriteString(c, head.String()); err != nil {
		return err
	}
	return waitForEnd(c)
}

// floodBatch is the number of requests in one write of a flood.
const floodBatch = 500

// flood returns a behaviour that sends requests at full speed, without waiting for answers, and reads these.
func flood(request func(n int64) []byte) behaviour {
	return func(_ context.Context, c net.Conn) error {
		go func() { _ = waitForEnd(c) }()
		var batch []byte
		for {
			batch = batch[:0]
			for range floodBatch {
				batch = append(batch, request(names.Add(1))...)
			}
			if _, err := c.Write(batch); err != nil {
				return err
			}
		}
	}
}

// pushFields returns the header fields of a push message.
func pushFields(path string) []h2.Field {
	return []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "x"}, {Name: ":path", Value: path},
		{Name: "ttl", Value: "1"}, {Name: "authorization", Value: "Bearer secret"}}
}

// http2Conn is a client connection.
type http2Conn struct {
	net.Conn
	protocol *h2.Conn
	watch    clock.Stopwatch
	buffer   []byte
}

// openHTTP2 exchanges SETTINGS on a connection.
func openHTTP2(c net.Conn) (*http2Conn, error) {
	client := &http2Conn{Conn: c, protocol: h2.NewClient(h2.Config{MaxStreams: 1000}, 0), watch: clock.StartStopwatch(), buffer: make([]byte, 64<<10)}
	for !client.protocol.SettingsReceived() {
		if err := client.exchange(); err != nil {
			return nil, err
		}
	}
	return client, client.send()
}

// send writes the output.
func (c *http2Conn) send() error {
	_, err := c.Write(c.protocol.Output())
	return err
}

// exchange writes the output and reads once.
func (c *http2Conn) exchange() error {
	if err := c.send(); err != nil {
		return err
	}
	n, err := c.Read(c.buffer)
	if err != nil {
		return err
	}
	_, err = c.protocol.Receive(c.watch.Elapsed(), c.buffer[:n])
	return err
}

// frameHeaderSize is the size of the header of an HTTP/2 frame, in bytes. The fourth byte is the type and the fifth holds the flags.
const frameHeaderSize = 9

// sendOpenEnded writes the output without the ends of bodies, so that the peer waits for more.
func (c *http2Conn) sendOpenEnded() error {
	out := c.protocol.Output()
	for at := 0; at+frameHeaderSize <= len(out); {
		if h2.FrameType(out[at+3]) == h2.FrameData {
			out[at+4] &^= h2.FlagEndStream
		}
		at += frameHeaderSize + int(out[at])<<16 + int(out[at+1])<<8 + int(out[at+2])
	}
	_, err := c.Write(out)
	return err
}

// openEnded opens streams with these fields and the beginning of a body.
func (c *http2Conn) openEnded(streams int, fields []h2.Field, body []byte) error {
	for range streams {
		if _, err := c.protocol.Request(c.watch.Elapsed(), fields, body); err != nil {
			return err
		}
		if err := c.sendOpenEnded(); err != nil {
			return err
		}
		for c.protocol.SendBlocked() {
			n, err := c.Read(c.buffer)
			if err != nil {
				return err
			}
			if _, err := c.protocol.Receive(c.watch.Elapsed(), c.buffer[:n]); err != nil {
				return err
			}
			if err := c.sendOpenEnded(); err != nil {
				return err
			}
		}
	}
	return waitForEnd(c)
}

// http2HalfBodies opens streams whose bodies stop in the middle.
func http2HalfBodies(_ context.Context, c net.Conn) error {
	client, err := openHTTP2(c)
	if err != nil {
		return err
	}
	fields := append(pushFields("/p"), h2.Field{Name: "content-length", Value: fmt.Sprint(serveBody)})
	return client.openEnded(http2Streams, fields, make([]byte, http2BodySent))
}

// http2ManyFields opens streams with as many short fields as a header section may have, whose bodies never come.
func http2ManyFields(_ context.Context, c net.Conn) error {
	client, err := openHTTP2(c)
	if err != nil {
		return err
	}
	fields := pushFields("/p")
	for i := range 350 {
		fields = append(fields, h2.Field{Name: fmt.Sprint("a", i), Value: "b"})
	}
	return client.openEnded(http2Streams, fields, make([]byte, 1))
}

// http2Flood returns a behaviour that opens streams without a body as fast as the peer allows.
func http2Flood(fields func(n int64) []h2.Field) behaviour {
	return func(_ context.Context, c net.Conn) error {
		client, err := openHTTP2(c)
		if err != nil {
			return err
		}
		for {
			for client.protocol.AvailableStreams() > 0 {
				if _, err := client.protocol.Request(client.watch.Elapsed(), fields(names.Add(1)), nil); err != nil {
					return err
				}
			}
			if err := client.exchange(); err != nil {
				return err
			}
		}
	}
}

// amqpLogin returns the handshake of a client, which opens channels.
func amqpLogin(channels int) []byte {
	b := amqp.AppendMethod([]byte(amqp.ProtocolHeader), 0, &amqp.ConnectionStartOK{Mechanism: "PLAIN", Response: "\x00t\x00secret"})
	b = amqp.AppendMethod(b, 0, &amqp.ConnectionTuneOK{})
	b = amqp.AppendMethod(b, 0, &amqp.ConnectionOpen{VHost: "/"})
	for i := range channels {
		b = amqp.AppendMethod(b, uint16(i+1), &amqp.ChannelOpen{})
	}
	return b
}

// amqpHalfBodies begins a publish on each of several channels that stops in the middle of its body.
func amqpHalfBodies(_ context.Context, c net.Conn) error {
	if _, err := c.Write(amqpLogin(amqpChannels)); err != nil {
		return err
	}
	for i := range amqpChannels {
		channel := uint16(i + 1)
		b := amqp.AppendMethod(nil, channel, &amqp.BasicPublish{Exchange: "x", Key: "p"})
		b = amqp.AppendContent(b, channel, &amqp.Properties{}, make([]byte, serveBody), 4096)
		if _, err := c.Write(b[:len(b)-(serveBody-amqpBodySent)]); err != nil {
			return err
		}
		if i < amqpChannels-1 { // The frame that was cut ends here, so that the next channel can begin.
			if _, err := c.Write(b[len(b)-(serveBody-amqpBodySent) : frameEndBehind(b, len(b)-(serveBody-amqpBodySent))]); err != nil {
				return err
			}
		}
	}
	return waitForEnd(c)
}

// frameEndBehind returns where the frame ends that has the byte at a position.
func frameEndBehind(b []byte, at int) int {
	end := 0
	for end < at {
		end += 8 + int(b[end+3])<<24 + int(b[end+4])<<16 + int(b[end+5])<<8 + int(b[end+6])
	}
	return end
}

// amqpHalfFrame begins a method frame of the largest size and stops before its end.
func amqpHalfFrame(_ context.Context, c net.Conn) error {
	b := amqpLogin(1)
	declare := amqp.AppendMethod(nil, 1, &amqp.QueueDeclare{Queue: "q", Arguments: amqp.Table{{Name: "a", Value: strings.Repeat("x", amqpFrame-100)}}})
	if _, err := c.Write(append(b, declare[:len(declare)-10]...)); err != nil {
		return err
	}
	return waitForEnd(c)
}

// amqpFlood returns a behaviour that sends methods at full speed.
func amqpFlood(request func(b []byte, n int64) []byte) behaviour {
	return func(_ context.Context, c net.Conn) error {
		go func() { _ = waitForEnd(c) }()
		batch := amqpLogin(1)
		for {
			for range floodBatch {
				batch = request(batch, names.Add(1))
			}
			if _, err := c.Write(batch); err != nil {
				return err
			}
			batch = batch[:0]
		}
	}
}
