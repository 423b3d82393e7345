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
	"whinrun/internal/partner"
	"whinrun/internal/service"
)

// Told is a change of the endpoint list, as the dispatcher was told it.
type HealthChange struct {
	At       time.Duration
	Partner  string
	Endpoint netip.AddrPort
	Health   control.Health
}

// DispatcherRun is a time in which a dispatcher ran; Stopping is when it was told to stop in order, 0 where it was killed.
type DispatcherRun struct{ From, StopRequested, To time.Duration }

// Recording is all that was seen of a day, on one clock.
type Recording struct {
	Script        *Script
	Outcomes      []load.Outcome
	Events        []partner.Event
	HealthChanges []HealthChange
	Runs          []DispatcherRun
	Settings      control.Settings
	UncleanStop   bool // an orderly stop left messages without an answer

	StartTime     time.Time // when the day's clock was 0
	HasAuditTrail bool      // a trail was kept
	AuditTrail    []*audit.Record
	AuditProblems []string
}

// list is the endpoint list of a day: what stands in it, and what the dispatcher sees of that.
type list struct {
	mu          sync.Mutex
	now         func() time.Duration
	lag         time.Duration
	lines       []endpointlist.Endpoint
	history     []snapshot // not yet seen, oldest first
	seen        snapshot
	stale       bool
	unreachable bool
	told        []HealthChange
	known       map[string]control.Health
}

type snapshot struct {
	at      time.Duration
	version int
	lines   []endpointlist.Endpoint
}

// change alters the list; it is seen after the lag.
func (l *list) change(alter func([]endpointlist.Endpoint) []endpointlist.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = alter(slices.Clone(l.lines))
	version := l.seen.version
	if n := len(l.history); n > 0 {
		version = l.history[n-1].version
	}
	l.history = append(l.history, snapshot{l.now() + l.lag, version + 1, l.lines})
}

// Load is service.ListSource. What it returns is noted as told.
func (l *list) Load(known string) ([]endpointlist.Endpoint, string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable && known != "" {
		return nil, "", errors.New("the list is out of reach")
	}
	now := l.now()
	for !l.stale && len(l.history) > 0 && l.history[0].at <= now {
		l.seen, l.history = l.history[0], l.history[1:]
	}
	version := strconv.Itoa(l.seen.version)
	if version == known {
		return nil, version, nil
	}
	l.note(now)
	return l.seen.lines, version, nil
}

func (l *list) note(now time.Duration) {
	next := map[string]control.Health{}
	for _, e := range l.seen.lines {
		k := e.Partner + " " + e.Addr.String()
		next[k] = e.Health
		if old, ok := l.known[k]; !ok || old != e.Health {
			l.told = append(l.told, HealthChange{now, e.Partner, e.Addr, e.Health})
		}
	}
	for k := range l.known {
		if _, ok := next[k]; !ok {
			name, addr, _ := strings.Cut(k, " ")
			l.told = append(l.told, HealthChange{now, name, netip.MustParseAddrPort(addr), control.Gone})
		}
	}
	l.known = next
}

// runner plays one day.
type runner struct {
	s        *Script
	log      *partner.Log
	partners map[string]*partner.Partner
	list     *list
	cfg      *config.Config
	logger   *logs.Logger
	addr     string
	amqpAddr string
	folder   string // of the audit trail

	mu    sync.Mutex
	svc   *service.Service
	lives []DispatcherRun
	rec   Recording
	errs  []error
}

// Run plays a day and returns what was seen. lines takes the dispatcher's own log.
func Run(ctx context.Context, s *Script, lines io.Writer) (*Recording, error) {
	r := &runner{s: s, log: partner.NewLog(4 << 20), partners: map[string]*partner.Partner{}}
	r.list = &list{now: r.log.Now, lag: s.DiscoveryLag}
	var err error
	if r.folder, err = os.MkdirTemp("", "whinrun-day"); err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(r.folder) }()
	if err := r.setUp(lines); err != nil {
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
	msgs := r.messages()
	base := r.log.Now()
	var timeline sync.WaitGroup
	timeline.Add(1)
	go func() {
		defer timeline.Done()
		r.play(ctx, base)
	}()
	for i := range msgs {
		msgs[i].At += base
	}
	out := load.Run(ctx, load.MultiSender{Push: client, AMQP: publisher}, msgs, r.log.Now, 20000)
	timeline.Wait()
	r.stop(true)
	r.rec.Script, r.rec.Outcomes, r.rec.Events = s, out, r.log.Events()
	r.rec.HealthChanges, r.rec.Runs, r.rec.Settings = r.list.told, r.lives, r.cfg.Control
	r.rec.HasAuditTrail, r.rec.StartTime = true, r.log.StartTime()
	if r.rec.AuditTrail, r.rec.AuditProblems, err = readTrail(r.folder); err != nil {
		r.errs = append(r.errs, err)
	}
	return &r.rec, errors.Join(append(r.errs, ctx.Err())...)
}

