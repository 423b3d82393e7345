package platform

import (
	"testing"
	"time"

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
