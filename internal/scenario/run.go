package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"whinrun/control"
	"whinrun/internal/audit"
	"whinrun/internal/config"
	"whinrun/internal/endpointlist"
	"whinrun/internal/load"
	"whinrun/internal/logs"
	"whinrun/internal/loopback"
	"whinrun/internal/partner"
	"whinrun/internal/service"
)

// HealthChange is a change of an endpoint's health in the endpoint list that the dispatcher fetched.
type HealthChange struct {
	// At is when the dispatcher fetched the change.
	At time.Duration
	// Partner is the name of the partner in the list.
	Partner string
	// Endpoint is the address of the endpoint.
	Endpoint netip.AddrPort
	// Health is the new health. It is control.Gone when the endpoint left the list.
	Health control.Health
}

// DispatcherRun is the lifetime of one dispatcher. From is its start. StopRequested is the start of its orderly stop, 0
// if it was killed. To is its end, 0 while it runs.
type DispatcherRun struct{ From, StopRequested, To time.Duration }

// Recording holds everything that was observed in a scenario. All times are on the clock of the log.
type Recording struct {
	// Script is the scenario.
	Script *Script
	// Outcomes are what the clients saw.
	Outcomes []load.Outcome
	// Events are what the stand-ins saw.
	Events []partner.Event
	// HealthChanges are the changes of the endpoint list that the dispatcher fetched.
	HealthChanges []HealthChange
	// Runs are the lifetimes of the dispatchers, in order.
	Runs []DispatcherRun
	// Settings are the rules that the dispatcher was configured with.
	Settings control.Settings
	// UncleanStop reports that an orderly stop left messages without an answer.
	UncleanStop bool

	// StartTime is the wall-clock time at which the clock of the log was 0.
	StartTime time.Time
	// HasAuditTrail reports that an audit trail was kept.
	HasAuditTrail bool
	// AuditTrail are the records of the audit trail.
	AuditTrail []*audit.Record
	// AuditProblems are the defects found while the trail was read and verified.
	AuditProblems []string
}

// endpointList is the endpoint list of a scenario, with the part of its changes that the dispatcher can see.
type endpointList struct {
	mu          sync.Mutex
	now         func() time.Duration
	lag         time.Duration             // delay until a change is visible
	current     []endpointlist.Endpoint   // the list with all changes
	pending     []snapshot                // versions that are not visible yet, oldest first
	visible     snapshot                  // the version that Load returns
	stale       bool                      // new versions do not become visible
	unreachable bool                      // Load fails
	changes     []HealthChange            // changes that Load has returned
	lastHealth  map[string]control.Health // health last returned, by "partner address"
}

// snapshot is one version of the list.
type snapshot struct {
	visibleAt time.Duration
	version   int
	lines     []endpointlist.Endpoint
}

// update modifies the list. The change becomes visible after the lag.
func (l *endpointList) update(modify func([]endpointlist.Endpoint) []endpointlist.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = modify(slices.Clone(l.current))
	version := l.visible.version
	if n := len(l.pending); n > 0 {
		version = l.pending[n-1].version
	}
	l.pending = append(l.pending, snapshot{l.now() + l.lag, version + 1, l.current})
}

// Load implements service.ListSource. It records the changes that it returns.
func (l *endpointList) Load(knownVersion string) ([]endpointlist.Endpoint, string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable && knownVersion != "" {
		return nil, "", errors.New("the endpoint list is unreachable")
	}
	now := l.now()
	for !l.stale && len(l.pending) > 0 && l.pending[0].visibleAt <= now {
		l.visible, l.pending = l.pending[0], l.pending[1:]
	}
	version := strconv.Itoa(l.visible.version)
	if version == knownVersion {
		return nil, version, nil
	}
	l.recordChanges(now)
	return l.visible.lines, version, nil
}

// recordChanges records the differences between the visible list and the one returned before.
func (l *endpointList) recordChanges(now time.Duration) {
	next := map[string]control.Health{}
	for _, e := range l.visible.lines {
		k := e.Partner + " " + e.Addr.String()
		next[k] = e.Health
		if old, ok := l.lastHealth[k]; !ok || old != e.Health {
			l.changes = append(l.changes, HealthChange{now, e.Partner, e.Addr, e.Health})
		}
	}
	for k := range l.lastHealth {
		if _, ok := next[k]; !ok {
			name, addr, _ := strings.Cut(k, " ")
			l.changes = append(l.changes, HealthChange{now, name, netip.MustParseAddrPort(addr), control.Gone})
		}
	}
	l.lastHealth = next
}

