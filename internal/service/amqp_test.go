package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	wire "whinrun/internal/amqp"
	"whinrun/internal/load"
)

const withAMQP = `[amqp]
listen = 127.0.0.1:0
[exchange uploads]
class = upload
tenant = t
`

// dial connects with the client library in common use.
func dial(t *testing.T, s *Service) (*amqp.Connection, *amqp.Channel) {
	t.Helper()
	c, err := amqp.Dial(fmt.Sprintf("amqp://t:secret@%v/", s.AMQPAddr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	ch, err := c.Channel()
	if err != nil {
		t.Fatal(err)
	}
	return c, ch
}

func within(t *testing.T) context.Context {
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(stop)
	return ctx
}

// Interop: served, refused and failed each arrive in their documented form, and in full in the queue of answers.
func TestAMQPAnswers(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		switch {
		case strings.HasPrefix(string(b), "no"):
			w.WriteHeader(500)
		case strings.HasPrefix(string(b), "full"):
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(429)
		default:
			if r.Header.Get("Idempotency-Key") != `"0/id-ok"` || r.Header.Get("Topic") != "k1" || r.Header.Get("Urgency") != "high" ||
				r.Header.Get("Content-Type") != "text/x" || len(b) != 300000 {
				t.Errorf("%v, %d bytes", r.Header, len(b))
			}
			w.WriteHeader(201)
		}
	})
	s := start(t, addr, withAMQP+"[limits]\nbody = 1MiB\n")
	defer s.Kill()
	_, ch := dial(t, s)
	if err := ch.Confirm(false); err != nil {
		t.Fatal(err)
	}
	returns := ch.NotifyReturn(make(chan amqp.Return, 10))
	if err := ch.ExchangeDeclarePassive("uploads", "direct", true, false, false, false, nil); err != nil {
		t.Fatal(err)
	}
	q, err := ch.QueueDeclare("", false, false, true, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := ch.Qos(1, 0, false); err != nil {
		t.Fatal(err)
	}
	answers, err := ch.Consume(q.Name, "", false, false, false, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	big := strings.Repeat("x", 300000) // three frames
	for _, c := range []struct {
		body, answer string
		ack, back    bool
	}{{"ok" + big[2:], "served", true, false}, {"no", "failed", false, false}, {"full", "refused", false, true}} {
		ctx := within(t)
		d, err := ch.PublishWithDeferredConfirmWithContext(ctx, "uploads", "p", false, false, amqp.Publishing{Body: []byte(c.body), ReplyTo: q.Name,
			MessageId: "id-" + c.body[:2], CorrelationId: "c-" + c.body[:2], Priority: 9, ContentType: "text/x", Expiration: "900",
			Headers: amqp.Table{"x-order-key": "k1", "more": amqp.Table{"a": int32(1)}}})
		if err != nil {
			t.Fatal(err)
		}
		ack, err := d.WaitContext(ctx)
		if err != nil || ack != c.ack {
			t.Errorf("%s: ack %v, %v", c.answer, ack, err)
		}
		select {
		case a := <-answers:
			var body struct{ Answer, Message string }
			if err := json.Unmarshal(a.Body, &body); err != nil || body.Answer != c.answer || a.CorrelationId != "c-"+c.body[:2] || a.Type != c.answer {
				t.Errorf("%s: answer %s of %s, %v", c.answer, a.Body, a.CorrelationId, err)
			}
			if err := a.Ack(false); err != nil {
				t.Error(err)
			}
		case <-ctx.Done():
			t.Fatalf("%s: no answer in the queue", c.answer)
		}
		select {
		case r := <-returns:
			wait, _ := r.Headers["x-retry-after"].(int64)
			if !c.back || r.ReplyCode != 313 || r.Headers["x-answer"] != "refused" || string(r.Body) != c.body || wait < 1000 || r.Headers["more"] == nil {
				t.Errorf("%s: returned %d %v %q", c.answer, r.ReplyCode, r.Headers, r.Body)
			}
		default:
			if c.back {
				t.Errorf("%s: not returned", c.answer)
			}
		}
	}
	u := s.Admission().Usage()
	if side := s.Admission().Frontends()[1]; u.Messages != 0 || u.Bytes != 0 || side.Served.Load() != 1 || side.Refused.Load() != 1 || side.Failed.Load() != 1 || side.Undelivered.Load() != 0 {
		t.Errorf("%+v, served %d refused %d failed %d", u, side.Served.Load(), side.Refused.Load(), side.Failed.Load())
	}
}

// Hundreds of publishes on one channel, answered in any order, are each confirmed once.
func TestAMQPConfirmsOutOfOrder(t *testing.T) {
	var n int
	var mu sync.Mutex
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n++
		d := time.Duration(n*7%20) * time.Millisecond
		mu.Unlock()
		time.Sleep(d)
		w.WriteHeader(201)
	})
	s := start(t, addr, withAMQP)
	defer s.Kill()
	p := load.NewPublisher(s.AMQPAddr().String(), "t", "secret", 1)
	defer p.Close()
	ctx := within(t)
	var all sync.WaitGroup
	for i := range 500 {
		all.Go(func() {
			m := load.Message{CorrelationID: fmt.Sprint("m", i), Class: "status", Path: "/p/status", TTL: 4}
			if status, _, _, err := p.Send(ctx, &m); status != 201 || err != nil {
				t.Errorf("message %d: %d, %v", i, status, err)
			}
		})
	}
	all.Wait()
}

