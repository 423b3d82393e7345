package service

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"whinrun/internal/admission"
)

// Clients of both fronts give up in every state of a message: while its body comes, behind it, when it is refused for each limit, and with
// places for answers reserved. Once all messages have ended, nothing may be in use. A place that is not given back is missing for good.
func TestNothingIsInUseAtRest(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		time.Sleep(20 * time.Millisecond)
		w.WriteHeader(map[byte]int{'a': 201, 'b': 500, 'c': 429, 'd': 201}[(string(body) + "a")[0]])
	})
	dispatcher := startService(t, addr, amqpSettings+"[limits]\nhold = 16\nhold-bytes = 128KiB\nbody = 64KiB\n[answers]\nqueue-length = 12\nqueues = 8\n")
	defer dispatcher.Kill()
	response, _ := doRequest(t, dispatcher, "POST", "/receipts/t", "")
	queue := response.Header.Get("Location")
	_, channel := dialAMQP(t, dispatcher)
	if _, err := channel.QueueDeclare("answers", false, false, false, false, nil); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	workers := 12
	for worker := range workers {
		go func() {
			defer func() { done <- struct{}{} }()
			for i := range 12 {
				body := strings.Repeat(string("abcd"[(i+i/4)%4]), []int{1, 3000, 60_000, 70_000}[(worker+i/4)%4])
				giveUpAfter := time.Duration(1+(7*i+worker)%45) * time.Millisecond
				switch worker % 4 {
				case 0:
					postAndGiveUp(dispatcher, giveUpAfter, body)
				case 1:
					postAndGiveUp(dispatcher, giveUpAfter, body, "Prefer", "respond-async", "Push-Receipt", []string{queue, "/receipts/t/none"}[i/4%2])
				case 2:
					publishAndGiveUp(dispatcher, giveUpAfter, body, []string{"answers", "none", ""}[i%3], 1<<20)
				default:
					publishAndGiveUp(dispatcher, giveUpAfter, body, "answers", 1000+20_000*(i%6))
				}
			}
		}()
	}
	for range workers {
		<-done
		// The queues are emptied now and then: both full ones and ones with room are met.
		for _, name := range []string{"answers", strings.TrimPrefix(queue, "/receipts/t/")} {
			dispatcher.mailboxes.Lock()
			_, err := dispatcher.mailboxes.Purge(0, name, 0)
			dispatcher.mailboxes.Unlock()
			if err != nil {
				t.Error(err)
			}
		}
	}
	stats := dispatcher.Stats()
	for deadline := time.Now().Add(8 * time.Second); stats.Open+stats.InFlight > 0 && time.Now().Before(deadline); stats = dispatcher.Stats() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // The fronts hear of the last answers.
	usage := dispatcher.Admission().Usage()
	usage.Conns, usage.Channels = 0, 0
	if stats.Accepted == 0 || stats.Open != 0 || stats.InFlight != 0 || usage != (admission.Usage{}) {
		t.Errorf("%d accepted, %d open, %d in flight; in use: %+v", stats.Accepted, stats.Open, stats.InFlight, usage)
	}
	dispatcher.mailboxes.Lock()
	defer dispatcher.mailboxes.Unlock()
	if n := dispatcher.mailboxes.Reserved(); n != 0 {
		t.Errorf("%d places for answers are reserved", n)
	}
	if err := dispatcher.pool.CheckUsage(); err != nil {
		t.Error(err)
	}
}

// endlessReader blocks until its context ends.
type endlessReader struct{ context.Context }

func (r endlessReader) Read([]byte) (int, error) {
	<-r.Done()
	return 0, r.Err()
}

// postAndGiveUp posts a message on a connection of its own, and closes it after a time. Of a body that begins with "d" the end never comes.
func postAndGiveUp(dispatcher *Service, after time.Duration, body string, fields ...string) {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &p}
	defer transport.CloseIdleConnections()
	ctx, stop := context.WithTimeout(context.Background(), after)
	defer stop()
	content := io.Reader(strings.NewReader(body))
	if strings.HasPrefix(body, "d") {
		content = io.MultiReader(content, endlessReader{ctx})
	}
	request, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%v/p/status", dispatcher.Addr()), content)
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("TTL", "1")
	for i := 0; i < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	if response, err := transport.RoundTrip(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

// cutConn is a connection that sends no more than a number of bytes, and drops the others.
type cutConn struct {
	net.Conn
	left int
}

func (c *cutConn) Write(b []byte) (int, error) {
	n := min(len(b), c.left)
	c.left -= n
	if _, err := c.Conn.Write(b[:n]); err != nil {
		return 0, err
	}
	return len(b), nil
}

// publishAndGiveUp publishes messages that name a queue of answers, of which no more than a number of bytes is sent, and resets the
// connection after a time.
func publishAndGiveUp(dispatcher *Service, after time.Duration, body, replyTo string, sent int) {
	var raw *net.TCPConn
	dial := func(network, addr string) (net.Conn, error) {
		c, err := net.DialTimeout(network, addr, time.Second)
		if err != nil {
			return nil, err
		}
		raw = c.(*net.TCPConn)
		return &cutConn{c, sent}, nil
	}
	c, err := amqp.DialConfig(fmt.Sprintf("amqp://t:secret@%v/", dispatcher.AMQPAddr()), amqp.Config{Dial: dial})
	if err != nil {
		return
	}
	channel, err := c.Channel()
	if err != nil {
		return
	}
	_ = channel.Confirm(false)
	for range 3 {
		_ = channel.PublishWithContext(context.Background(), "uploads", "p", true, false, amqp.Publishing{ReplyTo: replyTo, Expiration: "900", Body: []byte(body)})
	}
	time.Sleep(after)
	_ = raw.SetLinger(0)
	_ = raw.Close()
}