func (r *runner) setUp(lines io.Writer) error {
	for i, spec := range r.s.Partners {
		spec.Config.Seed = r.s.Seed*100 + uint64(i)
		spec.Config.Capacity *= r.s.RateScale
		spec.Config.RateLimit *= r.s.RateScale
		p := partner.New(spec.Config, r.log)
		r.partners[p.Name()] = p
		for range spec.Endpoints {
			e, err := p.Listen("127.0.0.1:0")
			if err != nil {
				return err
			}
			r.list.lines = append(r.list.lines, endpointlist.Endpoint{Partner: p.Name(), Addr: e.Addr(), Health: control.Ready})
		}
	}
	for k, w := range r.s.Wakes {
		for i := range r.count(w) {
			for _, e := range r.partners[w.Partner].Endpoints() {
				r.list.lines = append(r.list.lines, endpointlist.Endpoint{Partner: sleeper(k, w, i), Addr: e.Addr(), Health: control.Ready})
			}
		}
	}
	r.list.seen = snapshot{version: 1, lines: r.list.lines}
	var err error
	if r.cfg, err = config.Parse("settings of the day", []byte(r.settings())); err != nil {
		return err
	}
	r.logger, err = logs.New(lines, "info", 50)
	return err
}

// settings writes the dispatcher's settings for the day.
func (r *runner) settings() string {
	by := map[string]map[string]string{"dispatcher": {"listen": "127.0.0.1:0", "stop-within": "4s"}, "list": {"every": "20ms"},
		"rules": {"cold-from": "0.2", "warm-up": "3s", "tip-multiple": "2", "overload-for": "1s", "drain-grace": "1s", "settle-after-doubt": "500ms"},
		"audit": {"folder": r.folder}, "amqp": {"listen": "127.0.0.1:0", "heartbeat": "1s"}, "limits": {}, "outbound": {"connect-timeout": "500ms"}}
	for k, v := range r.s.Settings {
		section, key, _ := strings.Cut(k, ".")
		if by[section] == nil {
			by[section] = map[string]string{}
		}
		by[section][key] = v
	}
	var b strings.Builder
	for _, section := range sorted(by) {
		fmt.Fprintf(&b, "[%s]\n", section)
		for _, k := range sorted(by[section]) {
			fmt.Fprintf(&b, "%s = %s\n", k, by[section][k])
		}
	}
	for _, c := range r.s.Classes {
		fmt.Fprintf(&b, "[class %s]\neffect = %s\naim = %v\ndeadline = %v\nworth = %s\n", c.Name, c.Effect, c.Aim, c.Deadline, c.Worth)
		if c.Window > 0 {
			fmt.Fprintf(&b, "window = %v\n", c.Window)
		}
		if c.Order {
			b.WriteString("order = yes\n")
		}
	}
	for _, t := range r.s.Tenants {
		fmt.Fprintf(&b, "[tenant %s]\ntoken = %s\nquota = %g/s\n", t.Name, t.Name, t.Quota*r.s.RateScale)
	}
	for _, p := range r.s.Partners {
		apart, rate := "no", ""
		if p.IndependentEndpoints {
			apart = "yes"
		}
		if p.Config.Capacity > 0 {
			rate = fmt.Sprintf("rate = %g/s\n", p.Config.Capacity*r.s.RateScale)
		}
		fmt.Fprintf(&b, "[kind of-%s]\nbatch = %d\nroutes-apart = %s\n", p.Config.Name, max(1, p.Batch), apart)
		fmt.Fprintf(&b, "[partner %s]\nkind = of-%s\n%sendpoints = 127.0.0.1:1\n", p.Config.Name, p.Config.Name, rate)
		for _, c := range r.s.Classes {
			for _, t := range r.s.Tenants {
				fmt.Fprintf(&b, "[push %s]\npartner = %s\nclass = %s\ntenant = %s\n", path(p.Config.Name, c.Name, t.Name), p.Config.Name, c.Name, t.Name)
			}
		}
	}
	for k, w := range r.s.Wakes {
		for i := range r.count(w) {
			name := sleeper(k, w, i)
			fmt.Fprintf(&b, "[partner %s]\nkind = of-%s\npath = /w/%s\nendpoints = 127.0.0.1:1\n", name, w.Partner, name)
			fmt.Fprintf(&b, "[push %s]\npartner = %s\nclass = %s\ntenant = day\n", path(name, w.Class, "day"), name, w.Class)
		}
	}
	return b.String()
}

// count is how many partners a wave has at the scale of the run.
func (r *runner) count(w WakeSpec) int { return int(float64(w.Count) * r.s.RateScale) }