// What is wrong closes the channel or the connection with the specified code, and says why.
func TestAMQPRefusals(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(201) })
	s := start(t, addr, withAMQP+"[limits]\nbody = 1MiB\n")
	defer s.Kill()
	publish := func(exchange, key string, p amqp.Publishing) func(*amqp.Channel) error {
		return func(ch *amqp.Channel) error { return ch.PublishWithContext(within(t), exchange, key, false, false, p) }
	}
	for name, c := range map[string]struct {
		do   func(*amqp.Channel) error
		code int
	}{
		"unknown exchange":     {publish("nowhere", "p", amqp.Publishing{}), 404},
		"body above the limit": {publish("uploads", "p", amqp.Publishing{Body: make([]byte, 64<<20)}), 311},
		"expiration":           {publish("uploads", "p", amqp.Publishing{Expiration: "soon"}), 406},
		"order key":            {publish("uploads", "p", amqp.Publishing{Headers: amqp.Table{"x-order-key": "not a key"}}), 406},
		"user-id":              {publish("uploads", "p", amqp.Publishing{UserId: "u"}), 406},
		"immediate": {func(ch *amqp.Channel) error {
			return ch.PublishWithContext(within(t), "uploads", "p", false, true, amqp.Publishing{})
		}, 540},
		"transaction": {func(ch *amqp.Channel) error { return ch.Tx() }, 540},
		"durable queue": {func(ch *amqp.Channel) error {
			_, err := ch.QueueDeclare("q", true, false, false, false, nil)
			return err
		}, 540},
		"new exchange": {func(ch *amqp.Channel) error { return ch.ExchangeDeclare("x", "direct", true, false, false, false, nil) }, 403},
		"unknown queue": {func(ch *amqp.Channel) error {
			_, err := ch.Consume("q", "", false, false, false, false, nil)
			return err
		}, 404},
		"acknowledged twice":  {func(ch *amqp.Channel) error { return ch.Ack(7, false) }, 406},
		"bind to the default": {func(ch *amqp.Channel) error { return ch.QueueBind("q", "k", "", false, nil) }, 404},
	} {
		t.Run(name, func(t *testing.T) {
			conn, ch := dial(t, s)
			closed := ch.NotifyClose(make(chan *amqp.Error, 1))
			if err := c.do(ch); err != nil {
				t.Log(err)
			}
			select {
			case e := <-closed:
				if e == nil || e.Code != c.code {
					t.Errorf("closed with %v, want %d", e, c.code)
				}
			case <-within(t).Done():
				t.Fatal("not closed")
			}
			if soft := c.code < 500; soft == conn.IsClosed() {
				t.Errorf("%d: connection closed is %v", c.code, conn.IsClosed())
			}
		})
	}
	for _, url := range []string{"amqp://t:wrong@%v/", "amqp://u:secret@%v/", "amqp://t:secret@%v/other"} {
		if c, err := amqp.Dial(fmt.Sprintf(url, s.AMQPAddr())); err == nil {
			_ = c.Close()
			t.Errorf("%s was let in", url)
		}
	}
}

