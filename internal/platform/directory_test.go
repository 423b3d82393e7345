package platform

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"whinrun/control"
)

// Guards against messages that are sent to a host which has moved to another destination: its endpoint at the old one is gone,
// whether a whole list or a change tells of the move.
func TestHostMovesToAnotherDestination(t *testing.T) {
	for _, whole := range []bool{true, false} {
		d := NewDirectory(nil, nil)
		host := func(block int) []Host {
			return []Host{{Name: "a", Dial: "127.0.0.1:1", Health: "ready", Block: block}}
		}
		before, faults := d.Apply(EndpointList{Whole: true, Hosts: host(1)}, time.Second)
		if len(before) != 1 || len(faults) != 0 {
			t.Fatalf("%v, %v", before, faults)
		}
		old := before[0].Endpoint
		after, _ := d.Apply(EndpointList{Seq: 1, Whole: whole, Hosts: host(2)}, 2*time.Second)
		if len(after) != 2 || after[0].Endpoint != old || after[0].Health != control.Gone || after[0].Dest != 1 || after[1].Dest != 2 || after[1].Health != control.Ready {
			t.Fatalf("whole %v: %+v", whole, after)
		}
		if d.IsListed(old) {
			t.Errorf("whole %v: the old endpoint is listed", whole)
		}
		again, _ := d.Apply(EndpointList{Seq: 2, Whole: whole, Hosts: host(2)}, 3*time.Second)
		if len(again) != 1 || again[0].Endpoint != after[1].Endpoint {
			t.Errorf("whole %v: told again: %+v", whole, again)
		}
	}
}

// A list that names a host several times was applied in a wrong order, so that draining endpoints were called for good (review case 7).
// Whatever hosts the lists name and wherever they are cut, the entries lead to the directory's state, for each endpoint.
func TestEntriesLeadToTheStateOfTheDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory(nil, nil)
		health := map[control.EndpointID]control.Health{}
		now := time.Second
		for range rapid.IntRange(1, 4).Draw(t, "lists") {
			l := EndpointList{Whole: rapid.Bool().Draw(t, "whole")}
			for range rapid.IntRange(0, 60).Draw(t, "hosts") {
				host := rapid.IntRange(0, 15).Draw(t, "host")
				l.Hosts = append(l.Hosts, Host{Name: fmt.Sprint("h", host), Dial: fmt.Sprintf("127.0.0.1:%d", 1+host), Block: rapid.IntRange(1, 2).Draw(t, "block"),
					Health: rapid.SampledFrom([]string{"ready", "draining", "gone"}).Draw(t, "health")})
			}
			entries, faults := d.Apply(l, now)
			if len(faults) > 0 {
				t.Fatal(faults)
			}
			for _, e := range entries {
				health[e.Endpoint] = e.Health
			}
			now += time.Second
		}
		for id, told := range health {
			record := d.byEndpoint[id]
			if record == nil || record.entry.Health != told || d.IsListed(id) != (told != control.Gone) {
				t.Errorf("endpoint %d: told %d, but the directory has %+v", id, told, record)
			}
		}
		for id, record := range d.byEndpoint {
			if _, told := health[id]; !told {
				t.Errorf("endpoint %d was not told: %+v", id, record)
			}
		}
	})
}
