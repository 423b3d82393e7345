// Package admission bounds what all fronts together take in: connections, channels, bytes held, each tenant's part of
// them, messages owed an answer. It counts what comes of it, side by side for each front, and decides when publishers
// are asked to stop for a while. It is free of I/O and asks for no time.
package admission

// Watermarks decides when senders are asked to stop: at a level of High, until it is down to Low. The gap keeps it from
// fluttering: a hold that frees one place at a time would else say stop and go with each message.
type Watermarks struct {
	High, Low float64 // shares of a bound, Low below High
	shut      bool
}

// Update takes the level, as a share of what is bounded, and tells whether senders are to stop now.
func (v *Watermarks) Update(level float64) (shut bool) {
	switch {
	case level >= v.High:
		v.shut = true
	case level <= v.Low:
		v.shut = false
	}
	return v.shut
}
