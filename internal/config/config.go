package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"whinrun/control"
	"whinrun/internal/amqp"
	"whinrun/internal/audit"
	"whinrun/internal/door"
	"whinrun/internal/endpointlist"
	"whinrun/internal/engine"
	"whinrun/internal/front"
	"whinrun/internal/h2"
	"whinrun/internal/intake"
	"whinrun/internal/logstore/plan"
	"whinrun/internal/mailbox"
	"whinrun/internal/opener"
	"whinrun/internal/outbound"
	"whinrun/internal/push"
	"whinrun/internal/pushfront"
)

// Config is a whole setup, checked.
type Config struct {
	Control      control.Settings
	Front        front.Config
	Push         pushfront.Config
	AMQP         front.Config // its address is empty where AMQP is off
	AMQPConn     amqp.Config
	Outbound     outbound.Config
	EngineBounds engine.Bounds
	Audit        audit.Config
	Mailbox      mailbox.Limits
	Admission    door.Limits

	BackgroundShare   float64 // share of a core
	GCPercent         int     // percent, as of debug.SetGCPercent
	LogLevel          string
	LogLinesPerSecond float64
	StopTimeout       time.Duration

	Intake           intake.Setup
	Classes          []string
	Partners         []endpointlist.Partner
	PartnerResources []push.PartnerResource // by partner
	Dialects         []push.Dialect
	Endpoints        []endpointlist.Endpoint // endpoints of the partner sections
	ListFile         string
	ListInterval     time.Duration
}

func (s *section) duration(key string) time.Duration {
	return time.Duration(s.numbers[key] * float64(time.Second))
}
func (s *section) controlTime(key string) control.Time {
	return control.Time(s.numbers[key] * float64(control.Second))
}
func (s *section) integer(key string) int { return int(s.numbers[key]) }

// singleSection returns a section that stands once at most; its defaults where it does not stand.
func (r *parser) singleSection(name string) *section {
	for _, s := range r.sections {
		if s.spec.name == name {
			return s
		}
	}
	spec, _, _ := findSection(name)
	s := &section{spec: spec, values: map[string]string{}, numbers: map[string]float64{}, lines: map[string]int{}}
	r.applyDefaults(s)
	return s
}

func (r *parser) allSections(name string) (all []*section, index map[string]int) {
	index = map[string]int{}
	for _, s := range r.sections {
		if s.spec.name == name {
			index[s.name] = len(all)
			all = append(all, s)
		}
	}
	return all, index
}

// resolve finds what a key names.
func (r *parser) resolve(s *section, key string, index map[string]int) int {
	i, ok := index[s.values[key]]
	if !ok {
		r.addProblem(s.lines[key], key, "there is no [%s %s]", key, s.values[key])
	}
	return i
}

func (r *parser) build() *Config {
	c := &Config{}
	d, l, o := r.singleSection("dispatcher"), r.singleSection("limits"), r.singleSection("outbound")
	c.LogLevel, c.LogLinesPerSecond, c.StopTimeout = d.values["log"], d.numbers["log-lines"], d.duration("stop-within")
	c.GCPercent, c.BackgroundShare = d.integer("garbage"), d.numbers["background"]
	c.Intake.MaxBody = l.integer("body")
	streamWindow := uint32(min(max(64<<10, c.Intake.MaxBody), 1<<20))
	bounds := h2.Config{MaxStreams: uint32(l.integer("streams")), MaxHeaderList: l.integer("headers"), StreamWindow: streamWindow,
		ConnWindow: 4 << 20, Handshake: l.duration("handshake"), Stall: l.duration("stall"),
		AbuseBurst: l.numbers["abuse-burst"], AbuseRate: l.numbers["abuse-rate"]}
	c.Front = front.Config{Address: d.values["listen"], Loops: d.integer("loops"), Unread: l.integer("unread")}
	r.buildAMQP(c, d, l)
	a := r.singleSection("audit")
	c.Audit = audit.Config{Folder: a.values["folder"], Buffer: a.integer("buffer"), SealEvery: a.duration("seal-every"),
		Policy: plan.Policy{SyncWithin: a.duration("sync-within"), SyncBytes: 256 << 10, SegmentBytes: int64(a.numbers["segment"]),
			KeepFor: a.duration("keep-for"), KeepBytes: int64(a.numbers["keep-bytes"]), RetryEvery: time.Second}}
	c.Push = pushfront.Config{IdleTimeout: l.duration("client-idle"), H2: bounds}
	bounds.MaxStreams, bounds.StreamWindow, bounds.ConnWindow = 1, 64<<10, 1<<20
	c.Outbound = outbound.Config{Loops: d.integer("loops"), Conns: o.integer("connections"), Streams: o.integer("streams"),
		ConnectTimeout: o.duration("connect-timeout"),
		Opening:        opener.Budget{PerSecond: o.numbers["handshakes"], Opening: o.integer("opening"), Total: o.integer("total")}, Idle: o.duration("idle"), MaxAnswer: o.integer("answer"), H2: bounds}
	r.buildList(c)
	r.buildClasses(c)
	r.buildPartners(c)
	r.buildControl(c, l, o)
	return c
}

