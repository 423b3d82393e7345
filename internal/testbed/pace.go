package testbed

import (
	"io"
	"net/http"
	"time"
)

// AgentPace tells how slowly an agent answers. The zero value answers at once.
type AgentPace struct {
	// FirstList is how long a watch waits until its first list is written completely.
	FirstList time.Duration
	// Pieces is the number of parts in which the first list is written, spread over FirstList. 0 and 1 mean one part at the end.
	Pieces int
	// Notices is how long a request with notices waits for its answer, after the notices are recorded.
	Notices time.Duration
}

// SetPace sets how slowly the agent answers the requests that arrive from now on.
func (a *Agent) SetPace(p AgentPace) {
	a.mu.Lock()
	a.pace = p
	a.mu.Unlock()
}

// BreakWatches closes the connections of the open watches.
func (a *Agent) BreakWatches() {
	a.mu.Lock()
	a.brokenWatches = a.openedWatches
	a.wakeWatches()
	a.mu.Unlock()
}

// writeSlowly writes the first list of a watch at a pace. It returns false if the watch ended before that.
func (a *Agent) writeSlowly(w http.ResponseWriter, r *http.Request, text string, p AgentPace) bool {
	parts := max(1, p.Pieces)
	for i := range parts {
		select {
		case <-time.After(p.FirstList / time.Duration(parts)):
		case <-r.Context().Done():
			return false
		}
		_, _ = io.WriteString(w, text[i*len(text)/parts:(i+1)*len(text)/parts])
		w.(http.Flusher).Flush()
	}
	return true
}
