// Package scenario plays scripted fault scenarios. A script of load and faults runs through a real dispatcher on
// loopback. A checker then compares what clients and stand-in partners saw on their sockets with the six delivery
// rules. docs/days.md describes the script language.
package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"whinrun/internal/partner"
)

// Script is a parsed scenario.
type Script struct {
	// Name is the title of the scenario.
	Name string
	// Seed seeds the load and the stand-ins.
	Seed uint64
	// Duration is the length of the scenario.
	Duration time.Duration
	// Partners are the stand-in partners.
	Partners []PartnerSpec
	// Loads are the streams of messages.
	Loads []LoadSpec
	// Wakes are the waves of messages to idle partners.
	Wakes []WakeSpec
	// Steps are the faults and changes, in the order of the script.
	Steps []Step
	// Settings are settings of the dispatcher that the scenario overrides, by "section.key".
	Settings map[string]string
	// Classes are the message classes.
	Classes []ClassSpec
	// Tenants are the tenants that send messages.
	Tenants []TenantSpec
	// DiscoveryLag is the delay between a change of the endpoint list and the dispatcher seeing it.
	DiscoveryLag time.Duration
	// MinServed is the smallest share of served messages that the scenario expects.
	MinServed float64
	// RateScale is a factor on all rates, for smaller machines.
	RateScale float64
	// AMQPShare is the share of the messages that is sent over AMQP.
	AMQPShare float64
}

// ClassSpec is a message class. Its fields have the meaning of the class settings of the same names.
type ClassSpec struct {
	// Name is the name of the class.
	Name string
	// Effect is "safe", "keyed" or "unsafe".
	Effect string
	// Aim is the intended delivery time.
	Aim time.Duration
	// Deadline is the time by which a message gets its final answer.
	Deadline time.Duration
	// Window is the deduplication window of a keyed class. 0 leaves the setting out.
	Window time.Duration
	// Order makes messages with the same order key go one after the other.
	Order bool
	// Worth is the value of the setting "worth".
	Worth string
}

// TenantSpec is a tenant. Every script has the tenant "day" without a quota.
type TenantSpec struct {
	// Name is the name and the token of the tenant.
	Name string
	// Quota is the tenant's quota in messages a second. 0 means none.
	Quota float64
}

// PartnerSpec is a stand-in partner.
type PartnerSpec struct {
	// Endpoints is the number of endpoints at the start.
	Endpoints int
	// IndependentEndpoints gives each endpoint limits, waits and outages of its own (the setting "routes-apart").
	IndependentEndpoints bool
	// Batch is the value of the setting "batch".
	Batch int
	// Config is the configuration of the stand-in.
	Config partner.Config
}

// LoadSpec is a stream of messages.
type LoadSpec struct {
	// Partner and Class are the names of the partner and the class of the messages.
	Partner, Class string
	// Tenant is the name of the tenant that sends the messages.
	Tenant string
	// Rate is the mean rate in messages a second, before Script.RateScale. Arrivals are a Poisson process.
	Rate float64
	// Keys is the number of order keys. 0 means messages without order keys.
	Keys int
	// TTL is the time to live in seconds.
	TTL int
	// CancelShare is the share of messages that the client cancels.
	CancelShare float64
	// CancelAfter is the mean time after which the client cancels these messages.
	CancelAfter time.Duration
	// BodySize is the size of a body in bytes.
	BodySize int
	// From and To are the start and the end of the load. A To of 0 means the end of the scenario.
	From, To time.Duration
}

// WakeSpec is a wave of messages to many partners that are idle until then. Each partner gets one message. All of them
// share the endpoints of one stand-in.
type WakeSpec struct {
	// Count is the number of partners, before Script.RateScale.
	Count int
	// Partner is the stand-in, Class the class of the messages.
	Partner, Class string
	// From and To are the time range in which the messages are due.
	From, To time.Duration
}

// Step is a fault or a change at a given time.
type Step struct {
	// Line is the line number in the script.
	Line int
	// At is the time since the start of the scenario.
	At time.Duration
	// Duration is how long the step lasts. 0 means until the end of the scenario.
	Duration time.Duration
	// Target is "list", "dispatcher", "load", a partner, or an endpoint of a partner as "partner.number".
	Target string
	// Action is the keyword of the step.
	Action string
	// Args are the values that follow the keyword.
	Args []string
}

