package endpointlist

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"whinrun/control"
)

func testAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)}), 80)
}

func testEndpoints(n int) (all []Endpoint) {
	for i := range n {
		all = append(all, Endpoint{Partner: fmt.Sprintf("p%d", i), Addr: testAddr(i), Health: control.Ready})
	}
	return all
}

func testPartners(n int) (all []Partner) {
	for i := range n {
		all = append(all, Partner{Name: fmt.Sprintf("p%d", i)})
	}
	return all
}

// Replace returns only the differences from the current list, and endpoints keep their numbers.
func TestReplaceReturnsDiff(t *testing.T) {
	r := New(testPartners(4))
	l := testEndpoints(4)
	if c := r.Replace(l); len(c.Entries) != 4 || len(c.Warnings) != 0 {
		t.Fatal(c)
	}
	if c := r.Replace(l); len(c.Entries) != 0 {
		t.Error("Replace returned entries for an unchanged list:", c)
	}
	l[1].Health = control.Draining
	c := r.Replace(l[:3])
	if len(c.Entries) != 2 || c.Entries[0].Health != control.Draining || c.Entries[1].Health != control.Gone || c.Entries[1].Dest != 3 {
		t.Error(c)
	}
	if back := r.Replace(l); len(back.Entries) != 1 || back.Entries[0].Endpoint != c.Entries[1].Endpoint {
		t.Error("an endpoint that was listed again has another number:", back)
	}
}

// Suspicious lists give warnings. A drain takes effect even if the same list also reports the endpoint as ready.
func TestListWarnings(t *testing.T) {
	for _, c := range []struct {
		name, want string
		change     func([]Endpoint) []Endpoint
	}{
		{"half gone", "5 of 8 endpoints are gone at once", func(l []Endpoint) []Endpoint { return l[:3] }},
		{"twice", "is listed twice", func(l []Endpoint) []Endpoint { return append(l, l[2]) }},
		{"unknown partner", `partner "q" is not set up`, func(l []Endpoint) []Endpoint { l[2].Partner = "q"; return l }},
		{"moved", `moves from partner "p2" to "p3"`, func(l []Endpoint) []Endpoint { l[2].Partner = "p3"; return l }},
	} {
		r := New(testPartners(8))
		r.Replace(testEndpoints(8))
		if got := r.Replace(c.change(testEndpoints(8))); !strings.Contains(strings.Join(got.Warnings, "; "), c.want) {
			t.Errorf("%s: %v", c.name, got.Warnings)
		}
	}
	r := New(testPartners(1))
	drained := Endpoint{Partner: "p0", Addr: testAddr(0), Health: control.Draining}
	if c := r.Replace([]Endpoint{drained, testEndpoints(1)[0]}); c.Entries[0].Health != control.Draining {
		t.Error("an endpoint listed as draining and as ready is reported as ready")
	}
}

// Two partners at one address are two endpoints.
func TestSharedAddress(t *testing.T) {
	r := New(testPartners(2))
	c := r.Replace([]Endpoint{{Partner: "p0", Addr: testAddr(1), Health: control.Ready}, {Partner: "p1", Addr: testAddr(1), Health: control.Ready}})
	if len(c.Entries) != 2 || c.Entries[0].Endpoint == c.Entries[1].Endpoint || len(c.Warnings) != 0 {
		t.Error(c)
	}
}

func TestApplyDelta(t *testing.T) {
	r := New(testPartners(3))
	r.Replace(testEndpoints(3))
	gone := testEndpoints(3)[1]
	gone.Health = control.Gone
	if c := r.ApplyDelta([]Endpoint{gone, testEndpoints(3)[0]}); len(c.Entries) != 1 || c.Entries[0].Health != control.Gone {
		t.Error(c)
	}
	if c := r.Replace(testEndpoints(3)); len(c.Entries) != 1 {
		t.Error("number of entries in which the full list differs after a delta:", len(c.Entries))
	}
}

func BenchmarkWhole(b *testing.B) {
	r := New(testPartners(100000))
	l := testEndpoints(100000)
	r.Replace(l)
	for b.Loop() {
		l[5].Health ^= 1
		r.Replace(l)
	}
}

func BenchmarkDelta(b *testing.B) {
	r := New(testPartners(100000))
	l := testEndpoints(100000)
	r.Replace(l)
	for b.Loop() {
		l[5].Health ^= 1
		r.ApplyDelta(l[5:6])
	}
}