// runner runs one scenario.
type runner struct {
	script      *Script
	log         *partner.Log
	partners    map[string]*partner.Partner
	endpoints   *endpointList
	cfg         *config.Config
	logger      *logs.Logger
	addr        string
	amqpAddr    string
	auditFolder string

	mu        sync.Mutex
	svc       *service.Service
	runs      []DispatcherRun
	recording Recording
	errs      []error
}

// Run runs a scenario and returns what was observed. logOutput receives the log of the dispatcher.
func Run(ctx context.Context, script *Script, logOutput io.Writer) (*Recording, error) {
	r := &runner{script: script, log: partner.NewLog(4 << 20), partners: map[string]*partner.Partner{}}
	r.endpoints = &endpointList{now: r.log.Now, lag: script.DiscoveryLag}
	var err error
	if r.auditFolder, err = os.MkdirTemp("", "whinrun-day"); err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(r.auditFolder) }()
	if err := r.setUp(logOutput); err != nil {
		return nil, err
	}
	defer func() {
		for _, p := range r.partners {
			p.Close()
		}
	}()
	if err := r.startDispatcher(); err != nil {
		return nil, err
	}
	client, publisher := load.NewClient(r.addr, 4), load.NewPublisher(r.amqpAddr, "day", "day", 4)
	defer client.Close()
	defer publisher.Close()
	messages := r.buildMessages()
	start := r.log.Now()
	var timeline sync.WaitGroup
	timeline.Add(1)
	go func() {
		defer timeline.Done()
		r.runTimeline(ctx, start)
	}()
	for i := range messages {
		messages[i].At += start
	}
	outcomes := load.Run(ctx, load.MultiSender{Push: client, AMQP: publisher}, messages, r.log.Now, 20000)
	timeline.Wait()
	r.stop(true)
	r.recording.Script, r.recording.Outcomes, r.recording.Events = script, outcomes, r.log.Events()
	r.recording.HealthChanges, r.recording.Runs, r.recording.Settings = r.endpoints.changes, r.runs, r.cfg.Control
	r.recording.HasAuditTrail, r.recording.StartTime = true, r.log.StartTime()
	if r.recording.AuditTrail, r.recording.AuditProblems, err = readAuditTrail(r.auditFolder); err != nil {
		r.errs = append(r.errs, err)
	}
	return &r.recording, errors.Join(append(r.errs, ctx.Err())...)
}

// setUp starts the stand-ins, fills the endpoint list and prepares the settings and the logger of the dispatcher.
func (r *runner) setUp(logOutput io.Writer) error {
	for i, spec := range r.script.Partners {
		spec.Config.Seed = r.script.Seed*100 + uint64(i)
		spec.Config.Capacity *= r.script.RateScale
		spec.Config.RateLimit *= r.script.RateScale
		p := partner.New(spec.Config, r.log)
		r.partners[p.Name()] = p
		for range spec.Endpoints {
			e, err := p.Listen(loopback.Next())
			if err != nil {
				return err
			}
			r.endpoints.current = append(r.endpoints.current, endpointlist.Endpoint{Partner: p.Name(), Addr: e.Addr(), Health: control.Ready})
		}
	}
	for k, w := range r.script.Wakes {
		for i := range r.waveSize(w) {
			for _, e := range r.partners[w.Partner].Endpoints() {
				r.endpoints.current = append(r.endpoints.current, endpointlist.Endpoint{Partner: wavePartnerName(k, w, i), Addr: e.Addr(), Health: control.Ready})
			}
		}
	}
	r.endpoints.visible = snapshot{version: 1, lines: r.endpoints.current}
	var err error
	if r.cfg, err = config.Parse("settings of the day", []byte(r.settings())); err != nil {
		return err
	}
	r.logger, err = logs.New(logOutput, "info", 50)
	return err
}