// endpointActions are the actions on partners and their endpoints, with the minimal number of arguments.
var endpointActions = map[string]int{"crash": 0, "vanish": 0, "hang": 0, "shut": 0, "slow": 1, "pauses": 2, "lose": 1, "error": 1,
	"reset": 1, "refuse": 1, "late": 1, "garble": 1, "missing": 1, "goaway": 0, "streams": 1, "limit": 1, "drain": 0, "replace": 0,
	"preempt": 0}

// otherActions are the actions on the other targets, with the minimal number of arguments.
var otherActions = map[string]map[string]int{
	"list":       {"stale": 0, "unreachable": 0},
	"dispatcher": {"kill": 0, "stop": 0},
	"load":       {"burst": 2, "shift": 2, "hotkey": 1},
}

// Parse parses a script. Syntax errors name the file and the line. All errors are joined.
func Parse(file, text string) (*Script, error) {
	s := &Script{Seed: 1, Duration: 10 * time.Second, Settings: map[string]string{}, RateScale: 1, Classes: defaultClasses(),
		Tenants: []TenantSpec{{Name: "day"}}}
	var errs []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.parseLine(i+1, words); err != nil {
			errs = append(errs, fmt.Errorf("%s:%d: %s: %w", file, i+1, words[0], err))
		}
	}
	if len(errs) == 0 {
		errs = s.validate(file)
	}
	return s, errors.Join(errs...)
}

// defaultClasses returns the classes that every scenario has.
func defaultClasses() []ClassSpec {
	return []ClassSpec{
		{Name: "status", Effect: "safe", Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, Worth: "2"},
		{Name: "keyed", Effect: "keyed", Window: 3 * time.Second, Aim: 2 * time.Second, Deadline: 6 * time.Second, Worth: "1"},
		{Name: "ordered", Effect: "safe", Aim: 2 * time.Second, Deadline: 6 * time.Second, Order: true, Worth: "1"},
		{Name: "upload", Effect: "unsafe", Aim: 2500 * time.Millisecond, Deadline: 6 * time.Second, Worth: "5"},
	}
}

// parseLine parses one statement.
func (s *Script) parseLine(lineNo int, words []string) error {
	switch words[0] {
	case "day":
		s.Name = strings.Join(words[1:], " ")
		return nil
	case "seed":
		return parsePairs(words, map[string]any{"seed": &s.Seed})
	case "length":
		return parsePairs(words, map[string]any{"length": &s.Duration})
	case "amqp":
		return parsePairs(words, map[string]any{"amqp": &s.AMQPShare})
	case "lag":
		return parsePairs(words, map[string]any{"lag": &s.DiscoveryLag})
	case "expect":
		return parsePairs(words[1:], map[string]any{"served": &s.MinServed})
	case "set":
		if len(words) != 3 || strings.Count(words[1], ".") != 1 {
			return errors.New("usage: set SECTION.KEY VALUE")
		}
		s.Settings[words[1]] = words[2]
		return nil
	case "tenant":
		if len(words) < 2 {
			return errors.New("usage: tenant NAME [quota RATE]")
		}
		t := TenantSpec{Name: words[1]}
		err := parsePairs(words[2:], map[string]any{"quota": &t.Quota})
		s.Tenants = append(s.Tenants, t)
		return err
	case "partner":
		return s.parsePartner(words[1:])
	case "load":
		return s.parseLoad(words[1:])
	case "wake":
		w := WakeSpec{Class: "status", To: s.Duration}
		if len(words) < 2 {
			return errors.New("usage: wake COUNT partner NAME ...")
		}
		if err := parseValue(words[1], &w.Count); err != nil || w.Count > 50000 {
			return errors.New("COUNT must be a number from 0 to 50000")
		}
		err := parsePairs(words[2:], map[string]any{"partner": &w.Partner, "class": &w.Class, "from": &w.From, "to": &w.To})
		s.Wakes = append(s.Wakes, w)
		return err
	case "at":
		return s.parseStep(lineNo, words[1:])
	}
	return errors.New("no such word")
}

