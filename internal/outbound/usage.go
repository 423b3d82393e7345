package outbound

import "fmt"

// CheckUsage returns an error if the sums of calls and connections differ from what they are the sums of. It looks at everything that
// the pool holds, so it is for tests.
func (p *Pool) CheckUsage() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls, onConn := map[*endpointPool]int{}, map[*conn]int{}
	for _, k := range p.openCalls() {
		calls[k.endpoint]++
		if k.conn != nil {
			onConn[k.conn]++
		}
		if p.endpoints[k.endpoint.id] != k.endpoint {
			return fmt.Errorf("a call waits for endpoint %d, which the pool does not know", k.endpoint.id)
		}
	}
	established, dialing := 0, 0
	for _, s := range p.endpoints {
		dialing += s.dialing
		if s.calls != calls[s] {
			return fmt.Errorf("endpoint %d: %d calls, but %d have attempts without an end", s.id, s.calls, calls[s])
		}
		for _, c := range s.conns {
			if c.established {
				established++
			}
			if c.inFlight != onConn[c] {
				return fmt.Errorf("endpoint %d, connection %d: %d calls in flight, but %d have attempts without an end", s.id, c.number, c.inFlight, onConn[c])
			}
		}
	}
	if conns, handshakes := p.scheduler.InUse(); conns != established || handshakes != dialing {
		return fmt.Errorf("the scheduler counts %d connections and %d handshakes, but there are %d and %d", conns, handshakes, established, dialing)
	}
	return nil
}

// openCalls returns the calls that have attempts without an end. Pool.mu must be held.
func (p *Pool) openCalls() (calls []*call) {
	seen := map[*call]bool{}
	for _, t := range p.attempts {
		if !seen[t.call] {
			seen[t.call] = true
			calls = append(calls, t.call)
		}
	}
	return calls
}
