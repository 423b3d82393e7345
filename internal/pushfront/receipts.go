package pushfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/engine"
	"whinrun/internal/h2"
	"whinrun/internal/mailbox"
	"whinrun/internal/push"
	"whinrun/internal/receipt"
)

// Receipts (RFC 8030 section 5.1): a message with "Prefer: respond-async" and a Push-Receipt field is answered 202 once
// it is taken, and its final answer goes to the receipt subscription. Where the standard pushes receipts to a waiting
// GET, which clients no longer support, a subscription here is read: GET returns what is there, DELETE takes one out.
//
//	POST   /receipts/TENANT          makes a subscription: 201, Location
//	GET    /receipts/TENANT/NAME     the oldest receipts, a JSON array; 204 where there is none
//	DELETE /receipts/TENANT/NAME/NO  takes one out
const receiptsPath = "/receipts/"

// mostReceipts are returned by one GET.
const mostReceipts = 100

// wanted returns the subscription that a message's final answer is to go to, empty where its sender waits for it.
func wanted(fields []h2.Field) (name string, p *push.Problem) {
	async := false
	for _, f := range fields {
		if f.Name == "prefer" {
			for _, v := range strings.Split(f.Value, ",") {
				async = async || strings.EqualFold(strings.TrimSpace(v), "respond-async")
			}
		}
	}
	n := h2.Count(fields, "push-receipt")
	switch {
	case !async && n == 0:
		return "", nil
	case !async || n != 1:
		return "", &push.Problem{Status: 400, Title: "a receipt needs one Push-Receipt field and Prefer: respond-async (RFC 8030 section 5.1)"}
	}
	return h2.Value(fields, "push-receipt"), nil
}

// promise has a place kept for the receipt of a message.
func (s *session) promise(r *request, uri string) *push.Problem {
	tenant, name, ok := s.subscription(uri)
	if !ok || tenant != r.msg.Tenant {
		return &push.Problem{Status: 404, Title: "Push-Receipt names no receipt subscription of this tenant"}
	}
	s.room.Lock()
	place, err := s.room.Reserve(tenant, name, "", "")
	s.room.Unlock()
	switch {
	case errors.Is(err, mailbox.ErrNotFound):
		return &push.Problem{Status: 404, Title: "Push-Receipt names no receipt subscription of this tenant"}
	case err != nil:
		return &push.Problem{Status: 503, Title: "not taken: " + err.Error(), RetryAfter: time.Second}
	}
	r.place, r.receipts, r.msg.ReceiptSubscription = place, uri, name
	return nil
}

// unpromise gives the place of a message back that was not taken.
func (r *request) unpromise(now time.Duration) {
	if r.place != nil {
		r.s.room.Lock()
		r.place.Release(now)
		r.s.room.Unlock()
		r.place = nil
	}
}

// accepted answers a message whose receipt goes elsewhere: its stream is over, and no longer withdraws it.
func (s *session) accepted(r *request, now time.Duration) {
	delete(s.requests, r.stream)
	id := s.names.Format(r.msg.ID)
	_ = s.h.Respond(now, r.stream, []h2.Field{{Name: ":status", Value: "202"}, {Name: "location", Value: "/m/" + id},
		{Name: "link", Value: "<" + r.receipts + `>; rel="urn:ietf:params:push:receipt"`}, {Name: push.FieldMessageID, Value: id, Sensitive: true}}, nil)
}

// fill puts the final answer into its place; it runs on the engine's goroutine.
func (r *request) fill(a *engine.Answer) {
	rec := receipt.New(r.s.names.Format(r.msg.ID), a, clock.Wall())
	rec.Path = r.path
	if _, key, ok := strings.Cut(r.msg.IdempotencyKey, "/"); ok {
		rec.MessageID = key
	}
	r.s.room.Lock()
	r.place.Fill(r.s.now(), rec)
	r.s.room.Unlock()
}

// subscription splits a receipt subscription's path, or a URI with it, into tenant and name.
func (s *session) subscription(uri string) (tenant int, name string, ok bool) {
	if i := strings.Index(uri, "://"); i >= 0 {
		_, rest, _ := strings.Cut(uri[i+3:], "/")
		uri = "/" + rest
	}
	who, name, _ := strings.Cut(strings.TrimPrefix(uri, receiptsPath), "/")
	tenant, ok = s.desk.Rules().Tenant(who)
	return tenant, name, ok && strings.HasPrefix(uri, receiptsPath) && name != "" && !strings.Contains(name, "/")
}