// parsePairs parses "name value" pairs into the targets of these names. A boolean target is set by its name alone.
func parsePairs(words []string, targets map[string]any) error {
	for len(words) > 0 {
		dst, ok := targets[words[0]]
		if !ok {
			return fmt.Errorf("unknown option %q", words[0])
		}
		if flag, is := dst.(*bool); is {
			*flag = true
			words = words[1:]
			continue
		}
		if len(words) < 2 {
			return fmt.Errorf("%s needs a value", words[0])
		}
		if err := parseValue(words[1], dst); err != nil {
			return fmt.Errorf("%s: %w", words[0], err)
		}
		words = words[2:]
	}
	return nil
}

// parseValue parses a value into the variable that dst points to. Numbers and durations must not be negative. A number
// may have the prefix "x" or the suffix "/s".
func parseValue(text string, dst any) (err error) {
	switch d := dst.(type) {
	case *uint64:
		*d, err = strconv.ParseUint(text, 10, 64)
	case *uint32:
		var n uint64
		n, err = strconv.ParseUint(text, 10, 32)
		*d = uint32(n)
	case *int:
		*d, err = strconv.Atoi(text)
		if err == nil && *d < 0 {
			err = errors.New("is below zero")
		}
	case *float64:
		*d, err = strconv.ParseFloat(strings.TrimPrefix(strings.TrimSuffix(text, "/s"), "x"), 64)
		if err == nil && !(*d >= 0 && *d < 1e9) {
			err = errors.New("is out of range")
		}
	case *time.Duration:
		*d, err = time.ParseDuration(text)
		if err == nil && *d < 0 {
			err = errors.New("is below zero")
		}
	case *string:
		*d = text
	}
	return err
}

// parsePartner parses the rest of a "partner" statement.
func (s *Script) parsePartner(words []string) error {
	if len(words) == 0 || strings.ContainsAny(words[0], "./") {
		return errors.New("needs a name without dots and slashes")
	}
	p := PartnerSpec{Endpoints: 1, Batch: 1, Config: partner.Config{Name: words[0], ServiceTime: 10 * time.Millisecond, ColdShare: 0.2,
		WarmUp: 3 * time.Second, OverloadFactor: 2, OverloadWindow: time.Second, SendRetryAfter: true}}
	c := &p.Config
	err := parsePairs(words[1:], map[string]any{"endpoints": &p.Endpoints, "apart": &p.IndependentEndpoints, "batch": &p.Batch, "pace": &c.ServiceTime, "servers": &c.Concurrency,
		"rate": &c.Capacity, "limit": &c.RateLimit, "conns": &c.MaxConns, "streams": &c.MaxStreams, "reap": &c.IdleTimeout, "handshake": &c.SettingsDelay,
		"cold": &c.ColdShare, "warm-up": &c.WarmUp, "tip": &c.OverloadFactor, "tip-for": &c.OverloadWindow})
	if p.Endpoints < 1 || p.Endpoints > 64 {
		return errors.New("the number of endpoints must be from 1 to 64")
	}
	s.Partners = append(s.Partners, p)
	return err
}

// parseLoad parses the rest of a "load" statement.
func (s *Script) parseLoad(words []string) error {
	if len(words) < 3 {
		return errors.New("usage: load PARTNER CLASS RATE ...")
	}
	l := LoadSpec{Partner: words[0], Class: words[1], TTL: 60, Tenant: "day", CancelAfter: 200 * time.Millisecond}
	if err := parseValue(words[2], &l.Rate); err != nil {
		return err
	}
	err := parsePairs(words[3:], map[string]any{"keys": &l.Keys, "ttl": &l.TTL, "tenant": &l.Tenant, "withdraw": &l.CancelShare, "after": &l.CancelAfter, "size": &l.BodySize,
		"from": &l.From, "to": &l.To})
	s.Loads = append(s.Loads, l)
	return err
}

