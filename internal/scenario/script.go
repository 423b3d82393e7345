// Package scenario rehearses bad days: a script of load and trouble is played through a real dispatcher on loopback, and
// a checker holds what clients and stand-ins saw on their sockets against the six rules. docs/days.md is the page of
// the language.
package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"whinrun/internal/partner"
)

// Script is a day as written.
type Script struct {
	Name         string
	Seed         uint64
	Duration     time.Duration
	Partners     []PartnerSpec
	Loads        []LoadSpec
	Wakes        []WakeSpec
	Steps        []Step
	Settings     map[string]string // keys of [rules], [limits], [outbound], [dispatcher] of the dispatcher, "section.key"
	Classes      []ClassSpec
	Tenants      []TenantSpec
	DiscoveryLag time.Duration // of the endpoint list
	MinServed    float64       // least share served that the day expects
	RateScale    float64       // factor on all rates, for a smaller machine
	AMQPShare    float64       // share of the messages that is handed in by AMQP
}

// ClassSpec is a class of message of the day.
type ClassSpec struct {
	Name     string
	Effect   string
	Aim      time.Duration
	Deadline time.Duration
	Window   time.Duration
	Order    bool
	Worth    string
}

// TenantSpec is a customer; the first is "day", without a quota.
type TenantSpec struct {
	Name  string
	Quota float64
}

// PartnerSpec is a stand-in.
type PartnerSpec struct {
	Endpoints            int
	IndependentEndpoints bool
	Batch                int
	Config               partner.Config
}

// LoadSpec is a stream of messages.
type LoadSpec struct {
	Partner, Class string
	Tenant         string
	Rate           float64
	Keys           int
	TTL            int
	CancelShare    float64 // share of messages that the client withdraws ...
	CancelAfter    time.Duration
	BodySize       int
	From, To       time.Duration
}

// WakeSpec is a wave: many partners, idle until then, behind the endpoints of one stand-in, get one message each.
type WakeSpec struct {
	Count          int
	Partner, Class string
	From, To       time.Duration
}

// Step is something that happens at a time.
type Step struct {
	Line     int
	At       time.Duration
	Duration time.Duration // 0: for the rest of the day
	Target   string        // partner, partner.endpoint, list, dispatcher or load
	Action   string
	Args     []string
}

// words of trouble, with how many arguments each takes at least.
var endpointWords = map[string]int{"crash": 0, "vanish": 0, "hang": 0, "shut": 0, "slow": 1, "pauses": 2, "lose": 1, "error": 1,
	"reset": 1, "refuse": 1, "late": 1, "garble": 1, "missing": 1, "goaway": 0, "streams": 1, "limit": 1, "drain": 0, "replace": 0,
	"preempt": 0}

var otherWords = map[string]map[string]int{
	"list":       {"stale": 0, "unreachable": 0},
	"dispatcher": {"kill": 0, "stop": 0},
	"load":       {"burst": 2, "shift": 2, "hotkey": 1},
}

// Parse reads a script; what is wrong is told with file and line.
func Parse(file, text string) (*Script, error) {
	s := &Script{Seed: 1, Duration: 10 * time.Second, Settings: map[string]string{}, RateScale: 1, Classes: defaultClasses(),
		Tenants: []TenantSpec{{Name: "day"}}}
	var wrong []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if err := s.line(i+1, f); err != nil {
			wrong = append(wrong, fmt.Errorf("%s:%d: %s: %w", file, i+1, f[0], err))
		}
	}
	if len(wrong) == 0 {
		wrong = s.check(file)
	}
	return s, errors.Join(wrong...)
}

func defaultClasses() []ClassSpec {
	return []ClassSpec{
		{Name: "status", Effect: "safe", Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Worth: "2"},
		{Name: "keyed", Effect: "keyed", Window: 3 * time.Second, Aim: 2 * time.Second, Deadline: 6 * time.Second, Worth: "1"},
		{Name: "ordered", Effect: "safe", Aim: 2 * time.Second, Deadline: 6 * time.Second, Order: true, Worth: "1"},
		{Name: "upload", Effect: "unsafe", Aim: 2500 * time.Millisecond, Deadline: 6 * time.Second, Worth: "5"},
	}
}

