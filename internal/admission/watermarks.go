package admission

// Watermarks is a backpressure switch with hysteresis. Senders are asked to pause when the level reaches High, until it
// falls to Low. Without the gap, a full buffer that frees one slot at a time would toggle the switch with every message.
type Watermarks struct {
	// High and Low are shares of a limit. Low is at most High.
	High, Low float64
	blocked   bool
}

// Update takes the current level as a share of the limit and reports whether senders are asked to pause.
func (w *Watermarks) Update(level float64) (blocked bool) {
	switch {
	case level >= w.High:
		w.blocked = true
	case level <= w.Low:
		w.blocked = false
	}
	return w.blocked
}