// A publish is a hand-over: with its connection lost it is carried on, and its answer waits in the queue it names.
func TestAMQPConnectionLost(t *testing.T) {
	arrived, go_ := make(chan struct{}, 300), make(chan struct{})
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-go_
		w.WriteHeader(201)
	})
	s := start(t, addr, withAMQP)
	defer s.Kill()
	conn, ch := dial(t, s)
	if err := ch.Confirm(false); err != nil {
		t.Fatal(err)
	}
	if _, err := ch.QueueDeclare("mine", false, false, false, false, nil); err != nil {
		t.Fatal(err)
	}
	const n = 200
	for i := range n {
		if err := ch.PublishWithContext(within(t), "uploads", "p", false, false, amqp.Publishing{Body: []byte("x"), ReplyTo: "mine",
			MessageId: fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
	}
	<-arrived
	for s.Admission().Usage().Messages < n {
		time.Sleep(time.Millisecond)
	}
	_ = conn.Close()
	close(go_)
	_, ch = dial(t, s)
	answers, err := ch.Consume("mine", "", false, false, false, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for len(seen) < n {
		select {
		case a := <-answers:
			if seen[a.CorrelationId] || a.Type != "served" {
				t.Errorf("%s %s again: %v", a.CorrelationId, a.Type, seen[a.CorrelationId])
			}
			seen[a.CorrelationId] = true
		case <-within(t).Done():
			t.Fatalf("%d of %d answers", len(seen), n)
		}
	}
	if err := ch.Ack(0, true); err != nil {
		t.Error(err)
	}
}

// Publishers are asked to stop when the hold fills, what comes all the same is returned, and they are let go on.
func TestAMQPConnectionBlocked(t *testing.T) {
	go_ := make(chan struct{})
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		<-go_
		w.WriteHeader(201)
	})
	s := start(t, addr, withAMQP+"[limits]\nhold = 16\n")
	defer s.Kill()
	conn, ch := dial(t, s)
	blocked := conn.NotifyBlocked(make(chan amqp.Blocking, 4))
	returns := ch.NotifyReturn(make(chan amqp.Return, 100))
	if err := ch.Confirm(false); err != nil {
		t.Fatal(err)
	}
	var confirms []*amqp.DeferredConfirmation
	for range 40 {
		d, err := ch.PublishWithDeferredConfirmWithContext(within(t), "uploads", "p", false, false, amqp.Publishing{Body: []byte("x")})
		if err != nil {
			t.Fatal(err)
		}
		confirms = append(confirms, d)
	}
	if b := <-blocked; !b.Active || b.Reason == "" {
		t.Errorf("%+v", b)
	}
	// The partner answers only when the hold is full and the rest has come back: else room is made while they still come.
	for n := range 20 {
		select {
		case <-returns:
		case <-within(t).Done():
			t.Fatalf("%d returned while the partner answers nothing", n)
		}
	}
	close(go_)
	acks, nacks := 0, 0
	for _, d := range confirms {
		if ok, err := d.WaitContext(within(t)); err != nil {
			t.Fatal(err)
		} else if ok {
			acks++
		} else {
			nacks++
		}
	}
	if nacks < 20 || 20+len(returns) != nacks || acks < 8 {
		t.Errorf("%d acks, %d nacks, %d returned", acks, nacks, 20+len(returns))
	}
	if b := <-blocked; b.Active {
		t.Errorf("%+v", b)
	}
}

// An orderly stop answers what was taken and closes connections with 320.
func TestAMQPStop(t *testing.T) {
	arrived, go_ := make(chan struct{}, 10), make(chan struct{})
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-go_
		w.WriteHeader(201)
	})
	s := start(t, addr, withAMQP)
	conn, ch := dial(t, s)
	closed := conn.NotifyClose(make(chan *amqp.Error, 1))
	if err := ch.Confirm(false); err != nil {
		t.Fatal(err)
	}
	d, err := ch.PublishWithDeferredConfirmWithContext(within(t), "", "/p/upload", false, false, amqp.Publishing{Body: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	<-arrived
	stopped := make(chan bool, 1)
	go func() { stopped <- s.Stop(within(t)) }()
	close(go_)
	if ok, err := d.WaitContext(within(t)); !ok || err != nil {
		t.Error("not answered at the stop:", ok, err)
	}
	if e := <-closed; e == nil || e.Code != 320 {
		t.Errorf("closed with %v", e)
	}
	if !<-stopped {
		t.Error("the stop left something")
	}
}

// One message-id is one key, whichever front it comes by: partners that drop repeats see the same.
func TestSameKeyOnBothFronts(t *testing.T) {
	keys := make(chan string, 2)
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Get("Idempotency-Key") + r.Header.Get("Topic")
		w.WriteHeader(201)
	})
	s := start(t, addr, withAMQP)
	defer s.Kill()
	c, p := load.NewClient(s.Addr().String(), 1), load.NewPublisher(s.AMQPAddr().String(), "t", "secret", 1)
	defer c.Close()
	defer p.Close()
	for _, by := range []load.Sender{c, p} {
		m := load.Message{CorrelationID: "x", Class: "status", Path: "/p/status", Token: "secret", TTL: 3, IdempotencyKey: "one", OrderKey: "k"}
		if status, _, _, err := by.Send(within(t), &m); status != 201 || err != nil {
			t.Fatal(status, err)
		}
	}
	if a, b := <-keys, <-keys; a != b || a != `"0/one"k` {
		t.Errorf("%s and %s", a, b)
	}
}

