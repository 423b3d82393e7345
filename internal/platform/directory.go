package platform

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"whinrun/control"
)

// Directory assigns the endpoint numbers by which the decision library knows the listed hosts. A host name is
// one endpoint: a new host at the address of an old one gets a new number. Directory does no I/O, and its
// methods are safe for concurrent use.
type Directory struct {
	zones []string
	kinds []control.DestinationKind

	mu           sync.RWMutex
	lastEndpoint control.EndpointID
	hosts        map[string]*endpointRecord
	byEndpoint   map[control.EndpointID]*endpointRecord
	// destinations holds, for each known destination, when it was last seen in the list.
	destinations map[int]time.Duration
	lastCleanup  time.Duration
}

// endpointRecord is an endpoint that is listed or left the list within goneRetention.
type endpointRecord struct {
	// host is the endpoint as the list describes it.
	host  Host
	entry control.Entry
	addr  netip.AddrPort
	// goneAt is when the endpoint left the list, 0 while it is listed.
	goneAt time.Duration
}

// Times of records that left the list.
const (
	// goneRetention is how long endpoints and destinations are kept after they leave the list. It is far
	// longer than any message lives.
	goneRetention = 2 * time.Minute
	// cleanupInterval is the shortest time between two removals of expired records.
	cleanupInterval = 10 * time.Second
)

// NewDirectory returns an empty Directory. zones and kinds are those of the settings; their order determines
// the numbers that the entries carry.
func NewDirectory(zones []string, kinds []control.DestinationKind) *Directory {
	return &Directory{zones: zones, kinds: kinds, hosts: map[string]*endpointRecord{}, byEndpoint: map[control.EndpointID]*endpointRecord{},
		destinations: map[int]time.Duration{}}
}