func (s *Script) line(n int, f []string) error {
	switch f[0] {
	case "day":
		s.Name = strings.Join(f[1:], " ")
		return nil
	case "seed":
		return pairs(f, map[string]any{"seed": &s.Seed})
	case "length":
		return pairs(f, map[string]any{"length": &s.Duration})
	case "amqp":
		return pairs(f, map[string]any{"amqp": &s.AMQPShare})
	case "lag":
		return pairs(f, map[string]any{"lag": &s.DiscoveryLag})
	case "expect":
		return pairs(f[1:], map[string]any{"served": &s.MinServed})
	case "set":
		if len(f) != 3 || strings.Count(f[1], ".") != 1 {
			return errors.New("set SECTION.KEY VALUE")
		}
		s.Settings[f[1]] = f[2]
		return nil
	case "tenant":
		if len(f) < 2 {
			return errors.New("tenant NAME [quota RATE]")
		}
		t := TenantSpec{Name: f[1]}
		err := pairs(f[2:], map[string]any{"quota": &t.Quota})
		s.Tenants = append(s.Tenants, t)
		return err
	case "partner":
		return s.partner(f[1:])
	case "load":
		return s.load(f[1:])
	case "wake":
		w := WakeSpec{Class: "status", To: s.Duration}
		if len(f) < 2 {
			return errors.New("wake COUNT partner NAME")
		}
		if err := scan(f[1], &w.Count); err != nil || w.Count > 50000 {
			return errors.New("wake COUNT, 50000 at most")
		}
		err := pairs(f[2:], map[string]any{"partner": &w.Partner, "class": &w.Class, "from": &w.From, "to": &w.To})
		s.Wakes = append(s.Wakes, w)
		return err
	case "at":
		return s.step(n, f[1:])
	}
	return errors.New("no such word")
}

// pairs reads "name value" pairs into what they name.
func pairs(f []string, into map[string]any) error {
	for len(f) > 0 {
		dst, ok := into[f[0]]
		if !ok {
			return fmt.Errorf("%q is not known here", f[0])
		}
		if flag, is := dst.(*bool); is {
			*flag = true
			f = f[1:]
			continue
		}
		if len(f) < 2 {
			return fmt.Errorf("%s needs a value", f[0])
		}
		if err := scan(f[1], dst); err != nil {
			return fmt.Errorf("%s: %w", f[0], err)
		}
		f = f[2:]
	}
	return nil
}

func scan(v string, dst any) (err error) {
	switch d := dst.(type) {
	case *uint64:
		*d, err = strconv.ParseUint(v, 10, 64)
	case *uint32:
		var n uint64
		n, err = strconv.ParseUint(v, 10, 32)
		*d = uint32(n)
	case *int:
		*d, err = strconv.Atoi(v)
		if err == nil && *d < 0 {
			err = errors.New("is below zero")
		}
	case *float64:
		*d, err = strconv.ParseFloat(strings.TrimPrefix(strings.TrimSuffix(v, "/s"), "x"), 64)
		if err == nil && !(*d >= 0 && *d < 1e9) {
			err = errors.New("is out of range")
		}
	case *time.Duration:
		*d, err = time.ParseDuration(v)
		if err == nil && *d < 0 {
			err = errors.New("is below zero")
		}
	case *string:
		*d = v
	}
	return err
}

func (s *Script) partner(f []string) error {
	if len(f) == 0 || strings.ContainsAny(f[0], "./") {
		return errors.New("needs a name without dots")
	}
	p := PartnerSpec{Endpoints: 1, Batch: 1, Config: partner.Config{Name: f[0], ServiceTime: 10 * time.Millisecond, ColdShare: 0.2,
		WarmUp: 3 * time.Second, OverloadFactor: 2, OverloadWindow: time.Second, SendRetryAfter: true}}
	c := &p.Config
	err := pairs(f[1:], map[string]any{"endpoints": &p.Endpoints, "apart": &p.IndependentEndpoints, "batch": &p.Batch, "pace": &c.ServiceTime, "servers": &c.Concurrency,
		"rate": &c.Capacity, "limit": &c.RateLimit, "conns": &c.MaxConns, "streams": &c.MaxStreams, "reap": &c.IdleTimeout, "handshake": &c.SettingsDelay,
		"cold": &c.ColdShare, "warm-up": &c.WarmUp, "tip": &c.OverloadFactor, "tip-for": &c.OverloadWindow})
	if p.Endpoints < 1 || p.Endpoints > 64 {
		return errors.New("endpoints: 1 to 64")
	}
	s.Partners = append(s.Partners, p)
	return err
}

func (s *Script) load(f []string) error {
	if len(f) < 3 {
		return errors.New("load PARTNER CLASS RATE ...")
	}
	l := LoadSpec{Partner: f[0], Class: f[1], TTL: 60, Tenant: "day", CancelAfter: 200 * time.Millisecond}
	if err := scan(f[2], &l.Rate); err != nil {
		return err
	}
	err := pairs(f[3:], map[string]any{"keys": &l.Keys, "ttl": &l.TTL, "tenant": &l.Tenant, "withdraw": &l.CancelShare, "after": &l.CancelAfter, "size": &l.BodySize,
		"from": &l.From, "to": &l.To})
	s.Loads = append(s.Loads, l)
	return err
}

