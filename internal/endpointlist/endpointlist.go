// Package endpointlist keeps the endpoint list: names and addresses of endpoints, whole lists turned into the entries that
// the decision module is told, and what is wrong with a list. It is deterministic and free of I/O.
package endpointlist

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"whinrun/control"
)

// Endpoint is one endpoint as a list names it.
type Endpoint struct {
	Partner string
	Addr    netip.AddrPort
	Zone    int
	Health  control.Health
}

// Partner is what is set up for a destination; endpoints come and go, partners do not.
type Partner struct {
	Name string
	Dest int
	Kind int
	Rate float64 // calls a second that it takes from all dispatchers, 0 if not known
}

// Place is where an endpoint is.
type Location struct {
	Partner int // index, as in New; also the module's number of the destination
	Kind    int
	Addr    netip.AddrPort
}

type place struct {
	dest int
	addr netip.AddrPort
}

// Registry gives endpoints their names towards the module. An endpoint is a partner at an address: two partners on one
// address are two endpoints. Place may be called from any goroutine.
type Registry struct {
	partners []Partner
	byName   map[string]int

	mu     sync.RWMutex
	names  map[place]control.EndpointID
	places []Location

	listed map[control.EndpointID]control.Entry // the list as last told
}

// New returns a Roster for the partners given; their Dest is set to their index.
func New(partners []Partner) *Registry {
	r := &Registry{partners: slices.Clone(partners), byName: map[string]int{}, names: map[place]control.EndpointID{},
		places: make([]Location, 1), listed: map[control.EndpointID]control.Entry{}}
	for i := range r.partners {
		r.partners[i].Dest = i
		r.byName[r.partners[i].Name] = i
	}
	return r
}

// EndpointID returns the module's name of a partner's endpoint, the same for good.
func (r *Registry) EndpointID(dest int, addr netip.AddrPort) control.EndpointID {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := place{dest, addr}
	ep, ok := r.names[at]
	if !ok {
		ep = control.EndpointID(len(r.places))
		r.names[at] = ep
		r.places = append(r.places, Location{Partner: dest, Kind: r.partners[dest].Kind, Addr: addr})
	}
	return ep
}

// Place tells where an endpoint is.
func (r *Registry) Lookup(ep control.EndpointID) (Location, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if ep == 0 || int(ep) >= len(r.places) {
		return Location{}, false
	}
	return r.places[ep], true
}

// Diff is what a new whole list means.
type Diff struct {
	Entries  []control.Entry // what differs from the list before, in a fixed order
	Warnings []string        // what is wrong or strange with the list, a line each
}

// Replace compares a whole list with the one before and keeps it. Lines that name a partner that is not set up are
// left out and reported; of an endpoint named twice the more careful standing counts: a drain always binds.
func (r *Registry) Replace(lines []Endpoint) Diff {
	next := make(map[control.EndpointID]control.Entry, len(lines))
	var c Diff
	for _, l := range lines {
		e, ok := r.entry(l, &c)
		if !ok {
			continue
		}
		if old, twice := next[e.Endpoint]; twice {
			c.Warnings = append(c.Warnings, fmt.Sprintf("endpoint %v of partner %q is listed twice", l.Addr, l.Partner))
			if old.Health != control.Ready {
				e.Health = old.Health
			}
		}
		next[e.Endpoint] = e
	}
	gone, left := 0, map[netip.AddrPort]int{}
	for ep, old := range r.listed {
		if _, still := next[ep]; !still {
			old.Health = control.Gone
			c.Entries = append(c.Entries, old)
			gone++
			if at, ok := r.Lookup(ep); ok {
				left[at.Addr] = old.Dest
			}
		}
	}
	c.Warnings = append(c.Warnings, r.moved(next, left)...)
	for ep, e := range next {
		if old, known := r.listed[ep]; !known || old != e {
			c.Entries = append(c.Entries, e)
		}
	}
	if n := len(r.listed); n > 3 && gone > n/2 {
		c.Warnings = append(c.Warnings, fmt.Sprintf("%d of %d endpoints are gone at once", gone, n))
	}
	slices.SortFunc(c.Entries, func(a, b control.Entry) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	r.listed = next
	return c
}

// moved reports addresses that left one partner and came to another: often a slip of whoever wrote the list. To the
// module they are two endpoints, so nothing learned of the one, and no drain, passes to the other.
func (r *Registry) moved(next map[control.EndpointID]control.Entry, left map[netip.AddrPort]int) (odd []string) {
	for ep, e := range next {
		if _, known := r.listed[ep]; known {
			continue
		}
		at, _ := r.Lookup(ep)
		if from, was := left[at.Addr]; was && from != e.Dest {
			odd = append(odd, fmt.Sprintf("endpoint %v moves from partner %q to %q", at.Addr, r.partners[from].Name, r.partners[e.Dest].Name))
		}
	}
	slices.Sort(odd)
	return odd
}

// ApplyDelta takes changes alone, in time proportional to them: lines that are new or differ, and those gone.
func (r *Registry) ApplyDelta(lines []Endpoint) Diff {
	var c Diff
	for _, l := range lines {
		e, ok := r.entry(l, &c)
		if !ok {
			continue
		}
		old, known := r.listed[e.Endpoint]
		switch {
		case l.Health == control.Gone && !known, known && old == e:
			continue
		case l.Health == control.Gone:
			delete(r.listed, e.Endpoint)
		default:
			r.listed[e.Endpoint] = e
		}
		c.Entries = append(c.Entries, e)
	}
	return c
}

// entry makes a line into what the module is told; one of an unknown partner is reported.
func (r *Registry) entry(l Endpoint, c *Diff) (e control.Entry, ok bool) {
	dest, ok := r.byName[l.Partner]
	if !ok {
		c.Warnings = append(c.Warnings, fmt.Sprintf("endpoint %v: partner %q is not set up", l.Addr, l.Partner))
		return e, false
	}
	p := r.partners[dest]
	return control.Entry{Endpoint: r.EndpointID(dest, l.Addr), Dest: dest, Zone: l.Zone, DestinationKind: p.Kind, Health: l.Health, Weight: p.Rate}, true
}
