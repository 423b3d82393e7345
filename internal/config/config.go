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

// Config is the complete configuration of a dispatcher. Parse returns it only if all settings are valid.
type Config struct {
	// Control holds the settings of the decision library.
	Control control.Settings
	// Front configures the listener for HTTP/2 clients.
	Front front.Config
	// Push configures the sessions of HTTP/2 clients.
	Push pushfront.Config
	// AMQP configures the listener for AMQP clients. Its address is empty if AMQP is disabled.
	AMQP front.Config
	// AMQPConn configures the connections of AMQP clients.
	AMQPConn amqp.Config
	// Outbound configures the connections to partners.
	Outbound outbound.Config
	// EngineBounds limits what the engine holds.
	EngineBounds engine.Limits
	// Audit configures the audit trail. Its folder is empty if no trail is kept.
	Audit audit.Config
	// Mailbox limits the queues in which final answers wait.
	Mailbox mailbox.Limits
	// Admission holds the limits that all frontends share.
	Admission admission.Limits

	// BackgroundShare is the share of one core that background tasks may use.
	BackgroundShare float64
	// GCPercent is the argument of debug.SetGCPercent.
	GCPercent int
	// MemoryLimit is the argument of debug.SetMemoryLimit in bytes, or 0 for no limit.
	MemoryLimit int64
	// LogLevel is the lowest level that is logged, as a name of zerolog.
	LogLevel string
	// LogLinesPerSecond is the highest sustained rate of log lines.
	LogLinesPerSecond float64
	// StopTimeout is how long a graceful stop may wait for the answers to accepted messages.
	StopTimeout time.Duration

	// Intake configures the rules for incoming messages.
	Intake intake.Config
	// Classes holds the names of the message classes, by class number.
	Classes []string
	// Partners holds the partners, by destination number.
	Partners []endpointlist.Partner
	// PartnerResources holds the push resource of each partner, by destination number.
	PartnerResources []push.PartnerResource
	// Dialects holds the dialect of each kind of partner, by kind.
	Dialects []push.Dialect
	// Endpoints holds the endpoints of the partner sections.
	Endpoints []endpointlist.Endpoint
	// ListFile is the file of the endpoint list. If it is empty, Endpoints is the list.
	ListFile string
	// ListInterval is how often the list file is checked for changes.
	ListInterval time.Duration
}

// duration returns the value of a duration key.
func (s *section) duration(key string) time.Duration {
	return time.Duration(s.numbers[key] * float64(time.Second))
}

// controlTime returns the value of a duration key in the unit of the decision library.
func (s *section) controlTime(key string) control.Time {
	return control.Time(s.numbers[key] * float64(control.Second))
}

// integer returns the value of a count or size key.
func (s *section) integer(key string) int { return int(s.numbers[key]) }

// singleSection returns the section of a kind that occurs at most once. If the file does not have it, all its keys have
// their defaults.
func (p *parser) singleSection(name string) *section {
	for _, s := range p.sections {
		if s.spec.name == name {
			return s
		}
	}
	spec, _, _ := findSection(name)
	s := &section{spec: spec, values: map[string]string{}, numbers: map[string]float64{}, lines: map[string]int{}}
	p.applyDefaults(s)
	return s
}

// allSections returns all sections of a kind in the order of the file, and the index of each by its name.
func (p *parser) allSections(name string) (all []*section, index map[string]int) {
	index = map[string]int{}
	for _, s := range p.sections {
		if s.spec.name == name {
			index[s.name] = len(all)
			all = append(all, s)
		}
	}
	return all, index
}

// resolve returns the index of the section that a key refers to. It reports a problem if there is no such section.
func (p *parser) resolve(s *section, key string, index map[string]int) int {
	i, ok := index[s.values[key]]
	if !ok {
		p.addProblem(s.lines[key], key, "there is no [%s %s]", key, s.values[key])
	}
	return i
}

