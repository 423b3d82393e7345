package control

import (
	"fmt"
	"math"
)

// This file checks the ranges of the settings.

// validate returns an error that names the first setting that is out of range.
func (s *Settings) validate() error {
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
	type setting struct {
		name string
		v    float64
	}
	settings := []setting{
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
		settings = append(settings, setting{at + "window", float64(c.DedupWindow)}, setting{at + "target", float64(c.Target)},
			setting{at + "hard-limit", float64(c.Deadline)}, setting{at + "gain", c.Value}, setting{at + "late-worth", c.LateValue})
	}
	for i, t := range s.Tenants {
		settings = append(settings, setting{fmt.Sprintf("tenants.%d.quota-per-s", i), t.Quota})
	}
	for _, f := range s.ZoneCosts {
		settings = append(settings, setting{"extra.carriage", f})
	}
	for _, k := range s.DestinationKinds {
		settings = append(settings, setting{"extra.batch-by-kind", float64(k.MaxBatch - 1)})
	}
	for _, f := range settings {
		if f.v < 0 || math.IsNaN(f.v) || math.IsInf(f.v, 0) {
			return fmt.Errorf("setting %s: %g is out of range", f.name, f.v)
		}
	}
	if s.ColdCapacity > 1 {
		return fmt.Errorf("setting rules.cold-from: %g is out of range", s.ColdCapacity)
	}
	return nil
}
