package mailbox

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recordingSink is a Sink that records its calls.
type recordingSink struct {
	deliveries []Delivery
	cancelled  []string
}

func (r *recordingSink) Deliver(d Delivery)   { r.deliveries = append(r.deliveries, d) }
func (r *recordingSink) Cancelled(tag string) { r.cancelled = append(r.cancelled, tag) }

// putAnswer reserves a place in a queue and fills it.
func putAnswer(t *testing.T, b *Broker, queue string, payload any) {
	t.Helper()
	p, err := b.Reserve(0, queue, "", "")
	if err != nil {
		t.Fatal(err)
	}
	p.Fill(0, payload)
}

// newTestBroker returns a Broker with small limits and the given queues of tenant 0.
func newTestBroker(t *testing.T, queues ...QueueSpec) *Broker {
	b := New(Limits{QueuesPerTenant: 4, QueueLength: 6, Idle: time.Minute}, Identity{Epoch: "test"})
	for _, s := range queues {
		if _, _, _, err := b.Declare(0, 0, s, false); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func TestDeclare(t *testing.T) {
	b := newTestBroker(t, QueueSpec{Name: "mine", Exclusive: true, Owner: 1}, QueueSpec{Name: "all"})
	for name, c := range map[string]struct {
		tenant  int
		spec    QueueSpec
		passive bool
		err     error
	}{
		"another connection's":                {0, QueueSpec{Name: "mine", Exclusive: true, Owner: 2}, true, ErrLocked},
		"my own again":                        {0, QueueSpec{Name: "mine", Exclusive: true, Owner: 1}, false, nil},
		"differs":                             {0, QueueSpec{Name: "all", AutoDelete: true}, false, ErrPropertiesDiffer},
		"passive needs no more than the name": {0, QueueSpec{Name: "all", AutoDelete: true}, true, nil},
		"passive, not there":                  {0, QueueSpec{Name: "x"}, true, ErrNotFound},
		"another tenant's":                    {1, QueueSpec{Name: "all"}, true, ErrNotFound},
	} {
		if _, _, _, err := b.Declare(0, c.tenant, c.spec, c.passive); !errors.Is(err, c.err) {
			t.Errorf("%s: %v, want %v", name, err, c.err)
		}
	}
	one, _, _, _ := b.Declare(0, 0, QueueSpec{}, false)
	two, _, _, _ := b.Declare(0, 0, QueueSpec{}, false)
	if _, _, _, err := b.Declare(0, 0, QueueSpec{}, false); one == two || !errors.Is(err, ErrTooManyQueues) {
		t.Errorf("%q, %q, then %v", one, two, err)
	}
	b.DeleteExclusive(1)
	if _, _, _, err := b.Declare(0, 0, QueueSpec{Name: "mine"}, true); !errors.Is(err, ErrNotFound) {
		t.Error("an exclusive queue outlives its connection")
	}
}

// A reserved place can be filled however full the queue is by then. A full queue grants no reservation.
func TestReservations(t *testing.T) {
	b := newTestBroker(t, QueueSpec{Name: "q"})
	var reservations []*Reservation
	for range 6 {
		p, err := b.Reserve(0, "q", "", "")
		if err != nil {
			t.Fatal(err)
		}
		reservations = append(reservations, p)
	}
	if _, err := b.Reserve(0, "q", "", ""); !errors.Is(err, ErrQueueFull) {
		t.Error("a seventh reservation in a queue of six:", err)
	}
	reservations[0].Release(0)
	if p, err := b.Reserve(0, "q", "", ""); err != nil {
		t.Error(err)
	} else {
		p.Fill(0, 1)
	}
	for _, p := range reservations[1:] {
		p.Fill(0, 1)
	}
	if _, n := b.Usage(); n != 6 || b.DroppedAnswers != 0 {
		t.Errorf("%d answers, %d lost", n, b.DroppedAnswers)
	}
	if _, err := b.Reserve(0, "nowhere", "", ""); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
	if p, err := b.Reserve(0, "", "x", "k"); p != nil || err != nil {
		t.Error("a reservation without a reply-to or binding:", p, err)
	}
	if err := b.Bind(0, "x", "#", "q", 1); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Reserve(0, "", "x", "k"); !errors.Is(err, ErrQueueFull) {
		t.Error("the binding does not lead to the full queue:", err)
	}
}

// Consumers share a queue round robin, each within its prefetch. Acknowledgements make room for more.
func TestPrefetch(t *testing.T) {
	b := newTestBroker(t, QueueSpec{Name: "q"})
	one, two := &recordingSink{}, &recordingSink{}
	c1, c2 := b.Channel(0, 1, one), b.Channel(0, 2, two)
	c1.SetPrefetch(2, false)
	c2.SetPrefetch(1, true)
	for _, c := range []*Channel{c1, c2} {
		if _, err := c.Consume("q", "tag", false, false); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 6 {
		putAnswer(t, b, "q", i)
	}
	if len(one.deliveries) != 2 || len(two.deliveries) != 1 {
		t.Fatalf("%d and %d delivered", len(one.deliveries), len(two.deliveries))
	}
	if err := c1.Ack(0, 2, true); err != nil || len(one.deliveries) != 4 {
		t.Errorf("after an ack of both: %d, %v", len(one.deliveries), err)
	}
	if err := c1.Ack(0, 2, false); !errors.Is(err, ErrUnknownDelivery) {
		t.Error("acknowledged twice:", err)
	}
	c2.SetPaused(true)
	if err := c2.Ack(0, 1, false); err != nil || len(two.deliveries) != 1 {
		t.Error("delivered while paused by channel.flow")
	}
	c2.SetPaused(false)
	if len(two.deliveries) != 2 {
		t.Error("no delivery after channel.flow resumed")
	}
}

// Unacknowledged deliveries of a closed channel are requeued in their order and marked as redelivered.
func TestRequeueInOrder(t *testing.T) {
	b := newTestBroker(t, QueueSpec{Name: "q"})
	one, two := &recordingSink{}, &recordingSink{}
	c := b.Channel(0, 1, one)
	if _, err := c.Consume("q", "", false, false); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		putAnswer(t, b, "q", i)
	}
	if err := c.Ack(0, 2, false); err != nil {
		t.Fatal(err)
	}
	c.Close(0)
	next := b.Channel(0, 2, two)
	if _, err := next.Consume("q", "", true, false); err != nil {
		t.Fatal(err)
	}
	next.StartDeliveries("amq.ctag-2")
	var order []any
	for _, d := range two.deliveries {
		order = append(order, d.Payload)
		if !d.Redelivered {
			t.Error("not marked as delivered before")
		}
	}
	if fmt.Sprint(order) != "[0 2 3 4]" {
		t.Error(order)
	}
}

func TestQueueRemoved(t *testing.T) {
	b := newTestBroker(t, QueueSpec{Name: "q"}, QueueSpec{Name: "auto", AutoDelete: true})
	r := &recordingSink{}
	c := b.Channel(0, 1, r)
	if _, err := c.Consume("q", "a", false, false); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Consume("auto", "b", false, true); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Consume("auto", "c", false, false); !errors.Is(err, ErrInUse) {
		t.Error("a second consumer beside an exclusive one:", err)
	}
	p, _ := b.Reserve(0, "q", "", "")
	putAnswer(t, b, "q", 1)
	if _, err := b.Delete(0, "q", 1, true, false); !errors.Is(err, ErrInUse) {
		t.Error("deleted while in use:", err)
	}
	if _, err := b.Delete(0, "q", 1, false, false); err != nil || len(r.cancelled) != 1 {
		t.Error(err, r.cancelled)
	}
	// The queue has been removed, so the answer is only counted.
	p.Fill(0, 2)
	if b.DroppedAnswers != 1 {
		t.Errorf("%d lost", b.DroppedAnswers)
	}
	if err := c.Reject(0, 1, false, true); err != nil {
		t.Error("the delivery can't be settled any more:", err)
	}
	c.Cancel(0, "b")
	if n, _ := b.Usage(); n != 0 {
		t.Errorf("%d queues left", n)
	}
	if _, _, _, err := b.Declare(0, 0, QueueSpec{Name: "idle"}, false); err != nil {
		t.Fatal(err)
	}
	b.Expire(59 * time.Second)
	if n, _ := b.Usage(); n != 1 {
		t.Error("expired too soon")
	}
	if b.Expire(61 * time.Second); len(b.queues) != 0 {
		t.Error("an idle queue was not removed")
	}
}

// Ready answers older than Keep are dropped, and no others.
func TestOldAnswersDropped(t *testing.T) {
	b := New(Limits{QueuesPerTenant: 4, QueueLength: 6, Keep: time.Minute}, Identity{Epoch: "test"})
	_, _, _, _ = b.Declare(0, 0, QueueSpec{Name: "q"}, false)
	for i := range 3 {
		p, _ := b.Reserve(0, "q", "", "")
		p.Fill(time.Duration(i)*30*time.Second, i)
	}
	b.Expire(80 * time.Second)
	all, err := b.Peek(0, 0, "q", 10)
	if err != nil || len(all) != 2 || all[0].Payload != 1 || b.DroppedAnswers != 1 {
		t.Errorf("%v %v, %d lost", all, err, b.DroppedAnswers)
	}
	if _, err := b.Take(0, 0, "q", all[1].Number); err != nil {
		t.Error(err)
	}
	if _, err := b.Take(0, 0, "q", all[1].Number); !errors.Is(err, ErrUnknownDelivery) {
		t.Error("taken twice:", err)
	}
}

// Whatever consumers do, no answer is lost, none is acknowledged twice, and the queue stays within its length.
func TestNoAnswerLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Limits{QueuesPerTenant: 4, QueueLength: 20}, Identity{Epoch: "test"})
		_, _, _, _ = b.Declare(0, 0, QueueSpec{Name: "q"}, false)
		type reader struct {
			ch *Channel
			r  *recordingSink
		}
		var readers []reader
		filled, acknowledged := 0, map[any]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			step := rapid.IntRange(0, 6).Draw(t, "step")
			if step > 2 && len(readers) == 0 {
				step = 0
			}
			switch step {
			case 0:
				r := &recordingSink{}
				ch := b.Channel(0, uint64(len(readers)), r)
				ch.SetPrefetch(rapid.IntRange(0, 3).Draw(t, "prefetch"), rapid.Bool().Draw(t, "whole"))
				tag, err := ch.Consume("q", "", false, false)
				if err != nil {
					t.Fatal(err)
				}
				ch.StartDeliveries(tag)
				readers = append(readers, reader{ch, r})
			case 1, 2:
				if p, err := b.Reserve(0, "q", "", ""); err == nil {
					p.Fill(0, filled)
					filled++
				} else if !errors.Is(err, ErrQueueFull) || len(b.queues[queueKey{0, "q"}].ready)+b.queues[queueKey{0, "q"}].unacked < 20 {
					t.Fatal(err)
				}
			default:
				i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
				s := readers[i]
				if step == 6 {
					s.ch.Close(0)
					readers = append(readers[:i], readers[i+1:]...)
					continue
				}
				if len(s.ch.unacked) == 0 {
					continue
				}
				u := s.ch.unacked[rapid.IntRange(0, len(s.ch.unacked)-1).Draw(t, "which")]
				if step == 3 {
					if acknowledged[u.answer.payload] {
						t.Fatalf("%v is unacknowledged after its acknowledgement", u.answer.payload)
					}
					acknowledged[u.answer.payload] = true
					_ = s.ch.Ack(0, u.deliveryTag, false)
				} else {
					_ = s.ch.Reject(0, u.deliveryTag, step == 4, true)
				}
			}
		}
		q := b.queues[queueKey{0, "q"}]
		if len(acknowledged)+len(q.ready)+q.unacked != filled {
			t.Fatalf("%d put, %d acknowledged, %d waiting, %d out", filled, len(acknowledged), len(q.ready), q.unacked)
		}
	})
}

