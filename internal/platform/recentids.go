package platform

import (
	"sync"
	"time"
)

// Limits of the memory of message ids.
const (
	// idMemory is how long the id of a message is remembered after it was handed in.
	idMemory = 10 * time.Second
	// maxRecentIDs is the largest number of ids that are remembered. Beyond it the oldest are forgotten.
	maxRecentIDs = 8192
)

// recentIDs remembers the ids of the messages that clients handed in lately. Every handing-in of a message has a fresh id,
// so that a known one is on a second copy of a request, which must not be taken on: the message may have ended by then, or
// its sender may have been told to hand it in again. It does no I/O, and its methods are safe for concurrent use.
type recentIDs struct {
	mu sync.Mutex
	// arrivals holds when each id arrived.
	arrivals map[string]time.Duration
	// order holds the ids in the order of their arrival.
	order []string
}

// newRecentIDs returns an empty memory.
func newRecentIDs() *recentIDs { return &recentIDs{arrivals: map[string]time.Duration{}} }

// add notes an id and reports whether it is new.
func (r *recentIDs) add(id string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, known := r.arrivals[id]; known && now-at <= idMemory {
		return false
	}
	for len(r.order) > 0 && (len(r.order) >= maxRecentIDs || now-r.arrivals[r.order[0]] > idMemory) {
		delete(r.arrivals, r.order[0])
		r.order = r.order[1:]
	}
	r.arrivals[id] = now
	r.order = append(r.order, id)
	return true
}