func (s *Script) step(n int, f []string) error {
	if len(f) < 3 {
		return errors.New("at TIME TARGET WORD ...")
	}
	st := Step{Line: n, Target: f[1], Action: f[2]}
	if err := scan(f[0], &st.At); err != nil {
		return err
	}
	rest := f[3:]
	if k := len(rest); k >= 2 && rest[k-2] == "for" {
		if err := scan(rest[k-1], &st.Duration); err != nil {
			return err
		}
		rest = rest[:k-2]
	}
	st.Args = rest
	known := endpointWords
	if w, ok := otherWords[st.Target]; ok {
		known = w
	}
	need, ok := known[st.Action]
	if !ok {
		return fmt.Errorf("%s can't %q", st.Target, st.Action)
	}
	if len(rest) < need {
		return fmt.Errorf("%s needs %d values", st.Action, need)
	}
	if st.Target != "load" && st.Target != "list" && st.Target != "dispatcher" {
		if _, err := st.fault(0); err != nil {
			return err
		}
	}
	s.Steps = append(s.Steps, st)
	return nil
}

// ParseFault reads a word of trouble with its values, as in a script; "heal" is none.
func ParseFault(words []string) (partner.Fault, error) {
	if len(words) == 0 {
		return partner.Fault{}, errors.New("no word of trouble")
	}
	if words[0] == "heal" {
		return partner.Fault{}, nil
	}
	st := Step{Action: words[0], Args: words[1:]}
	need, ok := endpointWords[st.Action]
	if !ok || len(st.Args) < need {
		return partner.Fault{}, fmt.Errorf("%q is no word of trouble, or needs %d values", st.Action, need)
	}
	return st.fault(0)
}

// fault is the fault that a step puts in force; ok words that are none give the zero Fault.
func (st *Step) fault(until time.Duration) (f partner.Fault, err error) {
	switch st.Action {
	case "crash", "preempt":
		f.Crash = true
	case "vanish":
		f.Blackhole = true
	case "hang":
		f.Hang = true
	case "shut":
		f.Unavailable, f.AvailableAt = true, until
	case "slow":
		err = scan(st.Args[0], &f.SlowFactor)
	case "pauses":
		if err = scan(st.Args[0], &f.Pause); err == nil {
			err = scan(st.Args[1], &f.PauseInterval)
		}
	case "lose":
		err = scan(st.Args[0], &f.LostResponseRate)
	case "error":
		if err = scan(st.Args[0], &f.Error); err == nil && len(st.Args) > 1 {
			f.ErrorClass = st.Args[1]
		}
	case "reset":
		err = scan(st.Args[0], &f.ResetRate)
	case "refuse":
		err = scan(st.Args[0], &f.RefusalRate)
	case "late":
		err = scan(st.Args[0], &f.ResponseDelay)
	case "garble":
		err = scan(st.Args[0], &f.MalformedRate)
	case "missing":
		err = scan(st.Args[0], &f.NotFoundRate)
	}
	return f, err
}

func (s *Script) check(file string) (wrong []error) {
	partners, classes := map[string]int{}, map[string]bool{}
	for _, p := range s.Partners {
		partners[p.Config.Name] = p.Endpoints
	}
	for _, c := range s.Classes {
		classes[c.Name] = true
	}
	if len(s.Partners) == 0 || len(s.Loads) == 0 {
		wrong = append(wrong, fmt.Errorf("%s: a day needs partners and load", file))
	}
	tenants := map[string]bool{}
	for _, t := range s.Tenants {
		tenants[t.Name] = true
	}
	for _, l := range s.Loads {
		if partners[l.Partner] == 0 || !classes[l.Class] || !tenants[l.Tenant] {
			wrong = append(wrong, fmt.Errorf("%s: load for %s %s %s: no such partner or class or tenant", file, l.Partner, l.Class, l.Tenant))
		}
	}
	for _, w := range s.Wakes {
		if partners[w.Partner] == 0 || !classes[w.Class] || w.To <= w.From {
			wrong = append(wrong, fmt.Errorf("%s: wake for %s %s: no such partner or class, or no time for it", file, w.Partner, w.Class))
		}
	}
	for _, st := range s.Steps {
		if _, ok := otherWords[st.Target]; ok {
			continue
		}
		name, no, _ := strings.Cut(st.Target, ".")
		k, err := strconv.Atoi(no)
		if partners[name] == 0 || no != "" && (err != nil || k < 1) { // replacing makes further endpoints
			wrong = append(wrong, fmt.Errorf("%s:%d: no such partner or endpoint: %s", file, st.Line, st.Target))
		}
	}
	return wrong
}