// sleeper names one partner of a wave.
func sleeper(wave int, w WakeSpec, i int) string { return fmt.Sprintf("%s-w%d-%d", w.Partner, wave, i) }

func sorted[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (r *runner) startDispatcher() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addr != "" {
		r.cfg.Front.Address, r.cfg.AMQP.Address = r.addr, r.amqpAddr
	}
	var err error
	for range 50 { // the port of the one before may still be closing
		if r.svc, err = service.Start(r.cfg, r.logger, r.list); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.addr, r.amqpAddr = r.svc.Addr().String(), r.svc.AMQPAddr().String()
	r.lives = append(r.lives, DispatcherRun{From: r.log.Now()})
	return nil
}

// stop ends the dispatcher, orderly or as a crash would.
func (r *runner) stop(orderly bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.svc == nil {
		return
	}
	life := &r.lives[len(r.lives)-1]
	life.To = r.log.Now()
	if orderly {
		life.StopRequested = life.To
		ctx, done := context.WithTimeout(context.Background(), 10*time.Second)
		defer done()
		if !r.svc.Stop(ctx) {
			r.rec.UncleanStop = true
		}
		life.To = r.log.Now()
	} else {
		r.svc.Kill()
	}
	r.svc = nil
}

// act is one thing to do at a time.
type act struct {
	at time.Duration
	do func() error
}

// play does what the script says, at its times.
func (r *runner) play(ctx context.Context, base time.Duration) {
	var acts []act
	for i := range r.s.Steps {
		acts = append(acts, r.acts(&r.s.Steps[i], base)...)
	}
	sort.SliceStable(acts, func(i, j int) bool { return acts[i].at < acts[j].at })
	for _, a := range acts {
		select {
		case <-time.After(base + a.at - r.log.Now()):
		case <-ctx.Done():
			return
		}
		if err := a.do(); err != nil {
			r.errs = append(r.errs, err)
		}
	}
}

// acts turns a step into what is done at its beginning and its end.
func (r *runner) acts(st *Step, base time.Duration) []act {
	end := st.At + st.Duration
	both := func(on func(bool)) []act {
		all := []act{{st.At, func() error { on(true); return nil }}}
		if st.Duration > 0 {
			all = append(all, act{end, func() error { on(false); return nil }})
		}
		return all
	}
	switch st.Target {
	case "load":
		return nil // its messages are made beforehand
	case "list":
		return both(func(on bool) {
			r.list.mu.Lock()
			defer r.list.mu.Unlock()
			if st.Action == "stale" {
				r.list.stale = on
			} else {
				r.list.unreachable = on
			}
		})
	case "dispatcher":
		all := []act{{st.At, func() error { r.stop(st.Action == "stop"); return nil }}}
		if st.Duration > 0 {
			all = append(all, act{end, r.startDispatcher})
		}
		return all
	}
	name, no, _ := strings.Cut(st.Target, ".")
	return r.partnerActs(st, base, r.partners[name], no)
}

func (r *runner) partnerActs(st *Step, base time.Duration, p *partner.Partner, no string) []act {
	end := st.At + st.Duration
	each := func(do func(*partner.Endpoint) error) func() error {
		return func() error {
			var err error
			hit := false
			for i, e := range p.Endpoints() {
				if no == "" || strconv.Itoa(i+1) == no {
					err, hit = errors.Join(err, do(e)), true
				}
			}
			if !hit {
				err = fmt.Errorf("line %d of the script: there is no endpoint %s at that time", st.Line, st.Target)
			}
			return err
		}
	}
	switch st.Action {
	case "goaway":
		return []act{{st.At, each(func(e *partner.Endpoint) error { e.GoAway(); return nil })}}
	case "streams":
		n, _ := strconv.Atoi(st.Args[0])
		return []act{{st.At, each(func(e *partner.Endpoint) error { e.SetMaxStreams(uint32(n)); return nil })}}
	case "limit":
		var limit float64
		_ = scan(st.Args[0], &limit)
		told := len(st.Args) > 1 && st.Args[1] == "told"
		acts := []act{{st.At, func() error { p.SetLimit(limit*r.s.RateScale, told); return nil }}}
		if st.Duration > 0 {
			acts = append(acts, act{end, func() error { p.SetLimit(0, told); return nil }})
		}
		return acts
	case "drain":
		return []act{{st.At, each(func(e *partner.Endpoint) error { r.relist(e, control.Draining); return nil })}}
	case "replace":
		return []act{{st.At, func() error { return r.replace(p) }}}
	}
	f, _ := st.fault(base + end)
	acts := []act{{st.At, each(func(e *partner.Endpoint) error { return e.SetFault(f) })}}
	if st.Action == "preempt" { // it dies, then the list says so and names another
		acts = append(acts, act{st.At + 300*time.Millisecond, each(func(e *partner.Endpoint) error {
			r.relist(e, control.Gone)
			return r.join(p)
		})})
	} else if st.Duration > 0 {
		acts = append(acts, act{end, each(func(e *partner.Endpoint) error { return e.SetFault(partner.Fault{}) })})
	}
	return acts
}

// relist changes the standing of an endpoint in the list.
func (r *runner) relist(e *partner.Endpoint, h control.Health) {
	r.list.change(func(lines []endpointlist.Endpoint) []endpointlist.Endpoint {
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

// join adds an endpoint to a partner.
func (r *runner) join(p *partner.Partner) error {
	e, err := p.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	r.list.change(func(lines []endpointlist.Endpoint) []endpointlist.Endpoint {
		seen := map[string]bool{}
		for _, l := range lines { // the partners of a wave behind it, too
			if l.Partner == p.Name() || strings.HasPrefix(l.Partner, p.Name()+"-w") {
				seen[l.Partner] = true
			}
		}
		seen[p.Name()] = true
		for _, name := range sorted(seen) {
			lines = append(lines, endpointlist.Endpoint{Partner: name, Addr: e.Addr(), Health: control.Ready})
		}
		return lines
	})
	return nil
}

// replace drains all endpoints of a partner and adds as many new ones.
func (r *runner) replace(p *partner.Partner) error {
	for _, e := range p.Endpoints() {
		if err := r.join(p); err != nil {
			return err
		}
		r.relist(e, control.Draining)
	}
	return nil
}

// path is the push resource of a partner, class and tenant.
func path(partner, class, tenant string) string { return "/" + partner + "/" + class + "/" + tenant }

// messages makes the load of the day from its seed.
func (r *runner) messages() []load.Message {
	rng := rand.New(rand.NewPCG(r.s.Seed, 3))
	var all []load.Message
	for i, l := range r.s.Loads {
		to := l.To
		if to == 0 {
			to = r.s.Duration
		}
		at := l.From.Seconds()
		for n := 0; ; n++ {
			rate, name, hot := r.rate(&l, time.Duration(at*float64(time.Second)))
			at += rng.ExpFloat64() / max(rate*r.s.RateScale, 1e-3)
			when := time.Duration(at * float64(time.Second))
			if when >= to {
				break
			}
			m := load.Message{At: when, CorrelationID: fmt.Sprintf("%d-%d", i, n), Class: l.Class, Path: path(name, l.Class, l.Tenant), Token: l.Tenant,
				TTL: l.TTL, BodySize: l.BodySize, Partner: name, Timeout: r.patience(l.Class)}
			if l.Keys > 0 {
				m.OrderKey = fmt.Sprintf("%s-k%d", name, rng.IntN(l.Keys))
				if hot {
					m.OrderKey = name + "-k0"
				}
			}
			if rng.Float64() < l.CancelShare {
				m.CancelAfter = time.Duration(float64(l.CancelAfter) * (0.5 + rng.Float64()))
			}
			all = append(all, m)
		}
	}
	for k, w := range r.s.Wakes {
		for i := range r.count(w) {
			at := w.From + time.Duration(rng.Float64()*float64(w.To-w.From))
			all = append(all, load.Message{At: at, CorrelationID: fmt.Sprintf("w%d-%d", k, i), Class: w.Class, Path: path(sleeper(k, w, i), w.Class, "day"),
				Token: "day", TTL: 60, Partner: sleeper(k, w, i), Timeout: r.patience(w.Class)})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	by := rand.New(rand.NewPCG(r.s.Seed, 4)) // apart: the messages are the same whichever front they come by
	for i := range all {
		m := &all[i]
		m.AMQP = by.Float64() < r.s.AMQPShare && m.CancelAfter == 0 && m.Token == "day" // publishes can't be withdrawn
	}
	return all
}

// patience is how long a client waits for the answer that is due: well past the deadline of the class.
func (r *runner) patience(class string) time.Duration {
	for _, c := range r.s.Classes {
		if c.Name == class {
			return c.Deadline + 3*time.Second
		}
	}
	return time.Minute
}

// rate is the rate of a load at a time, with the bursts and shifts of the script, and where it goes.
func (r *runner) rate(l *LoadSpec, at time.Duration) (rate float64, name string, hot bool) {
	rate, name = l.Rate, l.Partner
	for _, st := range r.s.Steps {
		if st.Target != "load" || at < st.At || st.Duration > 0 && at >= st.At+st.Duration || len(st.Args) == 0 || st.Args[0] != l.Partner {
			continue
		}
		switch st.Action {
		case "burst":
			var x float64
			_ = scan(st.Args[1], &x)
			rate *= x
		case "shift":
			name = st.Args[1]
		case "hotkey":
			hot = true
		}
	}
	return rate, name, hot
}
