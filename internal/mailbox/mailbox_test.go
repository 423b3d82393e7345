package mailbox

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reader is a Sink that keeps what it gets.
type reader struct {
	got       []Delivery
	cancelled []string
}

func (r *reader) Deliver(d Delivery)   { r.got = append(r.got, d) }
func (r *reader) Cancelled(tag string) { r.cancelled = append(r.cancelled, tag) }

func put(t *testing.T, b *Broker, queue string, payload any) {
	t.Helper()
	p, err := b.Reserve(0, queue, "", "")
	if err != nil {
		t.Fatal(err)
	}
	p.Fill(0, payload)
}

func box(t *testing.T, queues ...QueueSpec) *Broker {
	b := New(Limits{QueuesPerTenant: 4, QueueLength: 6, Idle: time.Minute})
	for _, s := range queues {
		if _, _, _, err := b.Declare(0, 0, s, false); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func TestDeclare(t *testing.T) {
	b := box(t, QueueSpec{Name: "mine", Exclusive: true, Owner: 1}, QueueSpec{Name: "all"})
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

// A place that was promised is there, however full the queue is by then; a full queue promises none.
func TestReservations(t *testing.T) {
	b := box(t, QueueSpec{Name: "q"})
	var places []*Reservation
	for range 6 {
		p, err := b.Reserve(0, "q", "", "")
		if err != nil {
			t.Fatal(err)
		}
		places = append(places, p)
	}
	if _, err := b.Reserve(0, "q", "", ""); !errors.Is(err, ErrQueueFull) {
		t.Error("a seventh place of six:", err)
	}
	places[0].Release(0)
	if p, err := b.Reserve(0, "q", "", ""); err != nil {
		t.Error(err)
	} else {
		p.Fill(0, 1)
	}
	for _, p := range places[1:] {
		p.Fill(0, 1)
	}
	if _, n := b.Usage(); n != 6 || b.DroppedAnswers != 0 {
		t.Errorf("%d answers, %d lost", n, b.DroppedAnswers)
	}
	if _, err := b.Reserve(0, "nowhere", "", ""); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
	if p, err := b.Reserve(0, "", "x", "k"); p != nil || err != nil {
		t.Error("a place that nobody asked for:", p, err)
	}
	if err := b.Bind(0, "x", "#", "q", 1); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Reserve(0, "", "x", "k"); !errors.Is(err, ErrQueueFull) {
		t.Error("a binding leads nowhere:", err)
	}
}

// Readers share in turns, each within its prefetch; what is acknowledged makes room.
func TestPrefetch(t *testing.T) {
	b := box(t, QueueSpec{Name: "q"})
	one, two := &reader{}, &reader{}
	c1, c2 := b.Channel(0, 1, one), b.Channel(0, 2, two)
	c1.SetPrefetch(2, false)
	c2.SetPrefetch(1, true)
	for _, c := range []*Channel{c1, c2} {
		if _, err := c.Consume("q", "tag", false, false); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 6 {
		put(t, b, "q", i)
	}
	if len(one.got) != 2 || len(two.got) != 1 {
		t.Fatalf("%d and %d handed out", len(one.got), len(two.got))
	}
	if err := c1.Ack(0, 2, true); err != nil || len(one.got) != 4 {
		t.Errorf("after an ack of both: %d, %v", len(one.got), err)
	}
	if err := c1.Ack(0, 2, false); !errors.Is(err, ErrUnknownDelivery) {
		t.Error("acknowledged twice:", err)
	}
	c2.SetPaused(true)
	if err := c2.Ack(0, 1, false); err != nil || len(two.got) != 1 {
		t.Error("handed out in spite of channel.flow")
	}
	c2.SetPaused(false)
	if len(two.got) != 2 {
		t.Error("nothing comes after channel.flow")
	}
}

// What a reader had not acknowledged goes back to where it was, marked, and in its order.
func TestRequeueInOrder(t *testing.T) {
	b := box(t, QueueSpec{Name: "q"})
	one, two := &reader{}, &reader{}
	c := b.Channel(0, 1, one)
	if _, err := c.Consume("q", "", false, false); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		put(t, b, "q", i)
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
	for _, d := range two.got {
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
	b := box(t, QueueSpec{Name: "q"}, QueueSpec{Name: "auto", AutoDelete: true})
	r := &reader{}
	c := b.Channel(0, 1, r)
	if _, err := c.Consume("q", "a", false, false); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Consume("auto", "b", false, true); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Consume("auto", "c", false, false); !errors.Is(err, ErrInUse) {
		t.Error("a second reader beside an exclusive one:", err)
	}
	p, _ := b.Reserve(0, "q", "", "")
	put(t, b, "q", 1)
	if _, err := b.Delete(0, "q", 1, true, false); !errors.Is(err, ErrInUse) {
		t.Error("deleted in use:", err)
	}
	if _, err := b.Delete(0, "q", 1, false, false); err != nil || len(r.cancelled) != 1 {
		t.Error(err, r.cancelled)
	}
	p.Fill(0, 2) // its queue is gone: counted, no harm
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
		t.Error("an idle queue stays")
	}
}

// Answers that nobody reads are dropped once they are old, and no others.
func TestOldAnswersDropped(t *testing.T) {
	b := New(Limits{QueuesPerTenant: 4, QueueLength: 6, Keep: time.Minute})
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
	if _, err := b.Take(0, 0, "q", all[1].Sequence); err != nil {
		t.Error(err)
	}
	if _, err := b.Take(0, 0, "q", all[1].Sequence); !errors.Is(err, ErrUnknownDelivery) {
		t.Error("taken twice:", err)
	}
}

// Whatever readers do, no answer is lost, none is acknowledged twice, and no bound is passed.
func TestNoAnswerLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Limits{QueuesPerTenant: 4, QueueLength: 20})
		_, _, _, _ = b.Declare(0, 0, QueueSpec{Name: "q"}, false)
		type side struct {
			ch *Channel
			r  *reader
		}
		var open []side
		put, acked := 0, map[any]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			step := rapid.IntRange(0, 6).Draw(t, "step")
			if step > 2 && len(open) == 0 {
				step = 0
			}
			switch step {
			case 0:
				r := &reader{}
				ch := b.Channel(0, uint64(len(open)), r)
				ch.SetPrefetch(rapid.IntRange(0, 3).Draw(t, "prefetch"), rapid.Bool().Draw(t, "whole"))
				tag, err := ch.Consume("q", "", false, false)
				if err != nil {
					t.Fatal(err)
				}
				ch.StartDeliveries(tag)
				open = append(open, side{ch, r})
			case 1, 2:
				if p, err := b.Reserve(0, "q", "", ""); err == nil {
					p.Fill(0, put)
					put++
				} else if !errors.Is(err, ErrQueueFull) || len(b.queues[address{0, "q"}].ready)+b.queues[address{0, "q"}].out < 20 {
					t.Fatal(err)
				}
			default:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "reader")
				s := open[i]
				if step == 6 {
					s.ch.Close(0)
					open = append(open[:i], open[i+1:]...)
					continue
				}
				if len(s.ch.out) == 0 {
					continue
				}
				u := s.ch.out[rapid.IntRange(0, len(s.ch.out)-1).Draw(t, "which")]
				if step == 3 {
					if acked[u.item.payload] {
						t.Fatalf("%v is out though acknowledged", u.item.payload)
					}
					acked[u.item.payload] = true
					_ = s.ch.Ack(0, u.tag, false)
				} else {
					_ = s.ch.Reject(0, u.tag, step == 4, true)
				}
			}
		}
		q := b.queues[address{0, "q"}]
		if len(acked)+len(q.ready)+q.out != put {
			t.Fatalf("%d put, %d acknowledged, %d waiting, %d out", put, len(acked), len(q.ready), q.out)
		}
	})
}
