package platform

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"whinrun/control"
)

// Directory gives endpoints their names towards the module. An endpoint is its host: a new one at an old address is
// another. It is free of I/O; Address and Knows may be called from any goroutine.
type Directory struct {
	zones []string
	kinds []control.DestinationKind

	mu     sync.RWMutex
	next   control.EndpointID
	hosts  map[string]*place
	byID   map[control.EndpointID]*place
	dests  map[int]time.Duration // destinations that are listed, or were: when each was last seen listed
	tidied time.Duration
}

// place is one endpoint that is listed, or was a short while ago.
type place struct {
	host  Host // as the list has it
	entry control.Entry
	addr  netip.AddrPort
	gone  time.Duration // when it left the list, 0 if it is there
}

// forgetAfter is how long endpoints and destinations that are gone are kept: far longer than any message lives.
const (
	forgetAfter = 2 * time.Minute
	tidyEvery   = 10 * time.Second
)

// NewDirectory returns a Directory for zones and kinds as the settings name them.
func NewDirectory(zones []string, kinds []control.DestinationKind) *Directory {
	return &Directory{zones: zones, kinds: kinds, hosts: map[string]*place{}, byID: map[control.EndpointID]*place{},
		dests: map[int]time.Duration{}}
}

// Apply takes a list, or changes of one, and returns the entries that the module is told. A host that can't be used is
// left out, and named in faults.
func (d *Directory) Apply(l EndpointList, now time.Duration) (entries []control.Entry, faults []error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{}
	for i := range l.Hosts {
		h := &l.Hosts[i]
		e, err := d.host(h, now)
		if err != nil {
			faults = append(faults, fmt.Errorf("host %.40q: %w", h.Name, err))
			continue
		}
		seen[h.Name] = true
		if e.Endpoint != 0 {
			entries = append(entries, e)
		}
	}
	if l.Whole {
		for name, p := range d.hosts {
			if !seen[name] && p.gone == 0 {
				p.gone, p.entry.Health = now, control.Gone
				entries = append(entries, p.entry)
			}
		}
	}
	slices.SortFunc(entries, func(a, b control.Entry) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	if now-d.tidied >= tidyEvery {
		d.tidied = now
		d.tidy(now)
	}
	return entries, faults
}

func (d *Directory) host(h *Host, now time.Duration) (control.Entry, error) {
	p := d.hosts[h.Name]
	if h.Health == "gone" {
		if p == nil {
			return control.Entry{}, nil
		}
		p.gone, p.entry.Health = now, control.Gone
		return p.entry, nil
	}
	health := control.Ready
	switch h.Health {
	case "ready":
	case "draining":
		health = control.Draining
	default:
		return control.Entry{}, fmt.Errorf("health %.20q", h.Health)
	}
	addr, err := netip.ParseAddrPort(h.Dial)
	if err != nil {
		return control.Entry{}, err
	}
	kind := slices.IndexFunc(d.kinds, func(k control.DestinationKind) bool { return k.Name == h.Class })
	if kind < 0 && len(d.kinds) > 0 {
		return control.Entry{}, fmt.Errorf("class %.20q", h.Class)
	}
	if h.Name == "" || h.Block < 0 || h.Block > maxDest {
		return control.Entry{}, fmt.Errorf("block %d", h.Block)
	}
	e := control.Entry{Dest: h.Block, Zone: slices.Index(d.zones, h.Site), DestinationKind: max(kind, 0), Health: health, Weight: h.Share}
	if p != nil && p.entry.Dest != e.Dest { // another destination is another endpoint
		delete(d.hosts, h.Name)
		p = nil
	}
	if p == nil {
		d.next++
		p = &place{}
		p.entry.Endpoint = d.next
		d.hosts[h.Name], d.byID[d.next] = p, p
	}
	e.Endpoint = p.entry.Endpoint
	p.host, p.entry, p.addr, p.gone = *h, e, addr, 0
	d.dests[e.Dest] = now
	return e, nil
}

// Snapshot returns all that is listed, as one list of that version.
func (d *Directory) Snapshot(seq int64) EndpointList {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l := EndpointList{Seq: seq, Whole: true, Hosts: []Host{}}
	for _, p := range d.hosts {
		if p.gone == 0 {
			l.Hosts = append(l.Hosts, p.host)
		}
	}
	slices.SortFunc(l.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// maxDest bounds the numbers of destinations, as the simulator's wire does.
const maxDest = 1<<16 - 1

// tidy forgets what left the list long ago.
func (d *Directory) tidy(now time.Duration) {
	for name, p := range d.hosts {
		if p.gone > 0 && now-p.gone > forgetAfter {
			delete(d.hosts, name)
		}
	}
	for id, p := range d.byID {
		if p.gone > 0 && now-p.gone > forgetAfter {
			delete(d.byID, id)
		} else if p.gone == 0 {
			d.dests[p.entry.Dest] = now
		}
	}
	for dest, at := range d.dests {
		if now-at > forgetAfter {
			delete(d.dests, dest)
		}
	}
}

// Address is outbound.Addresses.
func (d *Directory) Address(ep control.EndpointID) (netip.AddrPort, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.byID[ep]
	if p == nil {
		return netip.AddrPort{}, false
	}
	return p.addr, true
}

// IsListed tells whether an endpoint is in the list.
func (d *Directory) IsListed(ep control.EndpointID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.byID[ep]
	return p != nil && p.gone == 0
}

// Lookup returns what the list says of a host; ok is false where it is not listed.
func (d *Directory) Lookup(host string) (e control.Entry, ok bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p := d.hosts[host]
	if p == nil || p.gone != 0 {
		return control.Entry{}, false
	}
	return p.entry, true
}

// HostName is the name of an endpoint, for logs.
func (d *Directory) HostName(ep control.EndpointID) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if p := d.byID[ep]; p != nil {
		return p.host.Name
	}
	return "unknown"
}

// KnowsDestination tells whether a destination is listed, or was a short while ago.
func (d *Directory) KnowsDestination(dest int) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	_, ok := d.dests[dest]
	return ok
}