// A reader that acknowledges nothing fills its queue; then messages that name it are returned before they are taken,
// and none of its answers is lost.
func TestAMQPSlowConsumer(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(201) })
	s := start(t, addr, withAMQP+"[answers]\nqueue-length = 5\n")
	defer s.Kill()
	_, ch := dial(t, s)
	returns := ch.NotifyReturn(make(chan amqp.Return, 10))
	if err := ch.Confirm(false); err != nil {
		t.Fatal(err)
	}
	if _, err := ch.QueueDeclare("mine", false, false, false, false, nil); err != nil {
		t.Fatal(err)
	}
	if err := ch.QueueBind("mine", "#", "uploads", false, nil); err != nil {
		t.Fatal(err)
	}
	if err := ch.Qos(2, 0, false); err != nil {
		t.Fatal(err)
	}
	answers, err := ch.Consume("mine", "c", false, false, false, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 7 {
		d, err := ch.PublishWithDeferredConfirmWithContext(within(t), "uploads", "p", false, false, amqp.Publishing{MessageId: fmt.Sprint("m", i)})
		if err != nil {
			t.Fatal(err)
		}
		if ok, err := d.WaitContext(within(t)); ok != (i < 5) || err != nil {
			t.Errorf("message %d: %v %v", i, ok, err)
		}
	}
	if r := <-returns; r.MessageId != "m5" || !strings.Contains(r.ReplyText, "queue is full") {
		t.Errorf("%s: %s", r.MessageId, r.ReplyText)
	}
	if err := ch.Cancel("c", false); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		a := <-answers
		if err := a.Reject(true); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 5 {
		a, ok, err := ch.Get("mine", true)
		if !ok || err != nil || a.CorrelationId != fmt.Sprint("m", i) || a.Redelivered != (i < 2) {
			t.Errorf("answer %d: %s, %v %v, again %v", i, a.CorrelationId, ok, err, a.Redelivered)
		}
	}
	if _, ok, _ := ch.Get("mine", true); ok {
		t.Error("a sixth answer")
	}
}

// A client whose library does not know connection.blocked is asked by channel.flow. What it publishes without confirms
// above the limits closes its channel: nothing else would tell it.
func TestAMQPChannelFlow(t *testing.T) {
	addr, _ := peer(t, func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	})
	s := start(t, addr, withAMQP+"[limits]\nhold = 16\n")
	defer s.Kill()
	c, err := net.Dial("tcp", s.AMQPAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	b := wire.AppendMethod([]byte(wire.ProtocolHeader), 0, &wire.ConnectionStartOK{Mechanism: "PLAIN", Response: "\x00t\x00secret"})
	b = wire.AppendMethod(b, 0, &wire.ConnectionTuneOK{})
	b = wire.AppendMethod(b, 0, &wire.ConnectionOpen{VHost: "/"})
	b = wire.AppendMethod(b, 1, &wire.ChannelOpen{})
	publish := wire.AppendMethod(nil, 1, &wire.BasicPublish{Exchange: "uploads", Key: "p"})
	publish = append(publish, 2, 0, 1, 0, 0, 0, 14, 0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xCE) // an empty body
	for range 15 {
		b = append(b, publish...)
	}
	see := func(m wire.Method) {
		t.Helper()
		want, got, buf := wire.AppendMethod(nil, 1, m), []byte(nil), make([]byte, 4096)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		for !bytes.Contains(got, want[7:min(len(want), 13)]) {
			n, err := c.Read(buf)
			if err != nil {
				t.Fatalf("%T never came: %v", m, err)
			}
			got = append(got, buf[:n]...)
		}
	}
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
	see(&wire.ChannelFlow{Active: false})
	if _, err := c.Write(append(append(publish, publish...), publish...)); err != nil {
		t.Fatal(err)
	}
	see(&wire.ChannelClose{Code: wire.ContentTooLarge})
}