// build converts the parsed sections into a Config. It reports problems that concern more than one key.
func (p *parser) build() *Config {
	cfg := &Config{}
	dispatcher, limits, outboundSection := p.singleSection("dispatcher"), p.singleSection("limits"), p.singleSection("outbound")
	cfg.LogLevel, cfg.LogLinesPerSecond, cfg.StopTimeout = dispatcher.values["log"], dispatcher.numbers["log-lines"], dispatcher.duration("stop-within")
	cfg.MemoryLimit = int64(dispatcher.numbers["memory"])
	cfg.GCPercent, cfg.BackgroundShare = dispatcher.integer("garbage"), dispatcher.numbers["background"]
	cfg.Intake.MaxBody = limits.integer("body")
	// The flow-control window of a stream is as large as the largest body, but at least 64 KiB and at most 1 MiB.
	streamWindow := uint32(min(max(64<<10, cfg.Intake.MaxBody), 1<<20))
	h2Config := h2.Config{MaxStreams: uint32(limits.integer("streams")), MaxHeaderList: limits.integer("headers"), StreamWindow: streamWindow,
		ConnWindow: 4 << 20, Handshake: limits.duration("handshake"), StallTimeout: limits.duration("stall"),
		AbuseBurst: limits.numbers["abuse-burst"], AbuseRate: limits.numbers["abuse-rate"]}
	cfg.Front = front.Config{Address: dispatcher.values["listen"], Loops: dispatcher.integer("loops"), MaxUnread: limits.integer("unread")}
	p.buildAMQP(cfg, dispatcher, limits)
	auditSection := p.singleSection("audit")
	cfg.Audit = audit.Config{Folder: auditSection.values["folder"], Buffer: auditSection.integer("buffer"), SealEvery: auditSection.duration("seal-every"),
		Policy: plan.Policy{SyncWithin: auditSection.duration("sync-within"), SyncBytes: 256 << 10, SegmentBytes: int64(auditSection.numbers["segment"]),
			KeepFor: auditSection.duration("keep-for"), KeepBytes: int64(auditSection.numbers["keep-bytes"]), RetryEvery: time.Second}}
	cfg.Push = pushfront.Config{IdleTimeout: limits.duration("client-idle"), H2: h2Config}
	// Connections to partners use the limits of client connections, except for the number of streams that the peer may open
	// and the flow-control windows.
	h2Config.MaxStreams, h2Config.StreamWindow, h2Config.ConnWindow = 1, 64<<10, 1<<20
	cfg.Outbound = outbound.Config{Loops: dispatcher.integer("loops"), MaxConnsPerEndpoint: outboundSection.integer("connections"), MaxStreams: outboundSection.integer("streams"),
		ConnectTimeout: outboundSection.duration("connect-timeout"),
		DialLimits:     dialscheduler.Limits{HandshakesPerSecond: outboundSection.numbers["handshakes"], MaxHandshakes: outboundSection.integer("opening"), MaxConns: outboundSection.integer("total")}, IdleTimeout: outboundSection.duration("idle"), MaxAnswerBytes: outboundSection.integer("answer"), H2: h2Config}
	p.buildList(cfg)
	p.buildClasses(cfg)
	p.buildPartners(cfg)
	p.buildControl(cfg, limits, outboundSection)
	return cfg
}

// buildAMQP fills the settings of the AMQP listener and of the answer queues.
func (p *parser) buildAMQP(cfg *Config, dispatcher, limits *section) {
	amqpSection := p.singleSection("amqp")
	cfg.AMQP = front.Config{Address: amqpSection.values["listen"], Loops: dispatcher.integer("loops"), MaxUnread: max(limits.integer("unread"), 2*cfg.Intake.MaxBody)}
	cfg.AMQPConn = amqp.Config{Product: "whinrun", ChannelMax: uint16(amqpSection.integer("channels")), FrameMax: amqpSection.integer("frame"), Heartbeat: amqpSection.duration("heartbeat"),
		Handshake: limits.duration("handshake"), BodyStallTimeout: limits.duration("stall"), AbuseBurst: limits.numbers["abuse-burst"], AbuseRate: limits.numbers["abuse-rate"]}
	answers := p.singleSection("answers")
	cfg.Mailbox = mailbox.Limits{QueuesPerTenant: answers.integer("queues"), QueueLength: answers.integer("queue-length"), Idle: answers.duration("queue-idle"), Keep: answers.duration("keep")}
	if heartbeat := cfg.AMQPConn.Heartbeat; heartbeat%time.Second != 0 {
		p.addProblem(amqpSection.lines["heartbeat"], "heartbeat", "is not in whole seconds")
	}
}

// buildList fills the settings of the endpoint list and checks that the list file exists.
func (p *parser) buildList(cfg *Config) {
	s := p.singleSection("list")
	cfg.ListFile, cfg.ListInterval = s.values["file"], s.duration("every")
	if cfg.ListFile != "" {
		if _, err := os.Stat(cfg.ListFile); err != nil {
			p.addProblem(s.lines["file"], "file", "%v", err)
		}
	}
}

