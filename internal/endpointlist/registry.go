// Package endpointlist keeps the list of partner endpoints. It assigns numbers to endpoints, compares a new list with the
// current one, converts the differences into entries for the decision library, and reports suspicious lists. It does no
// I/O.
package endpointlist

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"whinrun/control"
)

// Endpoint is one endpoint in a list.
type Endpoint struct {
	// Partner is the name of the partner that the endpoint belongs to.
	Partner string
	// Addr is the address that the endpoint listens on.
	Addr netip.AddrPort
	// Zone is the number of the zone that the endpoint is in.
	Zone int
	// Health is the health that the list reports.
	Health control.Health
}

// Partner is a configured destination. The set of partners is fixed, while their endpoints change.
type Partner struct {
	// Name identifies the partner in lists.
	Name string
	// Dest is the number of the destination in the decision library.
	Dest int
	// Kind is the index of the kind of partner.
	Kind int
	// Rate is the number of calls per second that the partner accepts from all dispatchers together. 0 means unknown.
	Rate float64
}

// Location tells which partner an endpoint belongs to and where it listens.
type Location struct {
	// Partner is the index of the partner in the argument of New. It is also the destination number.
	Partner int
	// Kind is the index of the kind of partner.
	Kind int
	// Addr is the address that the endpoint listens on.
	Addr netip.AddrPort
}

// locationKey identifies an endpoint by its partner and its address.
type locationKey struct {
	dest int
	addr netip.AddrPort
}

// Registry assigns endpoint numbers for the decision library and keeps the current list. An endpoint is a pair of partner
// and address, so two partners at one address are two endpoints. EndpointID and Lookup are safe for concurrent use.
type Registry struct {
	partners []Partner
	byName   map[string]int

	mu        sync.RWMutex
	ids       map[locationKey]control.EndpointID
	locations []Location

	// current is the list that the last call of Replace or ApplyDelta left.
	current map[control.EndpointID]control.Entry
}

// New returns a Registry for the given partners. It sets the Dest of each partner to its index.
func New(partners []Partner) *Registry {
	registry := &Registry{partners: slices.Clone(partners), byName: map[string]int{}, ids: map[locationKey]control.EndpointID{},
		locations: make([]Location, 1), current: map[control.EndpointID]control.Entry{}}
	for i := range registry.partners {
		registry.partners[i].Dest = i
		registry.byName[registry.partners[i].Name] = i
	}
	return registry
}

// EndpointID returns the number of a partner's endpoint. It assigns a number on the first call and never changes it.
func (r *Registry) EndpointID(dest int, addr netip.AddrPort) control.EndpointID {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := locationKey{dest, addr}
	id, ok := r.ids[key]
	if !ok {
		id = control.EndpointID(len(r.locations))
		r.ids[key] = id
		r.locations = append(r.locations, Location{Partner: dest, Kind: r.partners[dest].Kind, Addr: addr})
	}
	return id
}

// Lookup returns the location of an endpoint. It returns false if the number was never assigned.
func (r *Registry) Lookup(ep control.EndpointID) (Location, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if ep == 0 || int(ep) >= len(r.locations) {
		return Location{}, false
	}
	return r.locations[ep], true
}

// Diff is the result of a new list or of a delta.
type Diff struct {
	// Entries are the endpoints that were added, changed or removed. Replace sorts them by endpoint number. ApplyDelta
	// keeps the order of the delta.
	Entries []control.Entry
	// Warnings describe errors and suspicious changes in the list, one line each.
	Warnings []string
}

// Replace compares a complete list with the current one and makes it the current one. Endpoints of an unknown partner are
// skipped with a warning. If an endpoint is listed twice, a health other than ready takes precedence, so that a drain is
// never lost.
func (r *Registry) Replace(endpoints []Endpoint) Diff {
	next := make(map[control.EndpointID]control.Entry, len(endpoints))
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

// movedEndpoints returns warnings for addresses that were removed from one partner and added to another, which is often a
// mistake in the list. The decision library sees two different endpoints, so neither statistics nor a drain carry over.
func (r *Registry) movedEndpoints(next map[control.EndpointID]control.Entry, removedAddrs map[netip.AddrPort]int) (warnings []string) {
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

// ApplyDelta applies a list of changes: endpoints that are new or changed, and endpoints whose health is Gone. It takes
// time proportional to the number of changes.
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

// toEntry converts a listed endpoint into an entry for the decision library. It adds a warning to diff and returns false
// if the partner is unknown.
func (r *Registry) toEntry(endpoint Endpoint, diff *Diff) (entry control.Entry, ok bool) {
	dest, ok := r.byName[endpoint.Partner]
	if !ok {
		diff.Warnings = append(diff.Warnings, fmt.Sprintf("endpoint %v: partner %q is not set up", endpoint.Addr, endpoint.Partner))
		return entry, false
	}
	partner := r.partners[dest]
	return control.Entry{Endpoint: r.EndpointID(dest, endpoint.Addr), Dest: dest, Zone: endpoint.Zone, DestinationKind: partner.Kind, Health: endpoint.Health, Weight: partner.Rate}, true
}