// settings returns the settings file of the dispatcher.
func (r *runner) settings() string {
	sections := map[string]map[string]string{"dispatcher": {"listen": "127.0.0.1:0", "stop-within": "4s"}, "list": {"every": "20ms"},
		"rules": {"cold-from": "0.2", "warm-up": "3s", "tip-multiple": "2", "overload-for": "1s", "drain-grace": "1s", "settle-after-doubt": "500ms"},
		"audit": {"folder": r.auditFolder}, "amqp": {"listen": "127.0.0.1:0", "heartbeat": "1s"}, "limits": {}, "outbound": {"connect-timeout": "500ms"}}
	for k, v := range r.script.Settings {
		section, key, _ := strings.Cut(k, ".")
		if sections[section] == nil {
			sections[section] = map[string]string{}
		}
		sections[section][key] = v
	}
	var b strings.Builder
	for _, section := range sortedKeys(sections) {
		fmt.Fprintf(&b, "[%s]\n", section)
		for _, k := range sortedKeys(sections[section]) {
			fmt.Fprintf(&b, "%s = %s\n", k, sections[section][k])
		}
	}
	for _, c := range r.script.Classes {
		fmt.Fprintf(&b, "[class %s]\neffect = %s\naim = %v\ndeadline = %v\nworth = %s\n", c.Name, c.Effect, c.Aim, c.Deadline, c.Worth)
		if c.Window > 0 {
			fmt.Fprintf(&b, "window = %v\n", c.Window)
		}
		if c.Order {
			b.WriteString("order = yes\n")
		}
	}
	for _, t := range r.script.Tenants {
		fmt.Fprintf(&b, "[tenant %s]\ntoken = %s\nquota = %g/s\n", t.Name, t.Name, t.Quota*r.script.RateScale)
	}
	for _, p := range r.script.Partners {
		routesApart, rate := "no", ""
		if p.IndependentEndpoints {
			routesApart = "yes"
		}
		if p.Config.Capacity > 0 {
			rate = fmt.Sprintf("rate = %g/s\n", p.Config.Capacity*r.script.RateScale)
		}
		fmt.Fprintf(&b, "[kind of-%s]\nbatch = %d\nroutes-apart = %s\n", p.Config.Name, max(1, p.Batch), routesApart)
		fmt.Fprintf(&b, "[partner %s]\nkind = of-%s\n%sendpoints = 127.0.0.1:1\n", p.Config.Name, p.Config.Name, rate)
		for _, c := range r.script.Classes {
			for _, t := range r.script.Tenants {
				fmt.Fprintf(&b, "[push %s]\npartner = %s\nclass = %s\ntenant = %s\n", pushPath(p.Config.Name, c.Name, t.Name), p.Config.Name, c.Name, t.Name)
			}
		}
	}
	for k, w := range r.script.Wakes {
		for i := range r.waveSize(w) {
			name := wavePartnerName(k, w, i)
			fmt.Fprintf(&b, "[partner %s]\nkind = of-%s\npath = /w/%s\nendpoints = 127.0.0.1:1\n", name, w.Partner, name)
			fmt.Fprintf(&b, "[push %s]\npartner = %s\nclass = %s\ntenant = day\n", pushPath(name, w.Class, "day"), name, w.Class)
		}
	}
	return b.String()
}

// waveSize returns how many partners a wave has at the scale of the run.
func (r *runner) waveSize(w WakeSpec) int { return int(float64(w.Count) * r.script.RateScale) }