// Guards against an answer that is lost because a consumer without acknowledgements counted as having it before it was written: the
// consumer, or its channel, may end first.
func TestAnswerThatIsNotWritten(t *testing.T) {
	const now = time.Second
	for name, test := range map[string]struct {
		end      func(ch *Channel, tag uint64)
		wantLeft int
	}{
		"cancelled before":  {func(ch *Channel, tag uint64) { ch.Cancel(now, "c"); ch.Return(now, tag) }, 1},
		"closed before":     {func(ch *Channel, _ uint64) { ch.Close(now) }, 1},
		"written":           {func(ch *Channel, tag uint64) { ch.Written(now, tag); ch.Close(now) }, 0},
		"written, returned": {func(ch *Channel, tag uint64) { ch.Written(now, tag); ch.Return(now, tag) }, 0},
	} {
		b := newTestBroker(t, QueueSpec{Name: "q"})
		sink := &recordingSink{}
		ch := b.Channel(0, 1, sink)
		if _, err := ch.Consume("q", "c", true, false); err != nil {
			t.Fatal(err)
		}
		putAnswer(t, b, "q", "answer")
		test.end(ch, sink.deliveries[0].DeliveryTag)
		if err := ch.Ack(now, sink.deliveries[0].DeliveryTag, false); !errors.Is(err, ErrUnknownDelivery) {
			t.Errorf("%s: acknowledged with %v", name, err)
		}
		if left, err := b.Peek(now, 0, "q", 9); err != nil || len(left) != test.wantLeft {
			t.Errorf("%s: %d answers left, %v, want %d", name, len(left), err, test.wantLeft)
		}
		if _, answers := b.Usage(); answers != test.wantLeft {
			t.Errorf("%s: %d answers counted, want %d", name, answers, test.wantLeft)
		}
	}
}
