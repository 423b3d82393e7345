package compare

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"time"

	"whinrun/internal/amqp"
	"whinrun/internal/clock"
	"whinrun/internal/load"
	"whinrun/internal/partner"
)

const amqpSettings = settings + "[amqp]\nlisten = 127.0.0.1:0\n"

// Fronts measures publish to confirm beside the HTTP/2 front on the same stand-in, fairness between the two under
// overload, and what an idle connection and channel take.
func Fronts(ctx context.Context, w io.Writer, o Options) error {
	_, s, stop, err := standIn(partner.Config{ServiceTime: o.Pace}, amqpSettings)
	if err != nil {
		return err
	}
	defer stop()
	err = inTurns(ctx, w, o, []*target{{name: "HTTP/2", addr: s.Addr().String()}, {name: "AMQP", addr: s.AMQPAddr().String(), amqp: true}})
	if err != nil {
		return err
	}
	if err := idleAMQP(w, s.AMQPAddr().String()); err != nil {
		return err
	}
	return fairness(ctx, w, o)
}

// fairness offers half of one and a half times what a partner takes by each front, and counts what each got served
// within its aim.
func fairness(ctx context.Context, w io.Writer, o Options) error {
	const takes, offered = 600.0, 900.0
	text := strings.Replace(strings.Replace(amqpSettings, "aim = 5s", "aim = 1s", 1), "deadline = 20s", "deadline = 3s", 1)
	_, s, stop, err := standIn(partner.Config{ServiceTime: o.Pace, RateLimit: takes}, text)
	if err != nil {
		return err
	}
	defer stop()
	client, publisher := load.NewClient(s.Addr().String(), o.Conns), load.NewPublisher(s.AMQPAddr().String(), "t", "-", o.Conns)
	defer client.Close()
	defer publisher.Close()
	length := 5 * o.For
	msgs := make([]load.Message, int(offered*length.Seconds()))
	for i := range msgs {
		msgs[i] = load.Message{At: time.Duration(float64(i) / offered * float64(time.Second)), CorrelationID: fmt.Sprint("f", i), Class: "status",
			Path: "/p/status", TTL: 3, BodySize: o.Size, AMQP: i%2 == 1}
	}
	start := clock.StartStopwatch()
	var got [2]int
	for _, r := range load.Run(ctx, load.MultiSender{Push: client, AMQP: publisher}, msgs, func() time.Duration { return start.Elapsed() }, 20000) {
		if r.Status == 201 && r.Done-r.At <= time.Second {
			if r.AMQP {
				got[1]++
			} else {
				got[0]++
			}
		}
	}
	share := float64(got[1]) / float64(max(1, got[0]+got[1]))
	fmt.Fprintf(w, "overload: %.0f/s offered, %.0f/s taken by the stand-in, half by each front for %v: served in their aim HTTP/2 %d, AMQP %d; AMQP's part %.3f\n",
		offered, takes, length, got[0], got[1], share)
	return nil
}

// idleAMQP measures idle connections and channels, the client's socket with them.
func idleAMQP(w io.Writer, addr string) error {
	const conns, channels = 900, 100
	before := heapNow()
	open, err := dialRaw(addr, conns, 1)
	defer closeAll(open)
	if err != nil {
		return err
	}
	per := (heapNow() - before) / conns
	closeAll(open)
	before = heapNow()
	few, err := dialRaw(addr, 20, channels)
	defer closeAll(few)
	if err != nil {
		return err
	}
	of := (heapNow() - before - 20*per) / (20 * (channels - 1))
	fmt.Fprintf(w, "idle: %d bytes a connection with one channel, the client's socket with it; %d bytes a further channel\n", per, of)
	runtime.KeepAlive(few)
	return nil
}

// dialRaw opens connections with channels by bytes written beforehand: a client library would take more than what is
// to be measured.
func dialRaw(addr string, n, channels int) (all []net.Conn, err error) {
	hello := []byte(amqp.ProtocolHeader)
	hello = amqp.AppendMethod(hello, 0, &amqp.ConnectionStartOK{Mechanism: "PLAIN", Response: "\x00t\x00-"})
	hello = amqp.AppendMethod(hello, 0, &amqp.ConnectionTuneOK{})
	hello = amqp.AppendMethod(hello, 0, &amqp.ConnectionOpen{VHost: "/"})
	for id := 1; id <= channels; id++ {
		hello = amqp.AppendMethod(hello, uint16(id), &amqp.ChannelOpen{})
	}
	last := amqp.AppendMethod(nil, uint16(channels), &amqp.ChannelOpenOK{})
	buf := make([]byte, 1<<16)
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return all, err
		}
		all = append(all, c)
		if _, err := c.Write(hello); err != nil {
			return all, err
		}
		var got []byte
		for !bytes.HasSuffix(got, last) {
			k, err := c.Read(buf)
			if err != nil {
				return all, fmt.Errorf("connection %d: %w", len(all), err)
			}
			got = append(got, buf[:k]...)
		}
	}
	return all, nil
}