// wavePartnerName returns the name of the partner with index i in a wave.
func wavePartnerName(wave int, w WakeSpec, i int) string {
	return fmt.Sprintf("%s-w%d-%d", w.Partner, wave, i)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// startDispatcher starts a dispatcher. A restarted dispatcher takes the addresses of the one before it.
func (r *runner) startDispatcher() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addr != "" {
		r.cfg.Front.Address, r.cfg.AMQP.Address = r.addr, r.amqpAddr
	}
	var err error
	// The listening sockets of the previous dispatcher may still be closing, so the start is retried for a second.
	for range 50 {
		if r.svc, err = service.Start(r.cfg, r.logger, r.endpoints); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.addr, r.amqpAddr = r.svc.Addr().String(), r.svc.AMQPAddr().String()
	r.runs = append(r.runs, DispatcherRun{From: r.log.Now()})
	return nil
}

// stop stops the dispatcher in order, or kills it as a crash would.
func (r *runner) stop(orderly bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.svc == nil {
		return
	}
	run := &r.runs[len(r.runs)-1]
	run.To = r.log.Now()
	if orderly {
		run.StopRequested = run.To
		ctx, done := context.WithTimeout(context.Background(), 10*time.Second)
		defer done()
		if !r.svc.Stop(ctx) {
			r.recording.UncleanStop = true
		}
		run.To = r.log.Now()
	} else {
		r.svc.Kill()
	}
	r.svc = nil
}

// action is a function to call at a time since the start of the scenario.
type action struct {
	at time.Duration
	do func() error
}

// runTimeline performs the steps of the script at their times. start is the time of the log at which the scenario starts.
func (r *runner) runTimeline(ctx context.Context, start time.Duration) {
	var acts []action
	for i := range r.script.Steps {
		acts = append(acts, r.actions(&r.script.Steps[i], start)...)
	}
	sort.SliceStable(acts, func(i, j int) bool { return acts[i].at < acts[j].at })
	for _, a := range acts {
		select {
		case <-time.After(start + a.at - r.log.Now()):
		case <-ctx.Done():
			return
		}
		if err := a.do(); err != nil {
			r.errs = append(r.errs, err)
		}
	}
}

// actions returns the actions at the start and at the end of a step.
func (r *runner) actions(st *Step, start time.Duration) []action {
	end := st.At + st.Duration
	toggle := func(on func(bool)) []action {
		all := []action{{st.At, func() error { on(true); return nil }}}
		if st.Duration > 0 {
			all = append(all, action{end, func() error { on(false); return nil }})
		}
		return all
	}
	switch st.Target {
	case "load":
		return nil // Load steps are applied when the messages are built.
	case "list":
		return toggle(func(on bool) {
			r.endpoints.mu.Lock()
			defer r.endpoints.mu.Unlock()
			if st.Action == "stale" {
				r.endpoints.stale = on
			} else {
				r.endpoints.unreachable = on
			}
		})
	case "dispatcher":
		all := []action{{st.At, func() error { r.stop(st.Action == "stop"); return nil }}}
		if st.Duration > 0 {
			all = append(all, action{end, r.startDispatcher})
		}
		return all
	}
	name, number, _ := strings.Cut(st.Target, ".")
	return r.partnerActions(st, start, r.partners[name], number)
}

// partnerActions returns the actions of a step on a partner. number selects one endpoint, counted from 1; the empty
// string means all of them.
func (r *runner) partnerActions(st *Step, start time.Duration, p *partner.Partner, number string) []action {
	end := st.At + st.Duration
	forEach := func(do func(*partner.Endpoint) error) func() error {
		return func() error {
			var err error
			matched := false
			for i, e := range p.Endpoints() {
				if number == "" || strconv.Itoa(i+1) == number {
					err, matched = errors.Join(err, do(e)), true
				}
			}
			if !matched {
				err = fmt.Errorf("script line %d: endpoint %s does not exist at that time", st.Line, st.Target)
			}
			return err
		}
	}
	switch st.Action {
	case "goaway":
		return []action{{st.At, forEach(func(e *partner.Endpoint) error { e.GoAway(); return nil })}}
	case "streams":
		n, _ := strconv.Atoi(st.Args[0])
		return []action{{st.At, forEach(func(e *partner.Endpoint) error { e.SetMaxStreams(uint32(n)); return nil })}}
	case "limit":
		var limit float64
		_ = parseValue(st.Args[0], &limit)
		sendRetryAfter := len(st.Args) > 1 && st.Args[1] == "told"
		acts := []action{{st.At, func() error { p.SetLimit(limit*r.script.RateScale, sendRetryAfter); return nil }}}
		if st.Duration > 0 {
			acts = append(acts, action{end, func() error { p.SetLimit(0, sendRetryAfter); return nil }})
		}
		return acts
	case "drain":
		return []action{{st.At, forEach(func(e *partner.Endpoint) error { r.setHealth(e, control.Draining); return nil })}}
	case "replace":
		return []action{{st.At, func() error { return r.replaceEndpoints(p) }}}
	}
	f, _ := st.fault(start + end)
	acts := []action{{st.At, forEach(func(e *partner.Endpoint) error { return e.SetFault(f) })}}
	// A preempted endpoint crashes. 300 ms later the list replaces it by a new one.
	if st.Action == "preempt" {
		acts = append(acts, action{st.At + 300*time.Millisecond, forEach(func(e *partner.Endpoint) error {
			r.setHealth(e, control.Gone)
			return r.addEndpoint(p)
		})})
	} else if st.Duration > 0 {
		acts = append(acts, action{end, forEach(func(e *partner.Endpoint) error { return e.SetFault(partner.Fault{}) })})
	}
	return acts
}

// setHealth changes the health of an endpoint in the list. control.Gone removes it.
func (r *runner) setHealth(e *partner.Endpoint, h control.Health) {
	r.endpoints.update(func(lines []endpointlist.Endpoint) []endpointlist.Endpoint {
		var out []endpointlist.Endpoint
		for _, l := range lines {
			if l.Addr == e.Addr() {
				if h == control.Gone {
					continue
				}
				l.Health = h
			}
			out = append(out, l)
		}
		return out
	})
}

// addEndpoint adds an endpoint to a partner and to the list.
func (r *runner) addEndpoint(p *partner.Partner) error {
	e, err := p.Listen(loopback.Next())
	if err != nil {
		return err
	}
	r.endpoints.update(func(lines []endpointlist.Endpoint) []endpointlist.Endpoint {
		names := map[string]bool{}
		// The partners of a wave share the endpoints of the stand-in and get the new one, too.
		for _, l := range lines {
			if l.Partner == p.Name() || strings.HasPrefix(l.Partner, p.Name()+"-w") {
				names[l.Partner] = true
			}
		}
		names[p.Name()] = true
		for _, name := range sortedKeys(names) {
			lines = append(lines, endpointlist.Endpoint{Partner: name, Addr: e.Addr(), Health: control.Ready})
		}
		return lines
	})
	return nil
}

// replaceEndpoints drains all endpoints of a partner and adds a new one for each.
func (r *runner) replaceEndpoints(p *partner.Partner) error {
	for _, e := range p.Endpoints() {
		if err := r.addEndpoint(p); err != nil {
			return err
		}
		r.setHealth(e, control.Draining)
	}
	return nil
}

// pushPath returns the push resource of a partner, class and tenant.
func pushPath(partner, class, tenant string) string {
	return "/" + partner + "/" + class + "/" + tenant
}

// buildMessages returns the messages of the scenario, sorted by time. They depend on the script and its seed only.
func (r *runner) buildMessages() []load.Message {
	rng := rand.New(rand.NewPCG(r.script.Seed, 3))
	var messages []load.Message
	for i, l := range r.script.Loads {
		to := l.To
		if to == 0 {
			to = r.script.Duration
		}
		at := l.From.Seconds()
		for n := 0; ; n++ {
			rate, name, hot := r.rateAt(&l, time.Duration(at*float64(time.Second)))
			at += rng.ExpFloat64() / max(rate*r.script.RateScale, 1e-3)
			when := time.Duration(at * float64(time.Second))
			if when >= to {
				break
			}
			m := load.Message{At: when, CorrelationID: fmt.Sprintf("%d-%d", i, n), Class: l.Class, Path: pushPath(name, l.Class, l.Tenant), Token: l.Tenant,
				TTL: l.TTL, BodySize: l.BodySize, Partner: name, Timeout: r.clientTimeout(l.Class)}
			if l.Keys > 0 {
				m.OrderKey = fmt.Sprintf("%s-k%d", name, rng.IntN(l.Keys))
				if hot {
					m.OrderKey = name + "-k0"
				}
			}
			if rng.Float64() < l.CancelShare {
				m.CancelAfter = time.Duration(float64(l.CancelAfter) * (0.5 + rng.Float64()))
			}
			messages = append(messages, m)
		}
	}
	for k, w := range r.script.Wakes {
		for i := range r.waveSize(w) {
			at := w.From + time.Duration(rng.Float64()*float64(w.To-w.From))
			messages = append(messages, load.Message{At: at, CorrelationID: fmt.Sprintf("w%d-%d", k, i), Class: w.Class, Path: pushPath(wavePartnerName(k, w, i), w.Class, "day"),
				Token: "day", TTL: 60, Partner: wavePartnerName(k, w, i), Timeout: r.clientTimeout(w.Class)})
		}
	}
	sort.SliceStable(messages, func(i, j int) bool { return messages[i].At < messages[j].At })
	// A generator of its own keeps the messages the same for every AMQPShare.
	frontRNG := rand.New(rand.NewPCG(r.script.Seed, 4))
	for i := range messages {
		m := &messages[i]
		// A published message cannot be canceled, and the publisher has the credentials of the tenant "day".
		m.AMQP = frontRNG.Float64() < r.script.AMQPShare && m.CancelAfter == 0 && m.Token == "day"
	}
	return messages
}

// clientTimeout returns how long a client waits for an answer: 3 s beyond the deadline of the class, and a minute for
// an unknown class.
func (r *runner) clientTimeout(class string) time.Duration {
	for _, c := range r.script.Classes {
		if c.Name == class {
			return c.Deadline + 3*time.Second
		}
	}
	return time.Minute
}

// rateAt returns the rate of a load at a time in messages a second, the partner that it goes to, and whether all its
// messages have the same order key. Bursts, shifts and hot keys of the script are applied.
func (r *runner) rateAt(l *LoadSpec, at time.Duration) (rate float64, name string, hot bool) {
	rate, name = l.Rate, l.Partner
	for _, st := range r.script.Steps {
		if st.Target != "load" || at < st.At || st.Duration > 0 && at >= st.At+st.Duration || len(st.Args) == 0 || st.Args[0] != l.Partner {
			continue
		}
		switch st.Action {
		case "burst":
			var x float64
			_ = parseValue(st.Args[1], &x)
			rate *= x
		case "shift":
			name = st.Args[1]
		case "hotkey":
			hot = true
		}
	}
	return rate, name, hot
}
