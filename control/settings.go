package control

import (
	"fmt"
	"math"
)

// What a setting may be at all; nothing is decided here.

// check returns an error that names the first setting out of range.
func (s *Settings) check() error {
	for _, c := range []struct {
		name string
		v    int
	}{
		{"extra.slots", s.Slots}, {"limits.max-open", s.MaxOpen}, {"limits.most-tries", s.MaxAttempts},
		{"instances", s.Instances}, {"tick", int(s.Tick)}, {"classes.count", len(s.Classes)},
	} {
		if c.v < 1 {
			return fmt.Errorf("setting %s: %d is out of range", c.name, c.v)
		}
	}
	type figure struct {
		name string
		v    float64
	}
	figures := []figure{
		{"me", float64(s.InstanceIndex)}, {"zone", float64(s.Zone)}, {"over-share-worth", s.OverQuotaFactor},
		{"limits.max-retry-after", float64(s.MaxRetryAfter)}, {"limits.conn-idle", float64(s.ConnIdleTimeout)},
		{"limits.connect-timeout", float64(s.ConnectTimeout)}, {"limits.streams-per-conn", float64(s.StreamsPerConn)},
		{"rules.stop-sending-within", float64(s.StopSendingWithin)}, {"rules.cold-from", s.ColdCapacity},
		{"rules.warm-up", float64(s.WarmUp)}, {"rules.tip-multiple", s.CollapseMultiple},
		{"rules.overload-for", float64(s.MaxOverload)}, {"rules.settle-after-doubt", float64(s.SettleTime)},
		{"rules.ask-every", float64(s.PullInterval)}, {"deductions.peer", s.GossipCost},
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("classes.%d.", i)
		figures = append(figures, figure{at + "window", float64(c.DedupWindow)}, figure{at + "target", float64(c.Target)},
			figure{at + "hard-limit", float64(c.Deadline)}, figure{at + "gain", c.Value}, figure{at + "late-worth", c.LateValue})
	}
	for i, t := range s.Tenants {
		figures = append(figures, figure{fmt.Sprintf("tenants.%d.quota-per-s", i), t.Quota})
	}
	for _, f := range s.ZoneCosts {
		figures = append(figures, figure{"extra.carriage", f})
	}
	for _, k := range s.DestinationKinds {
		figures = append(figures, figure{"extra.batch-by-kind", float64(k.MaxBatch - 1)})
	}
	for _, f := range figures {
		if f.v < 0 || math.IsNaN(f.v) || math.IsInf(f.v, 0) {
			return fmt.Errorf("setting %s: %g is out of range", f.name, f.v)
		}
	}
	if s.ColdCapacity > 1 {
		return fmt.Errorf("setting rules.cold-from: %g is out of range", s.ColdCapacity)
	}
	return nil
}
