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

type locationKey struct {
	dest int
	addr netip.AddrPort
}

// Registry gives endpoints their names towards the module. An endpoint is a partner at an address: two partners on one
// address are two endpoints. Place may be called from any goroutine.
type Registry struct {
	partners []Partner
	byName   map[string]int

	mu        sync.RWMutex
	ids       map[locationKey]control.Endpoint
	locations []Location

	current map[control.Endpoint]control.Entry // the list as last told
}

// New returns a Roster for the partners given; their Dest is set to their index.
func New(partners []Partner) *Registry {
	registry := &Registry{partners: slices.Clone(partners), byName: map[string]int{}, ids: map[locationKey]control.Endpoint{},
		locations: make([]Location, 1), current: map[control.Endpoint]control.Entry{}}
	for i := range registry.partners {
		registry.partners[i].Dest = i
		registry.byName[registry.partners[i].Name] = i
	}
	return registry
}

// EndpointID returns the module's name of a partner's endpoint, the same for good.
func (r *Registry) EndpointID(dest int, addr netip.AddrPort) control.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := locationKey{dest, addr}
	id, ok := r.ids[key]
	if !ok {
		id = control.Endpoint(len(r.locations))
		r.ids[key] = id
		r.locations = append(r.locations, Location{Partner: dest, Kind: r.partners[dest].Kind, Addr: addr})
	}
	return id
}

// Place tells where an endpoint is.
func (r *Registry) Lookup(ep control.Endpoint) (Location, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if ep == 0 || int(ep) >= len(r.locations) {
		return Location{}, false
	}
	return r.locations[ep], true
}

// Diff is what a new whole list means.
type Diff struct {
	Entries  []control.Entry // what differs from the list before, in a fixed order
	Warnings []string        // what is wrong or strange with the list, a line each
}

// Replace compares a whole list with the one before and keeps it. Lines that name a partner that is not set up are
// left out and reported; of an endpoint named twice the more careful standing counts: a drain always binds.
func (r *Registry) Replace(endpoints []Endpoint) Diff {
	next := make(map[control.Endpoint]control.Entry, len(endpoints))
	var diff Diff
	for _, endpoint := range endpoints {
		entry, ok := r.toEntry(endpoint, &diff)
		if !ok {
			continue
		}
		if old, duplicate := next[entry.Endpoint]; duplicate {
			diff.Warnings = append(diff.Warnings, fmt.Sprintf("endpoint %v of partner %q is listed twice", endpoint.Addr, endpoint.Partner))
			if old.Health != control.Ready {
				entry.Health = old.Health
			}
		}
		next[entry.Endpoint] = entry
	}
	removed, removedAddrs := 0, map[netip.AddrPort]int{}
	for ep, old := range r.current {
		if _, listed := next[ep]; !listed {
			old.Health = control.Gone
			diff.Entries = append(diff.Entries, old)
			removed++
			if location, ok := r.Lookup(ep); ok {
				removedAddrs[location.Addr] = old.Dest
			}
		}
	}
	diff.Warnings = append(diff.Warnings, r.movedEndpoints(next, removedAddrs)...)
	for ep, entry := range next {
		if old, known := r.current[ep]; !known || old != entry {
			diff.Entries = append(diff.Entries, entry)
		}
	}
	if total := len(r.current); total > 3 && removed > total/2 {
		diff.Warnings = append(diff.Warnings, fmt.Sprintf("%d of %d endpoints are gone at once", removed, total))
	}
	slices.SortFunc(diff.Entries, func(a, b control.Entry) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	r.current = next
	return diff
}

// movedEndpoints reports addresses that left one partner and came to another: often a slip of whoever wrote the list. To the
// module they are two endpoints, so nothing learned of the one, and no drain, passes to the other.
func (r *Registry) movedEndpoints(next map[control.Endpoint]control.Entry, removedAddrs map[netip.AddrPort]int) (warnings []string) {
	for ep, entry := range next {
		if _, known := r.current[ep]; known {
			continue
		}
		location, _ := r.Lookup(ep)
		if previous, moved := removedAddrs[location.Addr]; moved && previous != entry.Dest {
			warnings = append(warnings, fmt.Sprintf("endpoint %v moves from partner %q to %q", location.Addr, r.partners[previous].Name, r.partners[entry.Dest].Name))
		}
	}
	slices.Sort(warnings)
	return warnings
}

// ApplyDelta takes changes alone, in time proportional to them: lines that are new or differ, and those gone.
func (r *Registry) ApplyDelta(endpoints []Endpoint) Diff {
	var diff Diff
	for _, endpoint := range endpoints {
		entry, ok := r.toEntry(endpoint, &diff)
		if !ok {
			continue
		}
		old, known := r.current[entry.Endpoint]
		switch {
		case endpoint.Health == control.Gone && !known, known && old == entry:
			continue
		case endpoint.Health == control.Gone:
			delete(r.current, entry.Endpoint)
		default:
			r.current[entry.Endpoint] = entry
		}
		diff.Entries = append(diff.Entries, entry)
	}
	return diff
}

// toEntry makes a line into what the module is told; one of an unknown partner is reported.
func (r *Registry) toEntry(endpoint Endpoint, diff *Diff) (entry control.Entry, ok bool) {
	dest, ok := r.byName[endpoint.Partner]
	if !ok {
		diff.Warnings = append(diff.Warnings, fmt.Sprintf("endpoint %v: partner %q is not set up", endpoint.Addr, endpoint.Partner))
		return entry, false
	}
	partner := r.partners[dest]
	return control.Entry{Endpoint: r.EndpointID(dest, endpoint.Addr), Dest: dest, Zone: endpoint.Zone, Kind: partner.Kind, Health: endpoint.Health, Weight: partner.Rate}, true
}