// parseStep parses the rest of an "at" statement.
func (s *Script) parseStep(lineNo int, words []string) error {
	if len(words) < 3 {
		return errors.New("usage: at TIME TARGET ACTION ...")
	}
	st := Step{Line: lineNo, Target: words[1], Action: words[2]}
	if err := parseValue(words[0], &st.At); err != nil {
		return err
	}
	rest := words[3:]
	if k := len(rest); k >= 2 && rest[k-2] == "for" {
		if err := parseValue(rest[k-1], &st.Duration); err != nil {
			return err
		}
		rest = rest[:k-2]
	}
	st.Args = rest
	actions := endpointActions
	if w, ok := otherActions[st.Target]; ok {
		actions = w
	}
	minArgs, ok := actions[st.Action]
	if !ok {
		return fmt.Errorf("%s can't %q", st.Target, st.Action)
	}
	if len(rest) < minArgs {
		return fmt.Errorf("%s needs %d values", st.Action, minArgs)
	}
	if st.Target != "load" && st.Target != "list" && st.Target != "dispatcher" {
		if _, err := st.fault(0); err != nil {
			return err
		}
	}
	s.Steps = append(s.Steps, st)
	return nil
}

// ParseFault parses an action with its values, as in a script, into a fault. "heal" is the zero Fault.
func ParseFault(words []string) (partner.Fault, error) {
	if len(words) == 0 {
		return partner.Fault{}, errors.New("no action given")
	}
	if words[0] == "heal" {
		return partner.Fault{}, nil
	}
	st := Step{Action: words[0], Args: words[1:]}
	minArgs, ok := endpointActions[st.Action]
	if !ok || len(st.Args) < minArgs {
		return partner.Fault{}, fmt.Errorf("unknown action %q, or fewer than %d values", st.Action, minArgs)
	}
	return st.fault(0)
}

// fault returns the fault that a step injects. Actions that inject none give the zero Fault. until is the end of the
// step on the clock of the log, for Fault.AvailableAt.
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
		err = parseValue(st.Args[0], &f.SlowFactor)
	case "pauses":
		if err = parseValue(st.Args[0], &f.Pause); err == nil {
			err = parseValue(st.Args[1], &f.PauseInterval)
		}
	case "lose":
		err = parseValue(st.Args[0], &f.LostResponseRate)
	case "error":
		if err = parseValue(st.Args[0], &f.Error); err == nil && len(st.Args) > 1 {
			f.ErrorClass = st.Args[1]
		}
	case "reset":
		err = parseValue(st.Args[0], &f.ResetRate)
	case "refuse":
		err = parseValue(st.Args[0], &f.RefusalRate)
	case "late":
		err = parseValue(st.Args[0], &f.ResponseDelay)
	case "garble":
		err = parseValue(st.Args[0], &f.MalformedRate)
	case "missing":
		err = parseValue(st.Args[0], &f.NotFoundRate)
	}
	return f, err
}

// validate checks the names that statements refer to.
func (s *Script) validate(file string) (errs []error) {
	partners, classes := map[string]int{}, map[string]bool{}
	for _, p := range s.Partners {
		partners[p.Config.Name] = p.Endpoints
	}
	for _, c := range s.Classes {
		classes[c.Name] = true
	}
	if len(s.Partners) == 0 || len(s.Loads) == 0 {
		errs = append(errs, fmt.Errorf("%s: a day needs partners and load", file))
	}
	tenants := map[string]bool{}
	for _, t := range s.Tenants {
		tenants[t.Name] = true
	}
	for _, l := range s.Loads {
		if partners[l.Partner] == 0 || !classes[l.Class] || !tenants[l.Tenant] {
			errs = append(errs, fmt.Errorf("%s: load for %s %s %s: no such partner or class or tenant", file, l.Partner, l.Class, l.Tenant))
		}
	}
	for _, w := range s.Wakes {
		if partners[w.Partner] == 0 || !classes[w.Class] || w.To <= w.From {
			errs = append(errs, fmt.Errorf("%s: wake for %s %s: no such partner or class, or an empty time range", file, w.Partner, w.Class))
		}
	}
	for _, st := range s.Steps {
		if _, ok := otherActions[st.Target]; ok {
			continue
		}
		name, number, _ := strings.Cut(st.Target, ".")
		k, err := strconv.Atoi(number)
		// The number may exceed the endpoints at the start, because replaced endpoints get new numbers.
		if partners[name] == 0 || number != "" && (err != nil || k < 1) {
			errs = append(errs, fmt.Errorf("%s:%d: no such partner or endpoint: %s", file, st.Line, st.Target))
		}
	}
	return errs
}
