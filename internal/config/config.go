package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"whinrun/control"
	"whinrun/internal/admission"
	"whinrun/internal/amqp"
	"whinrun/internal/audit"
	"whinrun/internal/dialscheduler"
	"whinrun/internal/endpointlist"
	"whinrun/internal/engine"
	"whinrun/internal/front"
	"whinrun/internal/h2"
	"whinrun/internal/intake"
	"whinrun/internal/logstore/plan"
	"whinrun/internal/mailbox"
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
	EngineBounds engine.Limits
	Audit        audit.Config
	Mailbox      mailbox.Limits
	Admission    admission.Limits

	BackgroundShare   float64 // share of a core
	GCPercent         int     // percent, as of debug.SetGCPercent
	LogLevel          string
	LogLinesPerSecond float64
	StopTimeout       time.Duration

	Intake           intake.Config
	Classes          []string
	Partners         []endpointlist.Partner
	PartnerResources []push.PartnerResource // by partner
	Dialects         []push.Dialect
	Endpoints        []endpointlist.Endpoint // endpoints of the partner sections
	ListFile         string
	ListInterval     time.Duration
}

func (s *section) span(key string) time.Duration {
	return time.Duration(s.num[key] * float64(time.Second))
}
func (s *section) time(key string) control.Time {
	return control.Time(s.num[key] * float64(control.Second))
}
func (s *section) int(key string) int { return int(s.num[key]) }

// single returns a section that stands once at most; its defaults where it does not stand.
func (r *reader) single(name string) *section {
	for _, s := range r.sections {
		if s.spec.name == name {
			return s
		}
	}
	spec, _, _ := findSection(name)
	s := &section{spec: spec, raw: map[string]string{}, num: map[string]float64{}, at: map[string]int{}}
	r.defaults(s)
	return s
}

func (r *reader) all(name string) (all []*section, index map[string]int) {
	index = map[string]int{}
	for _, s := range r.sections {
		if s.spec.name == name {
			index[s.name] = len(all)
			all = append(all, s)
		}
	}
	return all, index
}

// ref finds what a key names.
func (r *reader) ref(s *section, key string, index map[string]int) int {
	i, ok := index[s.raw[key]]
	if !ok {
		r.bad(s.at[key], key, "there is no [%s %s]", key, s.raw[key])
	}
	return i
}

func (r *reader) build() *Config {
	c := &Config{}
	d, l, o := r.single("dispatcher"), r.single("limits"), r.single("outbound")
	c.LogLevel, c.LogLinesPerSecond, c.StopTimeout = d.raw["log"], d.num["log-lines"], d.span("stop-within")
	c.GCPercent, c.BackgroundShare = d.int("garbage"), d.num["background"]
	c.Intake.MaxBody = l.int("body")
	streamWindow := uint32(min(max(64<<10, c.Intake.MaxBody), 1<<20))
	bounds := h2.Config{MaxStreams: uint32(l.int("streams")), MaxHeaderList: l.int("headers"), StreamWindow: streamWindow,
		ConnWindow: 4 << 20, Handshake: l.span("handshake"), StallTimeout: l.span("stall"),
		AbuseBurst: l.num["abuse-burst"], AbuseRate: l.num["abuse-rate"]}
	c.Front = front.Config{Address: d.raw["listen"], Loops: d.int("loops"), MaxUnread: l.int("unread")}
	r.amqp(c, d, l)
	a := r.single("audit")
	c.Audit = audit.Config{Folder: a.raw["folder"], Buffer: a.int("buffer"), SealEvery: a.span("seal-every"),
		Policy: plan.Policy{SyncWithin: a.span("sync-within"), SyncBytes: 256 << 10, SegmentBytes: int64(a.num["segment"]),
			KeepFor: a.span("keep-for"), KeepBytes: int64(a.num["keep-bytes"]), RetryEvery: time.Second}}
	c.Push = pushfront.Config{IdleTimeout: l.span("client-idle"), H2: bounds}
	bounds.MaxStreams, bounds.StreamWindow, bounds.ConnWindow = 1, 64<<10, 1<<20
	c.Outbound = outbound.Config{Loops: d.int("loops"), MaxConnsPerEndpoint: o.int("connections"), MaxStreams: o.int("streams"),
		ConnectTimeout: o.span("connect-timeout"),
		DialLimits:     dialscheduler.Limits{HandshakesPerSecond: o.num["handshakes"], MaxHandshakes: o.int("opening"), MaxConns: o.int("total")}, IdleTimeout: o.span("idle"), MaxAnswerBytes: o.int("answer"), H2: bounds}
	r.list(c)
	r.classes(c)
	r.partners(c)
	r.module(c, l, o)
	return c
}

