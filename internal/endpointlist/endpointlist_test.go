package endpointlist

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"whinrun/control"
)

func at(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)}), 80)
}

func lines(n int) (all []Endpoint) {
	for i := range n {
		all = append(all, Endpoint{Partner: fmt.Sprintf("p%d", i), Addr: at(i), Health: control.Ready})
	}
	return all
}

func partners(n int) (all []Partner) {
	for i := range n {
		all = append(all, Partner{Name: fmt.Sprintf("p%d", i)})
	}
	return all
}

// A whole list is told as what differs; names of endpoints stay.
func TestReplaceReturnsDiff(t *testing.T) {
	r := New(partners(4))
	l := lines(4)
	if c := r.Replace(l); len(c.Entries) != 4 || len(c.Warnings) != 0 {
		t.Fatal(c)
	}
	if c := r.Replace(l); len(c.Entries) != 0 {
		t.Error("unchanged list told again:", c)
	}
	l[1].Health = control.Draining
	c := r.Replace(l[:3])
	if len(c.Entries) != 2 || c.Entries[0].Health != control.Draining || c.Entries[1].Health != control.Gone || c.Entries[1].Dest != 3 {
		t.Error(c)
	}
	if back := r.Replace(l); len(back.Entries) != 1 || back.Entries[0].Endpoint != c.Entries[1].Endpoint {
		t.Error("an endpoint that comes back has another name:", back)
	}
}

// What is strange with a list is reported, and drains bind whatever else it says.
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
		r := New(partners(8))
		r.Replace(lines(8))
		if got := r.Replace(c.change(lines(8))); !strings.Contains(strings.Join(got.Warnings, "; "), c.want) {
			t.Errorf("%s: %v", c.name, got.Warnings)
		}
	}
	r := New(partners(1))
	drained := Endpoint{Partner: "p0", Addr: at(0), Health: control.Draining}
	if c := r.Replace([]Endpoint{drained, lines(1)[0]}); c.Entries[0].Health != control.Draining {
		t.Error("listed twice, once draining: told as ready")
	}
}

// Two partners on one address are two endpoints.
func TestSharedAddress(t *testing.T) {
	r := New(partners(2))
	c := r.Replace([]Endpoint{{Partner: "p0", Addr: at(1), Health: control.Ready}, {Partner: "p1", Addr: at(1), Health: control.Ready}})
	if len(c.Entries) != 2 || c.Entries[0].Endpoint == c.Entries[1].Endpoint || len(c.Warnings) != 0 {
		t.Error(c)
	}
}

func TestApplyDelta(t *testing.T) {
	r := New(partners(3))
	r.Replace(lines(3))
	gone := lines(3)[1]
	gone.Health = control.Gone
	if c := r.ApplyDelta([]Endpoint{gone, lines(3)[0]}); len(c.Entries) != 1 || c.Entries[0].Health != control.Gone {
		t.Error(c)
	}
	if c := r.Replace(lines(3)); len(c.Entries) != 1 {
		t.Error("after a delta the whole list differs in", len(c.Entries))
	}
}

func BenchmarkReplace(b *testing.B) {
	r := New(partners(100000))
	l := lines(100000)
	r.Replace(l)
	for b.Loop() {
		l[5].Health ^= 1
		r.Replace(l)
	}
}

func BenchmarkApplyDelta(b *testing.B) {
	r := New(partners(100000))
	l := lines(100000)
	r.Replace(l)
	for b.Loop() {
		l[5].Health ^= 1
		r.ApplyDelta(l[5:6])
	}
}
