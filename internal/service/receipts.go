package service

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"whinrun/internal/audit"
	"whinrun/internal/clock"
	"whinrun/internal/engine"
	"whinrun/internal/intake"
	"whinrun/internal/mailbox"
	"whinrun/internal/receipt"
)

// startRecordTimeout is how long a start waits until its record is on disk. While the disk fails no message is accepted, so that no
// receipt gets a number.
const startRecordTimeout = 2 * time.Second

// randomNumberBits is the number of random bits of the first number where no trail tells which numbers were given. JSON readers are exact
// up to 53 bits.
const randomNumberBits = 52

// chooseIdentity returns what tells the names and numbers of this process from those of earlier ones. With a trail, numbers continue
// those on record; without one they begin at random.
func chooseIdentity(epoch string, random []byte, earlier *audit.Receipts) mailbox.Identity {
	id := mailbox.Identity{Epoch: epoch}
	if earlier != nil {
		id.LastNumber = earlier.NextRange()
	} else {
		id.LastNumber = binary.LittleEndian.Uint64(random) >> (64 - randomNumberBits)
	}
	return id
}

// readReceipts reads the receipts of earlier processes from the trail, as far back as answers are kept.
func (s *Service) readReceipts() (*audit.Receipts, error) {
	receipts, err := s.auditLog.Receipts(clock.Wall().Add(-s.cfg.Mailbox.Keep))
	if err != nil {
		return nil, fmt.Errorf("reading the receipts of earlier processes: %w", err)
	}
	return &receipts, nil
}

// restoreReceipts restores the subscriptions and the receipts of earlier processes, under their names and numbers. A message without a
// final answer gets the answer failed, because it may have been sent.
func (s *Service) restoreReceipts(mailboxes *mailbox.SharedBroker, rules *intake.Registry, earlier *audit.Receipts) {
	restored := 0
	for _, promised := range earlier.Unfetched {
		tenant, ok := rules.Tenant(promised.Tenant)
		if !ok {
			continue
		}
		if promised.Answered == nil {
			promised.Answered = &audit.Record{Kind: audit.Answered, Message: promised.Accepted.Message, Partner: promised.Accepted.Partner, Tenant: promised.Tenant,
				Result: engine.Failed.String(), Reason: "the dispatcher ended before a final answer; it may have been sent", Receipt: promised.Queue}
			// From now on, the recorded answer is the final one.
			s.auditLog.Enqueue(promised.Answered)
		}
		age := max(0, clock.Wall().Sub(promised.Answered.Time()))
		mailboxes.Restore(s.now(), tenant, promised.Queue, mailbox.RestoredAnswer{Number: promised.Accepted.Number, Age: age, Payload: newReceipt(promised.Answered)})
		restored++
	}
	s.restoreSubscriptions(mailboxes, rules, earlier.Subscriptions)
	if restored > 0 {
		s.log.Info("audit", "%d receipts of before are put back", restored)
	}
}

// restoreSubscriptions restores subscriptions that may have no receipts. Those used last come first, in case the settings allow fewer
// queues than before.
func (s *Service) restoreSubscriptions(mailboxes *mailbox.SharedBroker, rules *intake.Registry, subscriptions []audit.Subscription) {
	left := 0
	for _, r := range subscriptions {
		tenant, ok := rules.Tenant(r.Tenant)
		if !ok {
			continue
		}
		_, _, _, err := mailboxes.Declare(s.now(), tenant, mailbox.QueueSpec{Name: r.Queue, Subscription: true}, false)
		if errors.Is(err, mailbox.ErrTooManyQueues) {
			left++
		}
	}
	if left > 0 {
		s.log.Warn("audit", "%d subscriptions without receipts are not put back: a tenant may have %d queues", left, s.cfg.Mailbox.QueuesPerTenant)
	}
}

// newReceipt converts the record of a final answer into a receipt.
func newReceipt(answer *audit.Record) *receipt.Receipt {
	return &receipt.Receipt{Message: answer.Message, Answer: answer.Result, At: answer.Time(), Detail: answer.Detail, Reason: answer.Reason, Attempts: answer.Attempts,
		PartnerStatus: answer.Status, RetryAfterMillis: answer.WaitMicros / 1000}
}