func (r *reader) amqp(c *Config, d, l *section) {
	a := r.single("amqp")
	c.AMQP = front.Config{Address: a.raw["listen"], Loops: d.int("loops"), MaxUnread: max(l.int("unread"), 2*c.Intake.MaxBody)}
	c.AMQPConn = amqp.Config{Product: "whinrun", ChannelMax: uint16(a.int("channels")), FrameMax: a.int("frame"), Heartbeat: a.span("heartbeat"),
		Handshake: l.span("handshake"), BodyStallTimeout: l.span("stall"), AbuseBurst: l.num["abuse-burst"], AbuseRate: l.num["abuse-rate"]}
	q := r.single("answers")
	c.Mailbox = mailbox.Limits{QueuesPerTenant: q.int("queues"), QueueLength: q.int("queue-length"), Idle: q.span("queue-idle"), Keep: q.span("keep")}
	if h := c.AMQPConn.Heartbeat; h%time.Second != 0 {
		r.bad(a.at["heartbeat"], "heartbeat", "is not in whole seconds")
	}
}

func (r *reader) list(c *Config) {
	s := r.single("list")
	c.ListFile, c.ListInterval = s.raw["file"], s.span("every")
	if c.ListFile != "" {
		if _, err := os.Stat(c.ListFile); err != nil {
			r.bad(s.at["file"], "file", "%v", err)
		}
	}
}

func (r *reader) classes(c *Config) {
	classes, _ := r.all("class")
	if len(classes) == 0 {
		r.bad(0, "", "no [class NAME] section: at least one is needed")
	}
	effects := map[string]control.RepeatEffect{"safe": control.Idempotent, "keyed": control.Deduplicated, "unsafe": control.AtMostOnce}
	for _, s := range classes {
		k := control.Class{Name: s.name, Effect: effects[s.raw["effect"]], DedupWindow: s.time("window"), Target: s.time("aim"),
			Deadline: s.time("deadline"), Value: s.num["worth"], LateValue: s.num["late-worth"], InOrder: s.num["order"] == 1}
		if k.Deadline < k.Target {
			r.bad(s.at["deadline"], "deadline", "is shorter than the aim")
		}
		if (k.Effect == control.Deduplicated) != (k.DedupWindow > 0) {
			r.bad(max(s.at["window"], s.line), "window", "is needed for keyed classes, and only there")
		}
		c.Classes = append(c.Classes, s.name)
		c.Control.Classes = append(c.Control.Classes, k)
	}
	tenants, _ := r.all("tenant")
	tokens := map[string]string{}
	for i, s := range tenants {
		c.Intake.Tenants = append(c.Intake.Tenants, s.name)
		c.Control.Tenants = append(c.Control.Tenants, control.Tenant{Name: s.name, Quota: s.num["quota"]})
		if t, ok := s.raw["token"]; ok {
			if t == "" || strings.ContainsAny(t, " \t") {
				r.bad(s.at["token"], "token", "is empty or has blanks in it")
			}
			if o := tokens[t]; o != "" {
				r.bad(s.at["token"], "token", "is that of tenant %s, too", o)
			}
			tokens[t] = s.name
			c.Intake.Tokens = append(c.Intake.Tokens, intake.NewToken(t, i))
		}
	}
}

func (r *reader) partners(c *Config) {
	kinds, kindAt := r.all("kind")
	for _, s := range kinds {
		c.Control.DestinationKinds = append(c.Control.DestinationKinds, control.DestinationKind{Name: s.name, MaxBatch: s.int("batch"), PerEndpointLimits: s.num["routes-apart"] == 1})
		c.Dialects = append(c.Dialects, push.Dialects[s.raw["dialect"]])
	}
	partners, partnerAt := r.all("partner")
	if len(partners) == 0 {
		r.bad(0, "", "no [partner NAME] section: at least one is needed")
	}
	c.Intake.Partners = partnerAt
	for i, s := range partners {
		k := r.ref(s, "kind", kindAt)
		c.Partners = append(c.Partners, endpointlist.Partner{Name: s.name, Dest: i, Kind: k, Rate: s.num["rate"]})
		c.PartnerResources = append(c.PartnerResources, push.PartnerResource{Authority: s.raw["authority"], Path: s.raw["path"], Topic: s.raw["topic"]})
		if !strings.HasPrefix(s.raw["path"], "/") {
			r.bad(s.at["path"], "path", "%q does not begin with a slash", s.raw["path"])
		}
		r.endpoints(c, s)
	}
	_, classAt := r.all("class")
	_, tenantAt := r.all("tenant")
	resources, _ := r.all("push")
	if len(resources) == 0 {
		r.bad(0, "", "no [push PATH] section: clients could hand in nothing")
	}
	for _, s := range resources {
		res := intake.Resource{Path: s.name, Dest: r.ref(s, "partner", partnerAt), Class: r.ref(s, "class", classAt),
			Tenant: r.ref(s, "tenant", tenantAt)}
		if len(r.problems) == 0 {
			res.InOrder, res.MaxLifetime = c.limits(res.Class)
			c.Intake.Resources = append(c.Intake.Resources, res)
		}
	}
	exchanges, _ := r.all("exchange")
	for _, s := range exchanges {
		x := intake.Exchange{Name: s.name, Class: r.ref(s, "class", classAt), Tenant: r.ref(s, "tenant", tenantAt)}
		if len(r.problems) == 0 {
			x.InOrder, x.MaxLifetime = c.limits(x.Class)
			c.Intake.Exchanges = append(c.Intake.Exchanges, x)
		}
	}
}

