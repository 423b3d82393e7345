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

// receiptsPath is the path prefix of receipt subscriptions (RFC 8030 section 5.1). A message with "Prefer: respond-async"
// and a Push-Receipt field gets status 202 as soon as it is accepted, and its final answer goes to the subscription. The
// standard delivers receipts by server push to a waiting GET, which clients no longer support. Here, clients poll a
// subscription with GET and remove receipts with DELETE.
//
//	POST   /receipts/TENANT          creates a subscription: 201 with Location
//	GET    /receipts/TENANT/NAME     returns the oldest receipts as a JSON array, or 204 if there are none
//	DELETE /receipts/TENANT/NAME/NO  removes a receipt
const receiptsPath = "/receipts/"

// maxReceiptsPerGet is the largest number of receipts in one GET response.
const maxReceiptsPerGet = 100

// requestedSubscription returns the URI of the receipt subscription that a request names. It is empty if the client waits
// for the final answer on the stream.
func requestedSubscription(fields []h2.Field) (name string, p *push.Problem) {
	async := false
	for _, f := range fields {
		if f.Name == "prefer" {
			for _, v := range strings.Split(f.Value, ",") {
				async = async || strings.EqualFold(strings.TrimSpace(v), "respond-async")
			}
		}
	}
	count := h2.Count(fields, "push-receipt")
	switch {
	case !async && count == 0:
		return "", nil
	case !async || count != 1:
		return "", &push.Problem{Status: 400, Title: "a receipt needs one Push-Receipt field and Prefer: respond-async (RFC 8030 section 5.1)"}
	}
	return h2.Value(fields, "push-receipt"), nil
}

// reserveReceipt reserves a place for the receipt of a message, so that the answer cannot be lost to a full queue.
func (s *session) reserveReceipt(r *request, uri string) *push.Problem {
	tenant, name, ok := s.parseSubscription(uri)
	if !ok || tenant != r.msg.Tenant {
		return &push.Problem{Status: 404, Title: "Push-Receipt names no receipt subscription of this tenant"}
	}
	s.mailboxes.Lock()
	reservation, err := s.mailboxes.Reserve(tenant, name, "", "")
	s.mailboxes.Unlock()
	switch {
	case errors.Is(err, mailbox.ErrNotFound):
		return &push.Problem{Status: 404, Title: "Push-Receipt names no receipt subscription of this tenant"}
	case err != nil:
		return &push.Problem{Status: 503, Title: "not taken: " + err.Error(), RetryAfter: time.Second}
	}
	r.reservation, r.subscriptionURI = reservation, uri
	r.msg.ReceiptSubscription, r.msg.ReceiptNumber = name, reservation.Number()
	return nil
}

// releaseReceipt releases the reserved place of a message that was not accepted or was canceled.
func (r *request) releaseReceipt(now time.Duration) {
	if r.reservation != nil {
		r.session.mailboxes.Lock()
		r.reservation.Release(now)
		r.session.mailboxes.Unlock()
		r.reservation = nil
	}
}

// acceptedTask sends status 202 for a message with a receipt subscription.
type acceptedTask struct{ request *request }

// Accepted implements engine.AcceptNotifier. A message with a receipt subscription is answered once its acceptance is on record: from the
// 202 on its receipt is owed, by the next process, too.
func (r *request) Accepted(*engine.Message) {
	if r.reservation == nil || r.told {
		return
	}
	r.told = true
	respond := func() { r.session.conn.Post(acceptedTask{r}) }
	if r.session.mailboxes.AfterRecord == nil {
		respond()
		return
	}
	r.session.mailboxes.AfterRecord(respond)
}

// Run implements front.Task. It runs on the event loop of the connection.
func (t acceptedTask) Run(now time.Duration) { t.request.session.respondAccepted(t.request, now) }

// Drop implements front.Task. The message goes on, and its receipt waits in the subscription.
func (acceptedTask) Drop() {}

// respondAccepted sends status 202.
func (s *session) respondAccepted(r *request, now time.Duration) {
	id := s.ids.Format(r.msg.ID)
	_ = s.h2conn.Respond(now, r.stream, []h2.Field{{Name: ":status", Value: "202"}, {Name: "location", Value: "/m/" + id},
		{Name: "link", Value: "<" + r.subscriptionURI + `>; rel="urn:ietf:params:push:receipt"`}, {Name: push.FieldMessageID, Value: id, Sensitive: true}}, nil)
}

// storeReceipt stores the final answer in the reserved place. It runs on the engine's goroutine.
func (r *request) storeReceipt(a *engine.Answer) {
	rec := receipt.New(r.session.ids.Format(r.msg.ID), a, clock.Wall())
	rec.Path = r.resourcePath
	if _, key, ok := strings.Cut(r.msg.IdempotencyKey, "/"); ok {
		rec.MessageID = key
	}
	r.session.mailboxes.Lock()
	r.reservation.Fill(r.session.now(), rec)
	r.session.mailboxes.Unlock()
}

// parseSubscription splits the path or the URI of a receipt subscription into its tenant and its name.
func (s *session) parseSubscription(uri string) (tenant int, name string, ok bool) {
	if i := strings.Index(uri, "://"); i >= 0 {
		_, rest, _ := strings.Cut(uri[i+3:], "/")
		uri = "/" + rest
	}
	tenantName, name, _ := strings.Cut(strings.TrimPrefix(uri, receiptsPath), "/")
	tenant, ok = s.parser.Rules().Tenant(tenantName)
	return tenant, name, ok && strings.HasPrefix(uri, receiptsPath) && name != "" && !strings.Contains(name, "/")
}