// receiptCall takes a request about receipts; false where the path is not one.
func (s *session) receiptCall(e *h2.Event, now time.Duration) bool {
	path := h2.Value(e.Fields, ":path")
	if !strings.HasPrefix(path, receiptsPath) {
		return false
	}
	if r, _ := s.desk.Rules().Find(path); r != nil {
		return false
	}
	if p := s.receiptReply(e, path, now); p != nil {
		s.side.Rejected.Add(1)
		s.reply(e.Stream, p, now)
	}
	return true
}

func (s *session) receiptReply(e *h2.Event, path string, now time.Duration) *push.Problem {
	part := strings.Split(strings.TrimPrefix(path, receiptsPath), "/")
	tenant, ok := s.desk.Rules().Tenant(part[0])
	if !ok || len(part) > 3 {
		return &push.Problem{Status: 404, Title: "no receipts at this path"}
	}
	if p := s.desk.Authorize(tenant, h2.Value(e.Fields, "authorization")); p != nil {
		return p
	}
	method := h2.Value(e.Fields, ":method")
	switch {
	case len(part) == 1 && method == "POST":
		return s.subscribe(e, tenant, part[0], now)
	case len(part) == 2 && method == "GET":
		return s.read(e, tenant, part[1], now)
	case len(part) == 3 && method == "DELETE":
		no, err := strconv.ParseUint(part[2], 10, 64)
		if err != nil {
			return &push.Problem{Status: 404, Title: "no such receipt"}
		}
		s.room.Lock()
		taken, err := s.room.Take(now, tenant, part[1], no)
		s.room.Unlock()
		if r, ok := taken.(*receipt.Receipt); ok {
			s.room.NotifyChange(tenant, part[1], r)
		}
		return s.over(e, err, now)
	}
	return &push.Problem{Status: 405, Title: "POST makes a subscription, GET reads it, DELETE takes a receipt out"}
}

func (s *session) subscribe(e *h2.Event, tenant int, who string, now time.Duration) *push.Problem {
	s.room.Lock()
	name, _, _, err := s.room.Declare(now, tenant, mailbox.QueueSpec{}, false)
	s.room.Unlock()
	if err != nil {
		return &push.Problem{Status: 503, Title: err.Error(), RetryAfter: time.Minute}
	}
	s.room.NotifyChange(tenant, name, nil)
	_ = s.h.Respond(now, e.Stream, []h2.Field{{Name: ":status", Value: "201"}, {Name: "location", Value: receiptsPath + who + "/" + name}}, nil)
	return nil
}

// entry is one receipt as it is read.
type entry struct {
	No      uint64           `json:"no"`
	Receipt *receipt.Receipt `json:"receipt"`
	Signed  string           `json:"signed,omitempty"` // JWS (RFC 7515), where the dispatcher has a key
}

func (s *session) read(e *h2.Event, tenant int, name string, now time.Duration) *push.Problem {
	s.room.Lock()
	all, err := s.room.Peek(now, tenant, name, mostReceipts)
	s.room.Unlock()
	if err != nil || len(all) == 0 {
		return s.over(e, err, now)
	}
	entries := make([]entry, len(all))
	for i, w := range all {
		r := w.Payload.(*receipt.Receipt)
		entries[i] = entry{No: w.Sequence, Receipt: r}
		if s.room.Key != nil {
			entries[i].Signed = r.Sign(s.room.Key)
		}
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return &push.Problem{Status: 500, Title: err.Error()}
	}
	_ = s.h.Respond(now, e.Stream, []h2.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/json"},
		{Name: "content-length", Value: fmt.Sprint(len(body))}}, body)
	return nil
}

// over answers 204, or 404 for what is not there.
func (s *session) over(e *h2.Event, err error, now time.Duration) *push.Problem {
	if err != nil {
		return &push.Problem{Status: 404, Title: err.Error()}
	}
	_ = s.h.Respond(now, e.Stream, []h2.Field{{Name: ":status", Value: "204"}}, nil)
	return nil
}
