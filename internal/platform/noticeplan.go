package platform

import (
	"cmp"
	"slices"
	"time"

	"whinrun/internal/ledger"
)

// Times and bounds of requests with notices. A notice has to arrive within 300 ms after the time of its message, whatever became
// of earlier requests.
const (
	// maxNoticesPerRequest is the largest number of notices in one request. It keeps the body far below 64 KiB.
	maxNoticesPerRequest = 128
	// maxNoticeRequests bounds the requests that are open at the same time.
	maxNoticeRequests = 12
	// fewNoticeRequests is the number of open requests from which starts are further apart.
	fewNoticeRequests = 4
	// shortNoticeSpacing is the time between two starts while a few requests are open. An agent that answers at once gets one
	// request after the other, each with all notices that have come meanwhile.
	shortNoticeSpacing = 25 * time.Millisecond
	// longNoticeSpacing is the time between two starts while more requests are open.
	longNoticeSpacing = 150 * time.Millisecond
	// noticeResendInterval is the time without an answer after which notices are sent again. It doubles each time.
	noticeResendInterval = time.Second
	// maxNoticeResendInterval bounds the time between two such requests.
	maxNoticeResendInterval = time.Minute
	// noticeRequestPatience is how long the oldest request waits for its answer before its place is taken. It doubles each time.
	noticeRequestPatience = 10 * time.Second
	// noticeBackoffMin is the first delay before notices are sent again after a failure.
	noticeBackoffMin = 100 * time.Millisecond
	// noticeBackoffMax is the longest delay before notices are sent again after a failure.
	noticeBackoffMax = time.Second
)

// noticePlan decides which notices are sent when, and which request is given up. It does no I/O: its caller passes in the time
// and owns the connections.
//
// Each notice is sent as soon as possible, in a request of its own or with others. While no request is answered, those that were
// sent longest ago are sent again now and then. No request is given up for being slow alone: an answer counts however late it
// comes. When all places are taken, a request with notices that were not sent takes that of the second oldest. The oldest waits for
// longer each time.
type noticePlan struct {
	// queue holds the notices that are not acknowledged, oldest first.
	queue []*queuedNotice
	// unsent is the number of them that are to be sent at once.
	unsent int
	// requests holds the open requests, oldest first.
	requests []*noticeRequest
	// lastID is the id of the newest request.
	lastID uint64
	// lastStarted is when the newest request was started.
	lastStarted time.Duration
	// patience is how long the oldest request may wait, 0 for noticeRequestPatience.
	patience time.Duration
	// backoff is the delay after the latest failure, 0 if the latest request to end was answered.
	backoff time.Duration
	// notBefore is when requests may start again after a failure.
	notBefore time.Duration
	// resendAt is when notices are sent again if no request is answered before, and resendInterval the time from then to the next
	// time, 0 for noticeResendInterval.
	resendAt, resendInterval time.Duration
}

// queuedNotice is a notice that is not acknowledged.
type queuedNotice struct {
	ledger.Notice
	// sent tells that a request with it was started and has not failed, the latest one at sentAt.
	sent   bool
	sentAt time.Duration
	// acknowledged tells that a request with it was answered.
	acknowledged bool
}

// noticeRequest is an open request.
type noticeRequest struct {
	id        uint64
	startedAt time.Duration
	notices   []*queuedNotice
}

// add queues notices.
func (p *noticePlan) add(notices ...ledger.Notice) {
	for _, n := range notices {
		p.queue = append(p.queue, &queuedNotice{Notice: n})
	}
	p.unsent += len(notices)
}

// step returns the id of a request to close (0 for none), a request to start (nil for none) and when to call step again (0 if only
// an event makes that necessary). It is to be called again at once if a request is to be started.
func (p *noticePlan) step(now time.Duration) (toClose uint64, toStart *noticeRequest, next time.Duration) {
	if len(p.queue) == 0 {
		return 0, nil, 0
	}
	full := len(p.requests) == maxNoticeRequests
	at := max(p.notBefore, p.lastStarted+p.spacing())
	if p.unsent == 0 {
		at = max(at, p.resendAt, p.oldestSent()+noticeResendInterval)
	}
	if p.unsent == 0 && full {
		at = max(at, p.requests[0].startedAt+p.currentPatience())
	}
	if now < at {
		return 0, nil, at
	}
	if full {
		i := p.leastPromising(now)
		toClose = p.requests[i].id
		p.requests = slices.Delete(p.requests, i, i+1)
	}
	p.lastID++
	p.lastStarted = now
	r := &noticeRequest{id: p.lastID, startedAt: now, notices: p.takeBatch(now)}
	p.requests = append(p.requests, r)
	return toClose, r, now
}