// buildClasses fills the message classes and the tenants.
func (p *parser) buildClasses(cfg *Config) {
	classes, _ := p.allSections("class")
	if len(classes) == 0 {
		p.addProblem(0, "", "no [class NAME] section: at least one is needed")
	}
	effects := map[string]control.RepeatEffect{"safe": control.Idempotent, "keyed": control.Deduplicated, "unsafe": control.AtMostOnce}
	for _, s := range classes {
		class := control.Class{Name: s.name, Effect: effects[s.values["effect"]], DedupWindow: s.controlTime("window"), Target: s.controlTime("aim"),
			Deadline: s.controlTime("deadline"), Value: s.numbers["worth"], LateValue: s.numbers["late-worth"], InOrder: s.numbers["order"] == 1}
		if class.Deadline < class.Target {
			p.addProblem(s.lines["deadline"], "deadline", "is shorter than the aim")
		}
		if (class.Effect == control.Deduplicated) != (class.DedupWindow > 0) {
			p.addProblem(max(s.lines["window"], s.line), "window", "is needed for keyed classes, and only there")
		}
		cfg.Classes = append(cfg.Classes, s.name)
		cfg.Control.Classes = append(cfg.Control.Classes, class)
	}
	tenants, _ := p.allSections("tenant")
	tokens := map[string]string{}
	for i, s := range tenants {
		cfg.Intake.Tenants = append(cfg.Intake.Tenants, s.name)
		cfg.Control.Tenants = append(cfg.Control.Tenants, control.Tenant{Name: s.name, Quota: s.numbers["quota"]})
		if token, ok := s.values["token"]; ok {
			if token == "" || strings.ContainsAny(token, " \t") {
				p.addProblem(s.lines["token"], "token", "is empty or has blanks in it")
			}
			if owner := tokens[token]; owner != "" {
				p.addProblem(s.lines["token"], "token", "is that of tenant %s, too", owner)
			}
			tokens[token] = s.name
			cfg.Intake.Tokens = append(cfg.Intake.Tokens, intake.NewToken(token, i))
		}
	}
}

// buildPartners fills the kinds, the partners, their endpoints, the push resources and the exchanges.
func (p *parser) buildPartners(cfg *Config) {
	kinds, kindIndex := p.allSections("kind")
	for _, s := range kinds {
		cfg.Control.DestinationKinds = append(cfg.Control.DestinationKinds, control.DestinationKind{Name: s.name, MaxBatch: s.integer("batch"), PerEndpointLimits: s.numbers["routes-apart"] == 1})
		cfg.Dialects = append(cfg.Dialects, push.Dialects[s.values["dialect"]])
	}
	partners, partnerIndex := p.allSections("partner")
	if len(partners) == 0 {
		p.addProblem(0, "", "no [partner NAME] section: at least one is needed")
	}
	cfg.Intake.Partners = partnerIndex
	for i, s := range partners {
		kind := p.resolve(s, "kind", kindIndex)
		cfg.Partners = append(cfg.Partners, endpointlist.Partner{Name: s.name, Dest: i, Kind: kind, Rate: s.numbers["rate"]})
		cfg.PartnerResources = append(cfg.PartnerResources, push.PartnerResource{Authority: s.values["authority"], Path: s.values["path"], Topic: s.values["topic"]})
		if !strings.HasPrefix(s.values["path"], "/") {
			p.addProblem(s.lines["path"], "path", "%q does not begin with a slash", s.values["path"])
		}
		p.buildEndpoints(cfg, s)
	}
	_, classIndex := p.allSections("class")
	_, tenantIndex := p.allSections("tenant")
	resources, _ := p.allSections("push")
	if len(resources) == 0 {
		p.addProblem(0, "", "no [push PATH] section: clients could hand in nothing")
	}
	for _, s := range resources {
		resource := intake.Resource{Path: s.name, Dest: p.resolve(s, "partner", partnerIndex), Class: p.resolve(s, "class", classIndex),
			Tenant: p.resolve(s, "tenant", tenantIndex)}
		if len(p.problems) == 0 {
			resource.InOrder, resource.MaxLifetime = cfg.classLimits(resource.Class)
			cfg.Intake.Resources = append(cfg.Intake.Resources, resource)
		}
	}
	exchanges, _ := p.allSections("exchange")
	for _, s := range exchanges {
		exchange := intake.Exchange{Name: s.name, Class: p.resolve(s, "class", classIndex), Tenant: p.resolve(s, "tenant", tenantIndex)}
		if len(p.problems) == 0 {
			exchange.InOrder, exchange.MaxLifetime = cfg.classLimits(exchange.Class)
			cfg.Intake.Exchanges = append(cfg.Intake.Exchanges, exchange)
		}
	}
}

// classLimits returns whether messages of a class are ordered and how long they may live.
func (c *Config) classLimits(class int) (inOrder bool, life time.Duration) {
	settings := c.Control.Classes[class]
	return settings.InOrder, time.Duration(settings.Deadline) * time.Microsecond
}

