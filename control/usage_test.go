package control

import "testing"

// A trial that is not sent must not keep the next one away: its endpoint knows nothing of it. It waited for up to 2 s each time, so that
// messages that could not be recorded kept a partner that had returned without calls.
func TestUnsentTrialIsGivenBack(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 1, 0))
	r.wantSent(r.step(sec, r.arrival(idempotent, 1)), 1)
	r.step(sec/10, outcome(1, 0, ConnectFailed))
	ep := r.endpoint(endpointID(1, 1))
	for range 100 {
		if ep.hasTrial() {
			break
		}
		r.step(sec / 10)
	}
	if !ep.hasTrial() {
		t.Fatal("no trial")
	}
	id := ep.calls[0].messages[0].id
	for range 5 {
		unsent := Event{Kind: Outcome, Message: id, Attempt: CurrentAttempt, Result: NotSent, Closed: true}
		tokens, rampTokens := ep.limiter.tokens, ep.rampTokens
		sent := sentMessages(r.step(sec/100, unsent, r.arrival(idempotent, 1)))
		if len(sent) != 1 || !ep.hasTrial() {
			t.Fatalf("sent %v behind a trial that was not sent", sent)
		}
		if ep.limiter.tokens < tokens || ep.rampTokens < rampTokens {
			t.Errorf("tokens %g and %g, %g and %g before", ep.limiter.tokens, ep.rampTokens, tokens, rampTokens)
		}
		id = sent[0]
	}
}

// The first message of a call is not sent, and the others are refused or fail. The library learned nothing of their endpoint.
func TestCallIsLearnedFromAMessageThatWasSent(t *testing.T) {
	r := newRunner(t, testSettings(), entry(1, 1, 1))
	r.wantSent(r.step(sec, r.arrival(idempotent, 1), r.arrival(idempotent, 1), r.arrival(idempotent, 1)), 1, 2, 3)
	r.step(sec/10, Event{Kind: Outcome, Message: 1, Attempt: CurrentAttempt, Result: NotSent, Closed: true}, outcome(2, 0, ConnectFailed), outcome(3, 0, ConnectFailed))
	if ep := r.endpoint(endpointID(1, 1)); !ep.suspected || ep.failureStreak != 1 {
		t.Errorf("suspected %v after %d failures, want one", ep.suspected, ep.failureStreak)
	}
}
