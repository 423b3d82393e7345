package platform

import (
	"testing"
	"time"

	"whinrun/internal/clock"
)

// readyLimit is how soon a process whose list is current is ready.
const readyLimit = 700 * time.Millisecond

// An agent that has nothing newer than the list of a start sends empty lines only. The start waited 4.5 s for a list, in each process.
func TestStartWithACurrentList(t *testing.T) {
	d := newTestDispatcher(t)
	d.addEndpoint("a", 1, "single", succeed)
	d.agent.SetQuiet(true)
	for process := range 3 {
		watch := clock.StartStopwatch()
		d.startReady()
		if took := watch.Elapsed(); took > readyLimit {
			t.Errorf("process %d is ready after %v", process, took)
		}
		d.awaitEnds(d.submitAll(string(rune('a'+process)), 3, 1, "status"))
		d.kill()
	}
	d.startReady()
	d.checkRules()
}
