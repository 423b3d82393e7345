package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"whinrun/control"
)

// pairs holds the settings text; the first fault is kept, naming its key.
type pairs struct {
	at  map[string]string
	err error
}

func (p *pairs) fault(key, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %s", key, what)
	}
}

// num reads a number; a key that is absent gives the fallback, or a fault
// where it is needed.
func (p *pairs) num(key string, needed bool, fallback float64) float64 {
	text, ok := p.at[key]
	if !ok {
		if needed {
			p.fault(key, "missing")
		}
		return fallback
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fault(key, fmt.Sprintf("%q is not a number", text))
		return fallback
	}
	if v < 0 {
		p.fault(key, fmt.Sprintf("%s is out of range", text))
		return fallback
	}
	return v
}

func (p *pairs) count(key string, needed bool, fallback int) int {
	v := p.num(key, needed, float64(fallback))
	if v > math.MaxInt32 {
		p.fault(key, fmt.Sprintf("%g is out of range", v))
		return fallback
	}
	return int(v)
}

func (p *pairs) span(key string, needed bool) control.Time {
	v := p.num(key, needed, 0)
	if v > math.MaxInt64/4 {
		p.fault(key, fmt.Sprintf("%g is out of range", v))
		return 0
	}
	return control.Time(v)
}

func (p *pairs) yes(key string) bool { return p.at[key] == "true" }

func (p *pairs) list(key string) []string {
	if p.at[key] == "" {
		return nil
	}
	return strings.Split(p.at[key], ",")
}

// Flatten turns settings that came as nested JSON into the path=value lines of the wire: lists of plain values joined by
// commas, lists of objects by their count and number, spaces and commas within values replaced by _.
func Flatten(text []byte) (string, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.UseNumber()
	var v map[string]any
	if err := dec.Decode(&v); err != nil {
		return "", fmt.Errorf("settings: %w", err)
	}
	var lines []string
	flatten("", v, &lines)
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n", nil
}

func flatten(path string, v any, lines *[]string) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			at := k
			if path != "" {
				at = path + "." + k
			}
			flatten(at, x, lines)
		}
	case []any:
		var plain []string
		for i, x := range v {
			if o, ok := x.(map[string]any); ok {
				flatten(fmt.Sprintf("%s.%d", path, i), o, lines)
				continue
			}
			plain = append(plain, scalar(x))
		}
		if len(plain) < len(v) {
			*lines = append(*lines, fmt.Sprintf("%s.count=%d", path, len(v)))
			return
		}
		*lines = append(*lines, path+"="+strings.Join(plain, ","))
	case nil:
	default:
		*lines = append(*lines, path+"="+scalar(v))
	}
}

var inValue = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

func scalar(v any) string { return inValue.Replace(fmt.Sprint(v)) }

// ParseSettings reads path=value lines. Unknown keys are skipped.
func ParseSettings(text string) (control.Settings, error) {
	p := &pairs{at: make(map[string]string)}
	for line := range strings.Lines(text) {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			p.at[k] = v
		}
	}
	s := control.Settings{
		InstanceIndex: p.count("me", false, 0), Instances: p.count("instances", true, 1), Zone: p.count("zone", false, 0),
		Tick: p.span("tick", true), HalveLateValue: p.at["extra.late"] == "halving",
		OverQuotaFactor: p.num("over-share-worth", false, 1),
		Slots:           p.count("extra.slots", true, 1), MaxOpen: p.count("limits.max-open", true, 1),
		MaxAttempts: p.count("limits.most-tries", true, 1), MayCancel: p.yes("limits.may-cancel"),
		Probes: p.yes("limits.probes"), RetryAfter: p.yes("limits.retry-after"),
		MaxRetryAfter: p.span("limits.max-retry-after", false), ConnIdleTimeout: p.span("limits.conn-idle", false),
		ConnectTimeout: p.span("limits.connect-timeout", false), StreamsPerConn: p.count("limits.streams-per-conn", false, 1),
		StopSendingWithin: p.span("rules.stop-sending-within", false), ColdCapacity: p.num("rules.cold-from", false, 1),
		WarmUp: p.span("rules.warm-up", false), CollapseMultiple: p.num("rules.tip-multiple", false, 1),
		MaxOverload: p.span("rules.overload-for", false), SettleTime: p.span("rules.settle-after-doubt", false),
		ReportRemainingIndex: -1, ReportLimitIndex: -1,
		Gossip: p.yes("limits.peer-messages"), GossipCost: p.num("deductions.peer", false, 0) / maxNote,
		PullList: p.at["membership-mode"] == "subscribe", PullInterval: p.span("rules.ask-every", false),
	}
	switch p.at["weights"] {
	case "nominal":
		s.Weights = control.WeightNominal
	case "rough":
		s.Weights = control.WeightApproximate
	}
	for i, name := range p.list("report.names") {
		switch name {
		case "x0":
			s.ReportRemainingIndex = i
		case "x1":
			s.ReportLimitIndex = i
		}
	}
	for _, text := range p.list("extra.carriage") {
		fee, err := strconv.ParseFloat(text, 64)
		if err != nil || !(fee >= 0) || math.IsInf(fee, 0) {
			p.fault("extra.carriage", fmt.Sprintf("%q is out of range", text))
		}
		s.ZoneCosts = append(s.ZoneCosts, fee)
	}
	p.kinds(&s)
	p.classes(&s)
	for i := range p.count("tenants.count", false, 0) {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, control.Tenant{Name: p.at[at+"name"], Quota: p.num(at+"quota-per-s", true, 0)})
		if p.err != nil {
			break
		}
	}
	return s, p.err
}

func (p *pairs) kinds(s *control.Settings) {
	batch, apart := p.list("extra.batch-by-kind"), p.list("extra.routes-apart")
	for i, name := range p.list("host-types") {
		k := control.DestinationKind{Name: name, MaxBatch: 1}
		if i < len(batch) {
			n, err := strconv.Atoi(batch[i])
			if err != nil || n < 1 {
				p.fault("extra.batch-by-kind", fmt.Sprintf("%q is not a count", batch[i]))
			}
			k.MaxBatch = n
		}
		k.PerEndpointLimits = i < len(apart) && apart[i] == "true"
		s.DestinationKinds = append(s.DestinationKinds, k)
	}
}

func (p *pairs) classes(s *control.Settings) {
	for i := range p.count("classes.count", true, 0) {
		at := fmt.Sprintf("classes.%d.", i)
		c := control.Class{
			Name: p.at[at+"name"], DedupPerZone: p.at[at+"group"] == "zone", DedupWindow: p.span(at+"window", false),
			Target: p.span(at+"target", true), Deadline: p.span(at+"hard-limit", true), Value: p.num(at+"gain", true, 1),
			LateValue: p.num(at+"late-worth", false, 0), InOrder: p.yes(at + "by-arrival"),
		}
		switch effect := p.at[at+"effect"]; effect {
		case "free":
			c.Effect = control.Idempotent
		case "guarded":
			c.Effect = control.Deduplicated
		case "single_shot":
			c.Effect = control.AtMostOnce
		default:
			p.fault(at+"effect", fmt.Sprintf("%q is unknown", effect))
		}
		s.Classes = append(s.Classes, c)
		if p.err != nil {
			return
		}
	}
}