func (r *parser) buildAMQP(c *Config, d, l *section) {
	a := r.singleSection("amqp")
	c.AMQP = front.Config{Address: a.values["listen"], Loops: d.integer("loops"), Unread: max(l.integer("unread"), 2*c.Intake.MaxBody)}
	c.AMQPConn = amqp.Config{Product: "whinrun", ChannelMax: uint16(a.integer("channels")), FrameMax: a.integer("frame"), Heartbeat: a.duration("heartbeat"),
		Handshake: l.duration("handshake"), Stall: l.duration("stall"), AbuseBurst: l.numbers["abuse-burst"], AbuseRate: l.numbers["abuse-rate"]}
	q := r.singleSection("answers")
	c.Mailbox = mailbox.Limits{Queues: q.integer("queues"), Length: q.integer("queue-length"), Idle: q.duration("queue-idle"), Keep: q.duration("keep")}
	if h := c.AMQPConn.Heartbeat; h%time.Second != 0 {
		r.addProblem(a.lines["heartbeat"], "heartbeat", "is not in whole seconds")
	}
}

func (r *parser) buildList(c *Config) {
	s := r.singleSection("list")
	c.ListFile, c.ListInterval = s.values["file"], s.duration("every")
	if c.ListFile != "" {
		if _, err := os.Stat(c.ListFile); err != nil {
			r.addProblem(s.lines["file"], "file", "%v", err)
		}
	}
}

func (r *parser) buildClasses(c *Config) {
	classes, _ := r.allSections("class")
	if len(classes) == 0 {
		r.addProblem(0, "", "no [class NAME] section: at least one is needed")
	}
	effects := map[string]control.Effect{"safe": control.Free, "keyed": control.Guarded, "unsafe": control.SingleShot}
	for _, s := range classes {
		k := control.Class{Name: s.name, Effect: effects[s.values["effect"]], Window: s.controlTime("window"), Aim: s.controlTime("aim"),
			Deadline: s.controlTime("deadline"), Worth: s.numbers["worth"], LateWorth: s.numbers["late-worth"], InOrder: s.numbers["order"] == 1}
		if k.Deadline < k.Aim {
			r.addProblem(s.lines["deadline"], "deadline", "is shorter than the aim")
		}
		if (k.Effect == control.Guarded) != (k.Window > 0) {
			r.addProblem(max(s.lines["window"], s.line), "window", "is needed for keyed classes, and only there")
		}
		c.Classes = append(c.Classes, s.name)
		c.Control.Classes = append(c.Control.Classes, k)
	}
	tenants, _ := r.allSections("tenant")
	tokens := map[string]string{}
	for i, s := range tenants {
		c.Intake.Tenants = append(c.Intake.Tenants, s.name)
		c.Control.Tenants = append(c.Control.Tenants, control.Tenant{Name: s.name, Quota: s.numbers["quota"]})
		if t, ok := s.values["token"]; ok {
			if t == "" || strings.ContainsAny(t, " \t") {
				r.addProblem(s.lines["token"], "token", "is empty or has blanks in it")
			}
			if o := tokens[t]; o != "" {
				r.addProblem(s.lines["token"], "token", "is that of tenant %s, too", o)
			}
			tokens[t] = s.name
			c.Intake.Tokens = append(c.Intake.Tokens, intake.NewToken(t, i))
		}
	}
}

func (r *parser) buildPartners(c *Config) {
	kinds, kindAt := r.allSections("kind")
	for _, s := range kinds {
		c.Control.Kinds = append(c.Control.Kinds, control.Kind{Name: s.name, Batch: s.integer("batch"), RoutesApart: s.numbers["routes-apart"] == 1})
		c.Dialects = append(c.Dialects, push.Dialects[s.values["dialect"]])
	}
	partners, partnerAt := r.allSections("partner")
	if len(partners) == 0 {
		r.addProblem(0, "", "no [partner NAME] section: at least one is needed")
	}
	c.Intake.Partners = partnerAt
	for i, s := range partners {
		k := r.resolve(s, "kind", kindAt)
		c.Partners = append(c.Partners, endpointlist.Partner{Name: s.name, Dest: i, Kind: k, Rate: s.numbers["rate"]})
		c.PartnerResources = append(c.PartnerResources, push.PartnerResource{Authority: s.values["authority"], Path: s.values["path"], Topic: s.values["topic"]})
		if !strings.HasPrefix(s.values["path"], "/") {
			r.addProblem(s.lines["path"], "path", "%q does not begin with a slash", s.values["path"])
		}
		r.buildEndpoints(c, s)
	}
	_, classAt := r.allSections("class")
	_, tenantAt := r.allSections("tenant")
	resources, _ := r.allSections("push")
	if len(resources) == 0 {
		r.addProblem(0, "", "no [push PATH] section: clients could hand in nothing")
	}
	for _, s := range resources {
		res := intake.Resource{Path: s.name, Dest: r.resolve(s, "partner", partnerAt), Class: r.resolve(s, "class", classAt),
			Tenant: r.resolve(s, "tenant", tenantAt)}
		if len(r.problems) == 0 {
			res.InOrder, res.Life = c.classLimits(res.Class)
			c.Intake.Resources = append(c.Intake.Resources, res)
		}
	}
	exchanges, _ := r.allSections("exchange")
	for _, s := range exchanges {
		x := intake.Exchange{Name: s.name, Class: r.resolve(s, "class", classAt), Tenant: r.resolve(s, "tenant", tenantAt)}
		if len(r.problems) == 0 {
			x.InOrder, x.Life = c.classLimits(x.Class)
			c.Intake.Exchanges = append(c.Intake.Exchanges, x)
		}
	}
}