// handleReceiptRequest handles a request for receipts. It returns false if the path is not below receiptsPath, or if a push
// resource is configured at that path.
func (s *session) handleReceiptRequest(e *h2.Event, now time.Duration) bool {
	path := h2.Value(e.Fields, ":path")
	if !strings.HasPrefix(path, receiptsPath) {
		return false
	}
	if r, _ := s.parser.Rules().Find(path); r != nil {
		return false
	}
	if p := s.serveReceiptRequest(e, path, now); p != nil {
		s.admitter.Rejected.Add(1)
		s.reply(e.Stream, p, now)
	}
	return true
}

// serveReceiptRequest checks a request for receipts and dispatches it by its path and method.
func (s *session) serveReceiptRequest(e *h2.Event, path string, now time.Duration) *push.Problem {
	segments := strings.Split(strings.TrimPrefix(path, receiptsPath), "/")
	tenant, ok := s.parser.Rules().Tenant(segments[0])
	if !ok || len(segments) > 3 {
		return &push.Problem{Status: 404, Title: "no receipts at this path"}
	}
	if p := s.parser.Authorize(tenant, h2.Value(e.Fields, "authorization")); p != nil {
		return p
	}
	method := h2.Value(e.Fields, ":method")
	switch {
	case len(segments) == 1 && method == "POST":
		return s.createSubscription(e, tenant, segments[0], now)
	case len(segments) == 2 && method == "GET":
		return s.listReceipts(e, tenant, segments[1], now)
	case len(segments) == 3 && method == "DELETE":
		number, err := strconv.ParseUint(segments[2], 10, 64)
		if err != nil {
			return &push.Problem{Status: 404, Title: "no such receipt"}
		}
		s.mailboxes.Lock()
		taken, err := s.mailboxes.Take(now, tenant, segments[1], number)
		s.mailboxes.Unlock()
		if r, ok := taken.(*receipt.Receipt); ok {
			s.mailboxes.NotifyChange(mailbox.Change{Kind: mailbox.ReceiptTaken, Tenant: tenant, Queue: segments[1], Receipt: r})
		}
		return s.respondNoContent(e, err, now)
	}
	return &push.Problem{Status: 405, Title: "POST makes a subscription, GET reads it, DELETE takes a receipt out"}
}

// createSubscription creates a receipt subscription and responds with its path.
func (s *session) createSubscription(e *h2.Event, tenant int, tenantName string, now time.Duration) *push.Problem {
	s.mailboxes.Lock()
	name, _, _, err := s.mailboxes.Declare(now, tenant, mailbox.QueueSpec{Subscription: true}, false)
	if err == nil {
		s.mailboxes.NotifyChange(mailbox.Change{Kind: mailbox.SubscriptionMade, Tenant: tenant, Queue: name})
	}
	s.mailboxes.Unlock()
	if err != nil {
		return &push.Problem{Status: 503, Title: err.Error(), RetryAfter: time.Minute}
	}
	_ = s.h2conn.Respond(now, e.Stream, []h2.Field{{Name: ":status", Value: "201"}, {Name: "location", Value: receiptsPath + tenantName + "/" + name}}, nil)
	return nil
}

// receiptEntry is a receipt in the response to a GET.
type receiptEntry struct {
	// No is the number that the DELETE path of the receipt ends in.
	No      uint64           `json:"no"`
	Receipt *receipt.Receipt `json:"receipt"`
	// Signed is the receipt as a JWS (RFC 7515). It is empty if the dispatcher has no signing key.
	Signed string `json:"signed,omitempty"`
}

// listReceipts responds with the oldest receipts of a subscription.
func (s *session) listReceipts(e *h2.Event, tenant int, name string, now time.Duration) *push.Problem {
	s.mailboxes.Lock()
	waiting, err := s.mailboxes.Peek(now, tenant, name, maxReceiptsPerGet)
	s.mailboxes.Unlock()
	if err != nil || len(waiting) == 0 {
		return s.respondNoContent(e, err, now)
	}
	entries := make([]receiptEntry, len(waiting))
	for i, w := range waiting {
		r := w.Payload.(*receipt.Receipt)
		entries[i] = receiptEntry{No: w.Number, Receipt: r}
		if s.mailboxes.Key != nil {
			entries[i].Signed = r.Sign(s.mailboxes.Key)
		}
	}
	body, err := json.Marshal(entries)
	if err != nil {
		return &push.Problem{Status: 500, Title: err.Error()}
	}
	_ = s.h2conn.Respond(now, e.Stream, []h2.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/json"},
		{Name: "content-length", Value: fmt.Sprint(len(body))}}, body)
	return nil
}

// respondNoContent sends status 204, or returns a problem with status 404 if err is not nil.
func (s *session) respondNoContent(e *h2.Event, err error, now time.Duration) *push.Problem {
	if err != nil {
		return &push.Problem{Status: 404, Title: err.Error()}
	}
	_ = s.h2conn.Respond(now, e.Stream, []h2.Field{{Name: ":status", Value: "204"}}, nil)
	return nil
}