// limits are what a class lays down for its messages.
func (c *Config) limits(class int) (inOrder bool, life time.Duration) {
	k := c.Control.Classes[class]
	return k.InOrder, time.Duration(k.Deadline) * time.Microsecond
}

func (r *reader) endpoints(c *Config, s *section) {
	seen := map[netip.AddrPort]bool{}
	add := func(key string, health control.Health) {
		all, _ := parseAddresses(s.raw[key], false)
		for _, a := range all {
			if seen[a] {
				r.bad(s.at[key], key, "%v stands twice", a)
			}
			seen[a] = true
			c.Endpoints = append(c.Endpoints, endpointlist.Endpoint{Partner: s.name, Addr: a, Health: health})
		}
	}
	add("endpoints", control.Ready)
	add("draining", control.Draining)
	if len(seen) == 0 && c.ListFile == "" {
		r.bad(s.line, "endpoints", "partner %s has none, and there is no list file", s.name)
	}
}

// module fills the module's settings; bounds that are not set come from the partners listed.
func (r *reader) module(c *Config, l, o *section) {
	rules := r.single("rules")
	m := &c.Control
	m.Instances = 1
	m.Tick = rules.time("tick")
	m.Weights = map[string]control.WeightKind{"none": control.WeightNone, "nominal": control.WeightNominal,
		"rough": control.WeightApproximate}[rules.raw["weights"]]
	m.OverQuotaFactor = rules.num["over-share"]
	m.ReportRemainingIndex, m.ReportLimitIndex = -1, -1
	m.MaxAttempts = l.int("tries")
	m.MayCancel, m.RetryAfter = true, true
	m.MaxRetryAfter = rules.time("longest-wait")
	m.ConnIdleTimeout, m.ConnectTimeout = o.time("idle"), o.time("connect-timeout")
	m.StreamsPerConn = o.int("streams")
	m.StopSendingWithin = rules.time("drain-grace")
	m.ColdCapacity, m.WarmUp = rules.num["cold-from"], rules.time("warm-up")
	m.CollapseMultiple, m.MaxOverload = rules.num["tip-multiple"], rules.time("overload-for")
	m.SettleTime = rules.time("settle-after-doubt")
	if m.Slots = l.int("slots"); m.Slots == 0 {
		m.Slots = defaultSlots(c)
	}
	if m.MaxOpen = l.int("hold"); m.MaxOpen == 0 {
		m.MaxOpen = max(1000, 40*m.Slots)
	}
	c.Intake.MinLifetime = rules.span("least-life")
	if m.StopSendingWithin < 2*m.Tick {
		r.bad(rules.at["drain-grace"], "drain-grace", "is shorter than two ticks")
	}
	for i, k := range m.Classes {
		if k.Deadline < 4*m.Tick {
			r.bad(0, "", "class %s: its deadline is shorter than four ticks", c.Classes[i])
		}
	}
	c.EngineBounds = engine.Limits{MaxQueued: l.int("queue"), MaxHeld: m.MaxOpen}
	c.Admission = admission.Limits{Conns: l.int("connections"), Channels: l.int("channels"), Bytes: int64(l.num["hold-bytes"]),
		TenantBytes: int64(l.num["tenant-bytes"]), Messages: m.MaxOpen, BlockAt: l.num["block-at"], UnblockAt: l.num["unblock-at"]}
	if c.Admission.UnblockAt >= c.Admission.BlockAt {
		r.bad(max(l.at["unblock-at"], l.at["block-at"]), "unblock-at", "is not below block-at")
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
