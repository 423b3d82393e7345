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

// amqpSettingsTemplate is settingsTemplate with the AMQP front.
const amqpSettingsTemplate = settingsTemplate + "[amqp]\nlisten = 127.0.0.1:0\n"

// Fronts compares the AMQP front, from publish to confirm, with the HTTP/2 front on the same stand-in. It also measures
// the memory of idle AMQP connections and channels, and the fairness between the fronts under overload.
func Fronts(ctx context.Context, w io.Writer, o Options) error {
	_, dispatcher, stop, err := startStandIn(partner.Config{ServiceTime: o.Pace}, amqpSettingsTemplate)
	if err != nil {
		return err
	}
	defer stop()
	err = measureInTurns(ctx, w, o, []*target{{name: "HTTP/2", addr: dispatcher.Addr().String()}, {name: "AMQP", addr: dispatcher.AMQPAddr().String(), amqp: true}})
	if err != nil {
		return err
	}
	if err := measureIdleAMQP(w, dispatcher.AMQPAddr().String()); err != nil {
		return err
	}
	return measureFairness(ctx, w, o)
}

// measureFairness offers one and a half times the rate that the partner accepts, half of it over each front. It counts
// the messages that each front got served within their aim of 1 s.
func measureFairness(ctx context.Context, w io.Writer, o Options) error {
	const capacity, offered = 600.0, 900.0
	template := strings.Replace(strings.Replace(amqpSettingsTemplate, "aim = 5s", "aim = 1s", 1), "deadline = 20s", "deadline = 3s", 1)
	_, dispatcher, stop, err := startStandIn(partner.Config{ServiceTime: o.Pace, RateLimit: capacity}, template)
	if err != nil {
		return err
	}
	defer stop()
	client, publisher := load.NewClient(dispatcher.Addr().String(), o.Conns), load.NewPublisher(dispatcher.AMQPAddr().String(), "t", "-", o.Conns)
	defer client.Close()
	defer publisher.Close()
	duration := 5 * o.For
	messages := make([]load.Message, int(offered*duration.Seconds()))
	for i := range messages {
		messages[i] = load.Message{At: time.Duration(float64(i) / offered * float64(time.Second)), CorrelationID: fmt.Sprint("f", i), Class: "status",
			Path: "/p/status", TTL: 3, BodySize: o.Size, AMQP: i%2 == 1}
	}
	start := clock.StartStopwatch()
	var servedInAim [2]int
	for _, r := range load.Run(ctx, load.MultiSender{Push: client, AMQP: publisher}, messages, func() time.Duration { return start.Elapsed() }, 20000) {
		if r.Status == 201 && r.Done-r.At <= time.Second {
			if r.AMQP {
				servedInAim[1]++
			} else {
				servedInAim[0]++
			}
		}
	}
	amqpShare := float64(servedInAim[1]) / float64(max(1, servedInAim[0]+servedInAim[1]))
	fmt.Fprintf(w, "overload: %.0f/s offered, %.0f/s taken by the stand-in, half by each front for %v: served in their aim HTTP/2 %d, AMQP %d; AMQP's part %.3f\n",
		offered, capacity, duration, servedInAim[0], servedInAim[1], amqpShare)
	return nil
}

// measureIdleAMQP measures the memory of idle connections and channels. The sockets of the clients are in the same
// process and are included.
func measureIdleAMQP(w io.Writer, addr string) error {
	const conns, channels = 900, 100
	before := heapInUse()
	single, err := dialRaw(addr, conns, 1)
	defer closeAll(single)
	if err != nil {
		return err
	}
	bytesPerConn := (heapInUse() - before) / conns
	closeAll(single)
	before = heapInUse()
	multi, err := dialRaw(addr, 20, channels)
	defer closeAll(multi)
	if err != nil {
		return err
	}
	bytesPerChannel := (heapInUse() - before - 20*bytesPerConn) / (20 * (channels - 1))
	fmt.Fprintf(w, "idle: %d bytes a connection with one channel, the client's socket with it; %d bytes a further channel\n", bytesPerConn, bytesPerChannel)
	runtime.KeepAlive(multi)
	return nil
}

// dialRaw opens connections with channels by sending a prepared handshake. A client library would take more memory than
// the connections that are measured. The caller closes the connections, also after an error.
func dialRaw(addr string, n, channels int) (opened []net.Conn, err error) {
	handshake := []byte(amqp.ProtocolHeader)
	handshake = amqp.AppendMethod(handshake, 0, &amqp.ConnectionStartOK{Mechanism: "PLAIN", Response: "\x00t\x00-"})
	handshake = amqp.AppendMethod(handshake, 0, &amqp.ConnectionTuneOK{})
	handshake = amqp.AppendMethod(handshake, 0, &amqp.ConnectionOpen{VHost: "/"})
	for id := 1; id <= channels; id++ {
		handshake = amqp.AppendMethod(handshake, uint16(id), &amqp.ChannelOpen{})
	}
	lastReply := amqp.AppendMethod(nil, uint16(channels), &amqp.ChannelOpenOK{})
	buf := make([]byte, 1<<16)
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return opened, err
		}
		opened = append(opened, c)
		if _, err := c.Write(handshake); err != nil {
			return opened, err
		}
		var received []byte
		for !bytes.HasSuffix(received, lastReply) {
			k, err := c.Read(buf)
			if err != nil {
				return opened, fmt.Errorf("connection %d: %w", len(opened), err)
			}
			received = append(received, buf[:k]...)
		}
	}
	return opened, nil
}
