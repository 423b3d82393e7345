package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// Publisher hands messages in by AMQP 0-9-1, with the client library in common use. It gives answers as the statuses
// that the HTTP/2 side has: ack is 201, a nack with the message returned is 503, a nack alone is 502.
type Publisher struct {
	url   string
	next  atomic.Uint64
	lines []*line
}

// line is one connection with one channel; it reconnects when it is next used.
type line struct {
	mu      sync.Mutex
	conn    *amqp.Connection
	ch      *amqp.Channel
	returns chan amqp.Return
	wait    map[string]int64 // told with a returned message, by its correlation-id
}

// NewPublisher makes a Publisher for a tenant, with so many connections.
func NewPublisher(addr, tenant, password string, conns int) *Publisher {
	p := &Publisher{url: fmt.Sprintf("amqp://%s:%s@%s/", tenant, password, addr)}
	for range max(1, conns) {
		p.lines = append(p.lines, &line{})
	}
	return p
}

// Close closes the connections.
func (p *Publisher) Close() {
	for _, l := range p.lines {
		l.mu.Lock()
		if l.conn != nil {
			_ = l.conn.Close()
		}
		l.mu.Unlock()
	}
}

// open returns the line's channel, made anew where it is closed.
func (l *line) open(url string) (*amqp.Channel, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ch != nil && !l.ch.IsClosed() {
		return l.ch, nil
	}
	if l.conn == nil || l.conn.IsClosed() {
		conn, err := amqp.DialConfig(url, amqp.Config{Heartbeat: 10 * time.Second, Vhost: "/", Dial: amqp.DefaultDial(2 * time.Second)})
		if err != nil {
			return nil, err
		}
		l.conn = conn
	}
	ch, err := l.conn.Channel()
	if err != nil {
		return nil, err
	}
	if err := ch.Confirm(false); err != nil {
		return nil, err
	}
	// The library hands over a return before the nack that follows it; the buffer keeps it from waiting for us.
	l.returns, l.wait = ch.NotifyReturn(make(chan amqp.Return, 20000)), map[string]int64{}
	l.ch = ch
	return ch, nil
}

// returned tells whether a message came back, and the wait that was told, in milliseconds.
func (l *line) returned(id string) (wait int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		select {
		case r, open := <-l.returns:
			if open {
				ms, _ := r.Headers["x-retry-after"].(int64)
				l.wait[r.CorrelationId] = ms
				continue
			}
			l.returns = nil
		default:
		}
		break
	}
	wait, ok = l.wait[id]
	delete(l.wait, id)
	return wait, ok
}

// Send publishes one message to the default exchange and waits for its confirm.
func (p *Publisher) Send(ctx context.Context, m *Message) (status, wait int, name string, err error) {
	l := p.lines[p.next.Add(1)%uint64(len(p.lines))]
	pub := amqp.Publishing{Body: m.body(), CorrelationId: m.CorrelationID, MessageId: m.IdempotencyKey, Expiration: strconv.Itoa(m.TTL * 1000)}
	if m.OrderKey != "" {
		pub.Headers = amqp.Table{"x-order-key": m.OrderKey}
	}
	var ch *amqp.Channel
	var confirm *amqp.DeferredConfirmation
	for { // a channel found closed has sent nothing
		// A dispatcher killed within this process may leave a connection that it had just accepted open and mute: it
		// is given up after its time, and made anew. Without that all messages of the line waited half a minute.
		if ch, err = l.open(p.url); errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			continue
		} else if err != nil {
			return 0, 0, "", err
		}
		confirm, err = ch.PublishWithDeferredConfirmWithContext(ctx, "", m.Path, false, false, pub)
		if err == nil {
			break
		}
		if !errors.Is(err, amqp.ErrClosed) || ctx.Err() != nil {
			return 0, 0, "", err
		}
	}
	served, err := confirm.WaitContext(ctx)
	switch {
	case err != nil:
		return 0, 0, "", err
	case served:
		return http.StatusCreated, 0, "", nil
	}
	if ms, ok := l.returned(m.CorrelationID); ok {
		return http.StatusServiceUnavailable, int((ms + 999) / 1000), "", nil
	}
	if ch.IsClosed() { // the library says no for all that a closed channel leaves open
		return 0, 0, "", errors.New("channel closed before an answer")
	}
	return http.StatusBadGateway, 0, "", nil
}