// Apply applies a whole list or changes and returns the resulting entries for the decision library, ordered
// by endpoint number. A host that cannot be used is skipped and reported in faults.
func (d *Directory) Apply(l EndpointList, now time.Duration) (entries []control.Entry, faults []error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{}
	for i := range l.Hosts {
		h := &l.Hosts[i]
		changed, err := d.applyHost(h, now)
		if err != nil {
			faults = append(faults, fmt.Errorf("host %.40q: %w", h.Name, err))
			continue
		}
		seen[h.Name] = true
		entries = append(entries, changed...)
	}
	if l.Whole {
		for name, r := range d.hosts {
			if !seen[name] && r.goneAt == 0 {
				entries = append(entries, r.remove(now))
			}
		}
	}
	// Entries of one endpoint keep their order: the last one is its state.
	slices.SortStableFunc(entries, func(a, b control.Entry) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	if now-d.lastCleanup >= cleanupInterval {
		d.lastCleanup = now
		d.removeExpired(now)
	}
	return entries, faults
}

// remove marks an endpoint as gone and returns its entry.
func (r *endpointRecord) remove(now time.Duration) control.Entry {
	r.goneAt, r.entry.Health = now, control.Gone
	return r.entry
}

// applyHost applies one host of a list and returns the entries that follow: none if an unknown host is reported as gone, and
// two if a host has moved to another destination.
func (d *Directory) applyHost(h *Host, now time.Duration) (entries []control.Entry, err error) {
	r := d.hosts[h.Name]
	if h.Health == "gone" {
		if r == nil {
			return nil, nil
		}
		return []control.Entry{r.remove(now)}, nil
	}
	health := control.Ready
	switch h.Health {
	case "ready":
	case "draining":
		health = control.Draining
	default:
		return nil, fmt.Errorf("unknown health %.20q", h.Health)
	}
	addr, err := netip.ParseAddrPort(h.Dial)
	if err != nil {
		return nil, err
	}
	kind := slices.IndexFunc(d.kinds, func(k control.DestinationKind) bool { return k.Name == h.Class })
	if kind < 0 && len(d.kinds) > 0 {
		return nil, fmt.Errorf("unknown class %.20q", h.Class)
	}
	if h.Name == "" || h.Block < 0 || h.Block > maxDestination {
		return nil, fmt.Errorf("empty host name or invalid block %d", h.Block)
	}
	e := control.Entry{Dest: h.Block, Zone: slices.Index(d.zones, h.Site), DestinationKind: max(kind, 0), Health: health, Weight: h.Share}
	// A host that changes its destination is a new endpoint. Nothing for the old destination may be sent to it any more.
	if r != nil && r.entry.Dest != e.Dest {
		if r.goneAt == 0 {
			entries = append(entries, r.remove(now))
		}
		delete(d.hosts, h.Name)
		r = nil
	}
	if r == nil {
		d.lastEndpoint++
		r = &endpointRecord{}
		r.entry.Endpoint = d.lastEndpoint
		d.hosts[h.Name], d.byEndpoint[d.lastEndpoint] = r, r
	}
	e.Endpoint = r.entry.Endpoint
	r.host, r.entry, r.addr, r.goneAt = *h, e, addr, 0
	d.destinations[e.Dest] = now
	return append(entries, e), nil
}

// Snapshot returns all listed endpoints as a whole list of version seq, ordered by name.
func (d *Directory) Snapshot(seq int64) EndpointList {
	d.mu.RLock()
	defer d.mu.RUnlock()
	l := EndpointList{Seq: seq, Whole: true, Hosts: []Host{}}
	for _, r := range d.hosts {
		if r.goneAt == 0 {
			l.Hosts = append(l.Hosts, r.host)
		}
	}
	slices.SortFunc(l.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// maxDestination is the largest destination number. The simulator's wire format has the same bound.
const maxDestination = 1<<16 - 1

// removeExpired forgets endpoints and destinations that left the list more than goneRetention ago.
func (d *Directory) removeExpired(now time.Duration) {
	for name, r := range d.hosts {
		if r.goneAt > 0 && now-r.goneAt > goneRetention {
			delete(d.hosts, name)
		}
	}
	for id, r := range d.byEndpoint {
		if r.goneAt > 0 && now-r.goneAt > goneRetention {
			delete(d.byEndpoint, id)
		} else if r.goneAt == 0 {
			d.destinations[r.entry.Dest] = now
		}
	}
	for dest, at := range d.destinations {
		if now-at > goneRetention {
			delete(d.destinations, dest)
		}
	}
}

// Address implements outbound.Resolver. It also returns the address of an endpoint that left the list
// recently.
func (d *Directory) Address(ep control.EndpointID) (netip.AddrPort, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.byEndpoint[ep]
	if r == nil {
		return netip.AddrPort{}, false
	}
	return r.addr, true
}

// MaxBatch returns the largest number of messages in a call to endpoints of a kind.
func (d *Directory) MaxBatch(kind int) int {
	if kind < 0 || kind >= len(d.kinds) {
		return 1
	}
	return d.kinds[kind].MaxBatch
}

// IsListed reports whether an endpoint is in the list.
func (d *Directory) IsListed(ep control.EndpointID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.byEndpoint[ep]
	return r != nil && r.goneAt == 0
}

// Lookup returns the entry of a host, or false if the host is not listed.
func (d *Directory) Lookup(host string) (e control.Entry, ok bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r := d.hosts[host]
	if r == nil || r.goneAt != 0 {
		return control.Entry{}, false
	}
	return r.entry, true
}

// HostName returns the host name of an endpoint, or "unknown" if it has been forgotten.
func (d *Directory) HostName(ep control.EndpointID) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if r := d.byEndpoint[ep]; r != nil {
		return r.host.Name
	}
	return "unknown"
}

// KnowsDestination reports whether a destination is listed or left the list recently.
func (d *Directory) KnowsDestination(dest int) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	_, ok := d.destinations[dest]
	return ok
}