// classLimits are what a class lays down for its messages.
func (c *Config) classLimits(class int) (inOrder bool, life time.Duration) {
	k := c.Control.Classes[class]
	return k.InOrder, time.Duration(k.Deadline) * time.Microsecond
}

func (r *parser) buildEndpoints(c *Config, s *section) {
	seen := map[netip.AddrPort]bool{}
	add := func(key string, health control.Health) {
		all, _ := parseAddresses(s.values[key], false)
		for _, a := range all {
			if seen[a] {
				r.addProblem(s.lines[key], key, "%v stands twice", a)
			}
			seen[a] = true
			c.Endpoints = append(c.Endpoints, endpointlist.Endpoint{Partner: s.name, Addr: a, Health: health})
		}
	}
	add("endpoints", control.Ready)
	add("draining", control.Draining)
	if len(seen) == 0 && c.ListFile == "" {
		r.addProblem(s.line, "endpoints", "partner %s has none, and there is no list file", s.name)
	}
}

// buildControl fills the module's settings; bounds that are not set come from the partners listed.
func (r *parser) buildControl(c *Config, l, o *section) {
	rules := r.singleSection("rules")
	m := &c.Control
	m.Instances = 1
	m.Tick = rules.controlTime("tick")
	m.Weights = map[string]control.WeightKind{"none": control.WeightNone, "nominal": control.WeightNominal,
		"rough": control.WeightRough}[rules.values["weights"]]
	m.OverShare = rules.numbers["over-share"]
	m.ReportLeft, m.ReportLimit = -1, -1
	m.MaxTries = l.integer("tries")
	m.MayCancel, m.RetryAfter = true, true
	m.MaxRetryAfter = rules.controlTime("longest-wait")
	m.ConnIdle, m.ConnectTimeout = o.controlTime("idle"), o.controlTime("connect-timeout")
	m.StreamsPerConn = o.integer("streams")
	m.StopSendingWithin = rules.controlTime("drain-grace")
	m.ColdFrom, m.WarmUp = rules.numbers["cold-from"], rules.controlTime("warm-up")
	m.TipMultiple, m.OverloadFor = rules.numbers["tip-multiple"], rules.controlTime("overload-for")
	m.SettleAfterDoubt = rules.controlTime("settle-after-doubt")
	if m.Slots = l.integer("slots"); m.Slots == 0 {
		m.Slots = defaultSlots(c)
	}
	if m.MaxOpen = l.integer("hold"); m.MaxOpen == 0 {
		m.MaxOpen = max(1000, 40*m.Slots)
	}
	c.Intake.LeastLife = rules.duration("least-life")
	if m.StopSendingWithin < 2*m.Tick {
		r.addProblem(rules.lines["drain-grace"], "drain-grace", "is shorter than two ticks")
	}
	for i, k := range m.Classes {
		if k.Deadline < 4*m.Tick {
			r.addProblem(0, "", "class %s: its deadline is shorter than four ticks", c.Classes[i])
		}
	}
	c.EngineBounds = engine.Bounds{Queue: l.integer("queue"), Hold: m.MaxOpen}
	c.Admission = door.Limits{Conns: l.integer("connections"), Channels: l.integer("channels"), Bytes: int64(l.numbers["hold-bytes"]),
		TenantBytes: int64(l.numbers["tenant-bytes"]), Hold: m.MaxOpen, BlockAt: l.numbers["block-at"], UnblockAt: l.numbers["unblock-at"]}
	if c.Admission.UnblockAt >= c.Admission.BlockAt {
		r.addProblem(max(l.lines["unblock-at"], l.lines["block-at"]), "unblock-at", "is not below block-at")
	}
}

// defaultSlots is 32 calls for each endpoint, or one second's calls where a partner's rate is listed as more.
func defaultSlots(c *Config) int {
	const each, least, most = 32, 16, 8192
	n := map[string]float64{}
	for _, l := range c.Endpoints {
		n[l.Partner] += each
	}
	sum := 0.0
	for _, p := range c.Partners {
		sum += max(n[p.Name], p.Rate, each)
	}
	return int(min(max(sum, least), most))
}

// Describe tells in a line what a setup is.
func (c *Config) Describe() string {
	return fmt.Sprintf("%d partners, %d endpoints, %d classes, %d tenants, %d push resources; %d slots, %d messages held at most",
		len(c.Partners), len(c.Endpoints), len(c.Classes), len(c.Intake.Tenants), len(c.Intake.Resources), c.Control.Slots, c.Control.MaxOpen)
}
