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

// settingValues holds the settings by their keys. It keeps the first error, which names its key.
type settingValues struct {
	values map[string]string
	err    error
}

// fail records an error about a key, unless there was one before.
func (p *settingValues) fail(key, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %s", key, what)
	}
}

// number reads a number that is not negative. For an absent key it returns the fallback, and fails if the key is needed.
func (p *settingValues) number(key string, needed bool, fallback float64) float64 {
	text, ok := p.values[key]
	if !ok {
		if needed {
			p.fail(key, "missing")
		}
		return fallback
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail(key, fmt.Sprintf("%q is not a number", text))
		return fallback
	}
	if v < 0 {
		p.fail(key, fmt.Sprintf("%s is out of range", text))
		return fallback
	}
	return v
}

// count reads a number that fits into 32 bits, and cuts off its fraction.
func (p *settingValues) count(key string, needed bool, fallback int) int {
	v := p.number(key, needed, float64(fallback))
	if v > math.MaxInt32 {
		p.fail(key, fmt.Sprintf("%g is out of range", v))
		return fallback
	}
	return int(v)
}

// duration reads a time in microseconds. Its upper limit leaves room for sums of several times.
func (p *settingValues) duration(key string, needed bool) control.Time {
	v := p.number(key, needed, 0)
	if v > math.MaxInt64/4 {
		p.fail(key, fmt.Sprintf("%g is out of range", v))
		return 0
	}
	return control.Time(v)
}

// boolean reads a flag. All values but "true" mean false.
func (p *settingValues) boolean(key string) bool { return p.values[key] == "true" }

// list reads a list that is separated by commas.
func (p *settingValues) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// Flatten converts settings from nested JSON to the path=value lines of the wire. A list of plain values becomes one value,
// joined by commas. A list of objects becomes its count and one path for each index. Spaces, commas and line breaks within values
// are replaced by underscores.
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

// scalarReplacer replaces characters that have a meaning in path=value lines.
var scalarReplacer = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

func scalar(v any) string { return scalarReplacer.Replace(fmt.Sprint(v)) }

// ParseSettings parses path=value lines. Unknown keys are ignored. The error names the first key that is missing or not valid.
func ParseSettings(text string) (control.Settings, error) {
	p := &settingValues{values: make(map[string]string)}
	for line := range strings.Lines(text) {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			p.values[k] = v
		}
	}
	s := control.Settings{
		InstanceIndex: p.count("me", false, 0), Instances: p.count("instances", true, 1), Zone: p.count("zone", false, 0),
		Tick: p.duration("tick", true), HalveLateValue: p.values["extra.late"] == "halving",
		OverQuotaFactor: p.number("over-share-worth", false, 1),
		Slots:           p.count("extra.slots", true, 1), MaxOpen: p.count("limits.max-open", true, 1),
		MaxAttempts: p.count("limits.most-tries", true, 1), MayCancel: p.boolean("limits.may-cancel"),
		Probes: p.boolean("limits.probes"), RetryAfter: p.boolean("limits.retry-after"),
		MaxRetryAfter: p.duration("limits.max-retry-after", false), ConnIdleTimeout: p.duration("limits.conn-idle", false),
		ConnectTimeout: p.duration("limits.connect-timeout", false), StreamsPerConn: p.count("limits.streams-per-conn", false, 1),
		StopSendingWithin: p.duration("rules.stop-sending-within", false), ColdCapacity: p.number("rules.cold-from", false, 1),
		WarmUp: p.duration("rules.warm-up", false), CollapseMultiple: p.number("rules.tip-multiple", false, 1),
		MaxOverload: p.duration("rules.overload-for", false), SettleTime: p.duration("rules.settle-after-doubt", false),
		ReportRemainingIndex: -1, ReportLimitIndex: -1,
		Gossip: p.boolean("limits.peer-messages"), GossipCost: p.number("deductions.peer", false, 0) / maxNoteBytes,
		PullList: p.values["membership-mode"] == "subscribe", PullInterval: p.duration("rules.ask-every", false),
	}
	switch p.values["weights"] {
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
			p.fail("extra.carriage", fmt.Sprintf("%q is out of range", text))
		}
		s.ZoneCosts = append(s.ZoneCosts, fee)
	}
	p.kinds(&s)
	p.classes(&s)
	for i := range p.count("tenants.count", false, 0) {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, control.Tenant{Name: p.values[at+"name"], Quota: p.number(at+"quota-per-s", true, 0)})
		if p.err != nil {
			break
		}
	}
	return s, p.err
}

// kinds reads the kinds of destinations.
func (p *settingValues) kinds(s *control.Settings) {
	batch, apart := p.list("extra.batch-by-kind"), p.list("extra.routes-apart")
	for i, name := range p.list("host-types") {
		k := control.DestinationKind{Name: name, MaxBatch: 1}
		if i < len(batch) {
			n, err := strconv.Atoi(batch[i])
			if err != nil || n < 1 {
				p.fail("extra.batch-by-kind", fmt.Sprintf("%q is not a count", batch[i]))
			}
			k.MaxBatch = n
		}
		k.PerEndpointLimits = i < len(apart) && apart[i] == "true"
		s.DestinationKinds = append(s.DestinationKinds, k)
	}
}

// classes reads the message classes.
func (p *settingValues) classes(s *control.Settings) {
	for i := range p.count("classes.count", true, 0) {
		at := fmt.Sprintf("classes.%d.", i)
		c := control.Class{
			Name: p.values[at+"name"], DedupPerZone: p.values[at+"group"] == "zone", DedupWindow: p.duration(at+"window", false),
			Target: p.duration(at+"target", true), Deadline: p.duration(at+"hard-limit", true), Value: p.number(at+"gain", true, 1),
			LateValue: p.number(at+"late-worth", false, 0), InOrder: p.boolean(at + "by-arrival"),
		}
		switch effect := p.values[at+"effect"]; effect {
		case "free":
			c.Effect = control.Idempotent
		case "guarded":
			c.Effect = control.Deduplicated
		case "single_shot":
			c.Effect = control.AtMostOnce
		default:
			p.fail(at+"effect", fmt.Sprintf("%q is unknown", effect))
		}
		s.Classes = append(s.Classes, c)
		if p.err != nil {
			return
		}
	}
}