// spacing returns the time between the starts of two requests.
func (p *noticePlan) spacing() time.Duration {
	switch open := len(p.requests); {
	case open >= fewNoticeRequests:
		return longNoticeSpacing
	case open > 0:
		return shortNoticeSpacing
	}
	return 0
}

// takeBatch returns the notices for a request: those that were not sent, or else those that were sent longest ago.
func (p *noticePlan) takeBatch(now time.Duration) (batch []*queuedNotice) {
	if p.unsent > 0 {
		for _, n := range p.queue {
			if !n.sent && len(batch) < maxNoticesPerRequest {
				batch = append(batch, n)
			}
		}
		p.unsent -= len(batch)
	} else {
		for _, n := range p.queue {
			if now >= n.sentAt+noticeResendInterval {
				batch = append(batch, n)
			}
		}
		slices.SortStableFunc(batch, func(a, b *queuedNotice) int { return cmp.Compare(a.sentAt, b.sentAt) })
		batch = batch[:min(maxNoticesPerRequest, len(batch))]
		p.resendInterval = min(2*p.resendInterval, maxNoticeResendInterval)
		p.resendAt = now + p.resendInterval
	}
	for _, n := range batch {
		n.sent, n.sentAt = true, now
	}
	p.resendInterval = max(p.resendInterval, noticeResendInterval)
	if len(p.requests) == 0 {
		p.resendAt = now + p.resendInterval
	}
	return batch
}

// oldestSent returns when the notice that was sent longest ago was sent. The queue must not be empty.
func (p *noticePlan) oldestSent() time.Duration {
	return slices.MinFunc(p.queue, func(a, b *queuedNotice) int { return cmp.Compare(a.sentAt, b.sentAt) }).sentAt
}

// currentPatience returns how long the oldest request may wait.
func (p *noticePlan) currentPatience() time.Duration { return max(p.patience, noticeRequestPatience) }

// leastPromising returns the index of the request that is closed for a new one: the oldest if it has waited for long, or the
// second oldest.
func (p *noticePlan) leastPromising(now time.Duration) int {
	if now-p.requests[0].startedAt < p.currentPatience() {
		return 1
	}
	p.patience = 2 * p.currentPatience()
	return 0
}

// answered records that a request was answered, and returns the notices that this acknowledges.
func (p *noticePlan) answered(id uint64, now time.Duration) (acknowledged []string) {
	r := p.remove(id)
	if r == nil {
		return nil
	}
	for _, n := range r.notices {
		if n.acknowledged {
			continue
		}
		n.acknowledged = true
		acknowledged = append(acknowledged, n.Name)
		if !n.sent {
			p.unsent--
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(n *queuedNotice) bool { return n.acknowledged })
	p.patience, p.backoff, p.notBefore = 0, 0, 0
	p.resendInterval = noticeResendInterval
	p.resendAt = now + p.resendInterval
	return acknowledged
}

// failed records that a request has ended without an answer. Its notices are sent again after a delay, or, with atOnce set, without
// one. It returns false for a request that is closed already.
func (p *noticePlan) failed(id uint64, now time.Duration, atOnce bool) bool {
	r := p.remove(id)
	if r == nil {
		return false
	}
	if !atOnce && now >= p.notBefore {
		p.backoff = min(max(2*p.backoff, noticeBackoffMin), noticeBackoffMax)
		p.notBefore = now + p.backoff
	}
	p.markUnsent(r.notices)
	return true
}

// restart has all notices sent at once, to a new address, and returns the requests to close.
func (p *noticePlan) restart() (toClose []uint64) {
	for _, r := range p.requests {
		toClose = append(toClose, r.id)
	}
	p.requests, p.patience, p.backoff, p.notBefore, p.resendInterval = nil, 0, 0, 0, 0
	p.markUnsent(p.queue)
	return toClose
}

// markUnsent has notices sent again as if they had not been sent before.
func (p *noticePlan) markUnsent(notices []*queuedNotice) {
	for _, n := range notices {
		if n.sent && !n.acknowledged {
			n.sent = false
			p.unsent++
		}
	}
}

// remove removes a request and returns it, or nil if it is closed already.
func (p *noticePlan) remove(id uint64) *noticeRequest {
	i := slices.IndexFunc(p.requests, func(r *noticeRequest) bool { return r.id == id })
	if i < 0 {
		return nil
	}
	r := p.requests[i]
	p.requests = slices.Delete(p.requests, i, i+1)
	return r
}
