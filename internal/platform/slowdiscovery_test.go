package platform

import (
	"testing"
	"time"

	"whinrun/internal/testbed"
)

// slowFirstList is how long a slow discovery takes to answer a watch. It is below the 4 s after SIGHUP and the 6 s otherwise after
// which what it has to tell counts as received.
const slowFirstList = 3 * time.Second

// afterReload and afterSilence are when what discovery has to tell counts as received, after SIGHUP and otherwise.
const afterReload, afterSilence = 4 * time.Second, 6 * time.Second

// reloadTo moves a dispatcher to another agent, as SIGHUP does, without waiting for it to be heard.
func (d *testDispatcher) reloadTo(a *testbed.Agent) {
	d.t.Helper()
	d.agent = a
	d.writeConfig()
	cfg, err := Load(func(k string) string { return d.env[k] })
	if err != nil {
		d.t.Fatal(err)
	}
	d.node.Reload(cfg)
}

// newUnlistedEndpoint adds an endpoint that discovery does not list yet.
func (d *testDispatcher) newUnlistedEndpoint(host string, dest int) *testbed.Endpoint {
	d.t.Helper()
	e, err := d.bed.Endpoint(host, dest, "", succeed)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(e.Close)
	return e
}

// replaceAt lists an endpoint as gone and another one as ready, which counts as received at a time.
func replaceAt(at time.Time, a *testbed.Agent, old, next *testbed.Endpoint) {
	entry := func(e *testbed.Endpoint, health string) testbed.EndpointEntry {
		return testbed.EndpointEntry{Host: e.Host, Dial: e.Addr, Site: "east", Class: "single", Block: e.Dest, Health: health, Share: 1}
	}
	a.PublishAt(at, entry(old, "gone"), entry(next, "ready"))
}

// newSlowAgent returns an agent whose watches are answered at a pace. It lists the endpoint old as gone and the endpoint next as
// ready, which counts as received 4 s from now.
func (d *testDispatcher) newSlowAgent(pace testbed.AgentPace, old, next *testbed.Endpoint) *testbed.Agent {
	d.t.Helper()
	a, err := d.bed.Agent()
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(a.Close)
	a.SetPace(pace)
	replaceAt(time.Now().Add(afterReload), a, old, next)
	return a
}

// A discovery that answers a watch slowly, but in time, is heard in time, whatever made the watch necessary: behind SIGHUP (its list
// counts after 4 s), behind several of them, behind a watch that broke, behind one that fell silent (6 s), and in pieces. No watch may
// be given up for a new one before its answer could come (review/3).
func TestSlowDiscovery(t *testing.T) {
	slow := testbed.AgentPace{FirstList: slowFirstList}
	for name, c := range map[string]struct {
		// trouble makes a new watch necessary. It returns when the list counts as received.
		trouble func(d *testDispatcher, old, next *testbed.Endpoint) time.Duration
	}{
		"reload": {func(d *testDispatcher, old, next *testbed.Endpoint) time.Duration {
			d.reloadTo(d.newSlowAgent(slow, old, next))
			return afterReload
		}},
		"reload, list in pieces": {func(d *testDispatcher, old, next *testbed.Endpoint) time.Duration {
			d.reloadTo(d.newSlowAgent(testbed.AgentPace{FirstList: slowFirstList, Pieces: 20}, old, next))
			return afterReload
		}},
		"reload there and back": {func(d *testDispatcher, old, next *testbed.Endpoint) time.Duration {
			one, other := d.newSlowAgent(slow, old, next), d.newSlowAgent(slow, old, next)
			d.reloadTo(one)
			for range 3 {
				time.Sleep(400 * time.Millisecond)
				d.reloadTo(other)
				time.Sleep(400 * time.Millisecond)
				d.reloadTo(one)
			}
			return afterReload - 6*400*time.Millisecond
		}},
		"watch breaks": {func(d *testDispatcher, old, next *testbed.Endpoint) time.Duration {
			d.agent.SetPace(slow)
			d.agent.BreakWatches()
			replaceAt(time.Now().Add(afterSilence), d.agent, old, next)
			return afterSilence
		}},
		"watch falls silent": {func(d *testDispatcher, old, next *testbed.Endpoint) time.Duration {
			d.agent.SetPace(slow)
			d.agent.SilenceOpenWatches()
			replaceAt(time.Now().Add(afterSilence), d.agent, old, next)
			return afterSilence
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newTestDispatcher(t)
			old := d.addEndpoint("old", 1, "single", succeed)
			next := d.newUnlistedEndpoint("next", 1)
			d.startReady()
			d.awaitEnds(d.submitAll("x", 1, 1, "status"))
			since := len(d.bed.Events())
			within := c.trouble(d, old, next)
			if took := d.awaitList(since, 15*time.Second); took > within {
				t.Errorf("the list came after %v, want %v", took, within)
			}
			d.awaitRoutedTo("next", 1)
			d.awaitEnds(d.submitAll("y", 5, 1, "status"))
			d.expectOnlyHost("next", "y")
			d.checkRules()
		})
	}
}

// A start behind a slow discovery sends nothing by an old list: neither the first one, of whose discovery nothing is known, nor one
// behind a process that found it slow. What discovery has counts as received from the first moment of a process.
func TestStartBehindSlowDiscovery(t *testing.T) {
	for name, restarted := range map[string]bool{"first": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newTestDispatcher(t)
			old := d.addEndpoint("old", 1, "single", succeed)
			next := d.newUnlistedEndpoint("next", 1)
			d.fixedConfig = testbed.Configuration(d.addr, d.agent)
			d.agent.SetPace(testbed.AgentPace{FirstList: 2 * time.Second})
			if restarted {
				d.startReady()
				d.kill()
			}
			replaceAt(time.Now(), d.agent, old, next)
			d.startReady()
			d.awaitEnds(d.submitAll("y", 5, 1, "status", "upload"))
			d.expectOnlyHost("next", "y")
			d.checkRules()
		})
	}
}
