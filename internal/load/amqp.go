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

// Publisher sends messages over AMQP 0-9-1 with the rabbitmq/amqp091-go client. It reports answers as the HTTP statuses
// of the push front: an ack is 201, a nack after a basic.return of the message is 503, and a nack alone is 502.
type Publisher struct {
	url   string
	next  atomic.Uint64
	conns []*amqpConn
}

// amqpConn is a connection with one channel. A closed connection is reopened at its next use.
type amqpConn struct {
	mu         sync.Mutex
	conn       *amqp.Connection
	ch         *amqp.Channel
	returns    chan amqp.Return
	retryAfter map[string]int64 // waits of returned messages in milliseconds, by correlation-id
}

// NewPublisher returns a Publisher for a tenant with at least one connection.
func NewPublisher(addr, tenant, password string, conns int) *Publisher {
	publisher := &Publisher{url: fmt.Sprintf("amqp://%s:%s@%s/", tenant, password, addr)}
	for range max(1, conns) {
		publisher.conns = append(publisher.conns, &amqpConn{})
	}
	return publisher
}

// Close closes the connections.
func (p *Publisher) Close() {
	for _, l := range p.conns {
		l.mu.Lock()
		if l.conn != nil {
			_ = l.conn.Close()
		}
		l.mu.Unlock()
	}
}

// openChannel returns the open channel of the connection. It opens the connection and the channel if necessary.
func (c *amqpConn) openChannel(url string) (*amqp.Channel, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ch != nil && !c.ch.IsClosed() {
		return c.ch, nil
	}
	if c.conn == nil || c.conn.IsClosed() {
		conn, err := amqp.DialConfig(url, amqp.Config{Heartbeat: 10 * time.Second, Vhost: "/", Dial: amqp.DefaultDial(2 * time.Second)})
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	ch, err := c.conn.Channel()
	if err != nil {
		return nil, err
	}
	if err := ch.Confirm(false); err != nil {
		return nil, err
	}
	// The library delivers a return before the nack that follows it. The buffer keeps it from blocking on the channel.
	c.returns, c.retryAfter = ch.NotifyReturn(make(chan amqp.Return, 20000)), map[string]int64{}
	c.ch = ch
	return ch, nil
}

// returned reports whether a message was returned, and the wait that came with it in milliseconds.
func (c *amqpConn) returned(id string) (wait int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		select {
		case r, open := <-c.returns:
			if open {
				ms, _ := r.Headers["x-retry-after"].(int64)
				c.retryAfter[r.CorrelationId] = ms
				continue
			}
			c.returns = nil
		default:
		}
		break
	}
	wait, ok = c.retryAfter[id]
	delete(c.retryAfter, id)
	return wait, ok
}

// Send implements Sender. It publishes the message to the default exchange and waits for its confirm.
func (p *Publisher) Send(ctx context.Context, m *Message) (status, retryAfter int, messageID string, err error) {
	conn := p.conns[p.next.Add(1)%uint64(len(p.conns))]
	publishing := amqp.Publishing{Body: m.body(), CorrelationId: m.CorrelationID, MessageId: m.IdempotencyKey, Expiration: strconv.Itoa(m.TTL * 1000)}
	if m.OrderKey != "" {
		publishing.Headers = amqp.Table{"x-order-key": m.OrderKey}
	}
	var ch *amqp.Channel
	var confirm *amqp.DeferredConfirmation
	// A publish on a closed channel sends nothing, so it is safe to repeat it on a new channel.
	for {
		// A dispatcher that is killed within this process can leave a connection open that it had just accepted. Nobody
		// answers there, and the handshake exceeds its deadline. The connection is then opened again. Without that, all
		// messages of the connection waited for half a minute.
		if ch, err = conn.openChannel(p.url); errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			continue
		} else if err != nil {
			return 0, 0, "", err
		}
		confirm, err = ch.PublishWithDeferredConfirmWithContext(ctx, "", m.Path, false, false, publishing)
		if err == nil {
			break
		}
		if !errors.Is(err, amqp.ErrClosed) || ctx.Err() != nil {
			return 0, 0, "", err
		}
	}
	acked, err := confirm.WaitContext(ctx)
	switch {
	case err != nil:
		return 0, 0, "", err
	case acked:
		return http.StatusCreated, 0, "", nil
	}
	if waitMs, ok := conn.returned(m.CorrelationID); ok {
		return http.StatusServiceUnavailable, int((waitMs + 999) / 1000), "", nil
	}
	// The library reports a nack for every publish that is unconfirmed when the channel closes.
	if ch.IsClosed() {
		return 0, 0, "", errors.New("channel closed before an answer")
	}
	return http.StatusBadGateway, 0, "", nil
}