// buildEndpoints adds the endpoints of a partner section to the list. Each address may occur once per partner.
func (p *parser) buildEndpoints(cfg *Config, s *section) {
	seen := map[netip.AddrPort]bool{}
	add := func(key string, health control.Health) {
		addrs, _ := parseAddresses(s.values[key], false)
		for _, addr := range addrs {
			if seen[addr] {
				p.addProblem(s.lines[key], key, "%v stands twice", addr)
			}
			seen[addr] = true
			cfg.Endpoints = append(cfg.Endpoints, endpointlist.Endpoint{Partner: s.name, Addr: addr, Health: health})
		}
	}
	add("endpoints", control.Ready)
	add("draining", control.Draining)
	if len(seen) == 0 && cfg.ListFile == "" {
		p.addProblem(s.line, "endpoints", "partner %s has none, and there is no list file", s.name)
	}
}

// buildControl fills the settings of the decision library, the engine and admission control. Limits that are not set are
// derived from the configured partners.
func (p *parser) buildControl(cfg *Config, limits, outboundSection *section) {
	rules := p.singleSection("rules")
	settings := &cfg.Control
	settings.Instances = 1
	settings.Tick = rules.controlTime("tick")
	settings.Weights = map[string]control.WeightKind{"none": control.WeightNone, "nominal": control.WeightNominal,
		"rough": control.WeightApproximate}[rules.values["weights"]]
	settings.OverQuotaFactor = rules.numbers["over-share"]
	settings.ReportRemainingIndex, settings.ReportLimitIndex = -1, -1
	settings.MaxAttempts = limits.integer("tries")
	settings.MayCancel, settings.RetryAfter = true, true
	settings.MaxRetryAfter = rules.controlTime("longest-wait")
	settings.ConnIdleTimeout, settings.ConnectTimeout = outboundSection.controlTime("idle"), outboundSection.controlTime("connect-timeout")
	settings.StreamsPerConn = outboundSection.integer("streams")
	settings.StopSendingWithin = rules.controlTime("drain-grace")
	settings.ColdCapacity, settings.WarmUp = rules.numbers["cold-from"], rules.controlTime("warm-up")
	settings.CollapseMultiple, settings.MaxOverload = rules.numbers["tip-multiple"], rules.controlTime("overload-for")
	settings.SettleTime = rules.controlTime("settle-after-doubt")
	if settings.Slots = limits.integer("slots"); settings.Slots == 0 {
		settings.Slots = defaultSlots(cfg)
	}
	if settings.MaxOpen = limits.integer("hold"); settings.MaxOpen == 0 {
		settings.MaxOpen = max(1000, 40*settings.Slots)
	}
	cfg.Intake.MinLifetime = rules.duration("least-life")
	if settings.StopSendingWithin < 2*settings.Tick {
		p.addProblem(rules.lines["drain-grace"], "drain-grace", "is shorter than two ticks")
	}
	for i, class := range settings.Classes {
		if class.Deadline < 4*settings.Tick {
			p.addProblem(0, "", "class %s: its deadline is shorter than four ticks", cfg.Classes[i])
		}
	}
	cfg.EngineBounds = engine.Limits{MaxQueued: limits.integer("queue"), MaxHeld: settings.MaxOpen}
	cfg.Admission = admission.Limits{Conns: limits.integer("connections"), Channels: limits.integer("channels"), Bytes: int64(limits.numbers["hold-bytes"]),
		TenantBytes: int64(limits.numbers["tenant-bytes"]), Messages: settings.MaxOpen, BlockAt: limits.numbers["block-at"], UnblockAt: limits.numbers["unblock-at"]}
	if cfg.Admission.UnblockAt >= cfg.Admission.BlockAt {
		p.addProblem(max(limits.lines["unblock-at"], limits.lines["block-at"]), "unblock-at", "is not below block-at")
	}
}

// defaultSlots returns the default number of concurrent calls. For each partner it allows 32 calls per endpoint, or the
// calls of one second at the partner's rate if that is more. The sum is limited to the range from 16 to 8192.
func defaultSlots(cfg *Config) int {
	const perEndpoint, minSlots, maxSlots = 32, 16, 8192
	slots := map[string]float64{}
	for _, l := range cfg.Endpoints {
		slots[l.Partner] += perEndpoint
	}
	sum := 0.0
	for _, p := range cfg.Partners {
		sum += max(slots[p.Name], p.Rate, perEndpoint)
	}
	return int(min(max(sum, minSlots), maxSlots))
}

// Describe summarizes a configuration in one line.
func (c *Config) Describe() string {
	return fmt.Sprintf("%d partners, %d endpoints, %d classes, %d tenants, %d push resources; %d slots, %d messages held at most",
		len(c.Partners), len(c.Endpoints), len(c.Classes), len(c.Intake.Tenants), len(c.Intake.Resources), c.Control.Slots, c.Control.MaxOpen)
}
