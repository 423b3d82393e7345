package config

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// valueKind is the type of a key's value.
type valueKind uint8

// These are the kinds of values.
const (
	// kindText is any text.
	kindText valueKind = iota
	// kindCount is a whole number.
	kindCount
	// kindSize is a number of bytes with a unit.
	kindSize
	// kindDuration is a duration in the syntax of time.ParseDuration.
	kindDuration
	// kindRate is a number per second.
	kindRate
	// kindNumber is a decimal number without a unit.
	kindNumber
	// kindYesNo is "yes" or "no", with the numeric value 1 or 0.
	kindYesNo
	// kindAddress is one literal IP address with a port.
	kindAddress
	// kindAddresses is a comma-separated list of such addresses.
	kindAddresses
	// kindChoice is one of the choices of the key.
	kindChoice
	// kindName is the name of another section.
	kindName
)

// kindNames are the names of the kinds on the reference page.
var kindNames = map[valueKind]string{kindText: "text", kindCount: "count", kindSize: "size", kindDuration: "duration", kindRate: "rate", kindNumber: "number",
	kindYesNo: "yes or no", kindAddress: "address", kindAddresses: "addresses", kindChoice: "choice", kindName: "name"}

// keySpec specifies one key. The parser checks values against it, and the reference page is generated from it.
type keySpec struct {
	name string
	kind valueKind
	// defaultValue is the default as the file would state it. It is empty if there is none, or if the default is derived
	// as the doc says.
	defaultValue string
	required     bool
	// min and max bound a numeric value, in the base unit of the kind: a count, bytes, seconds, or a rate per second. There
	// is no bound if both are 0.
	min, max float64
	// choices holds the valid choices, separated by blanks. For kindName it holds the kind of section that the name refers
	// to.
	choices string
	// doc explains the key on the reference page.
	doc string
}

// sectionSpec specifies a kind of section.
type sectionSpec struct {
	name string
	// named means that the header has a name after the kind, as in [class status], and that the file may have any number of
	// such sections.
	named bool
	// doc explains the section on the reference page.
	doc  string
	keys []keySpec
}

// maxDurationSeconds is the upper bound of keys with long durations: 30 days.
const maxDurationSeconds = 30 * 24 * 3600

// schema specifies all sections and keys, in the order of the reference page.
var schema = []sectionSpec{
	{"dispatcher", false, "The program itself.", []keySpec{
		{"listen", kindAddress, "127.0.0.1:8420", false, 0, 0, "", "where clients connect, by HTTP/2 in clear text with prior knowledge"},
		{"loops", kindCount, "2", false, 1, 256, "", "event loops towards clients, and as many towards partners"},
		{"log", kindChoice, "info", false, 0, 0, "debug info warn error", "least level of lines logged"},
		{"log-lines", kindRate, "20/s", false, 1, 1e5, "", "lines logged at most; those left out are counted"},
		{"garbage", kindCount, "400", false, 20, 10000, "", "percent of the live memory that garbage may come to before it is collected: more is faster and larger. GOGC in the environment goes before it"},
		{"memory", kindSize, "0B", false, 0, 1 << 40, "", "from this on garbage is collected as often as it takes to stay below, however much that costs; 0 is no such limit. At least twice what operating.md says is held. GOMEMLIMIT in the environment goes before it"},
		{"background", kindNumber, "0.2", false, 0.01, 16, "", "share of one core for sealing, compression, retention and checks; less where the engine is under pressure"},
		{"stop-within", kindDuration, "10s", false, 0.1, 600, "", "on SIGTERM, what was taken has its answer within this"},
	}},
	{"limits", false, "What is held at most, and so how much memory is used. Each limit has its answer: see operating.md.", []keySpec{
		{"hold", kindCount, "", false, 16, 1e7, "", "messages held, sent or not; above it 503. Default: 40 for each slot, 1,000 at least"},
		{"hold-bytes", kindSize, "64MiB", false, 1 << 16, 1 << 40, "", "bytes of bodies held, with 1 KiB for a message that has not come whole, and the properties of AMQP's; above it 503"},
		{"tenant-bytes", kindSize, "0B", false, 0, 1 << 40, "", "bytes of them for one tenant; above it 503. 0 is no bound"},
		{"block-at", kindNumber, "0.9", false, 0.01, 1, "", "part of hold or hold-bytes from which publishers are asked to stop (connection.blocked) ..."},
		{"unblock-at", kindNumber, "0.7", false, 0, 1, "", "... until it is down to this part"},
		{"channels", kindCount, "20000", false, 1, 1e7, "", "AMQP channels on all connections; more get a connection error 506"},
		{"queue", kindCount, "10000", false, 1, 1e7, "", "messages that wait for the engine's next round; above it 503"},
		{"slots", kindCount, "", false, 1, 1e6, "", "calls out at once. Default: 32 for each endpoint listed, or its rate's calls of one second where that is more, 16 to 8192 in all"},
		{"tries", kindCount, "6", false, 1, 1000, "", "attempts for one message"},
		{"body", kindSize, "256KiB", false, 1, 1 << 30, "", "largest body; above it 413"},
		{"headers", kindSize, "16KiB", false, 1024, 1 << 20, "", "largest header section, as SETTINGS_MAX_HEADER_LIST_SIZE counts; above it 431"},
		{"connections", kindCount, "1000", false, 1, 1e6, "", "client connections of all protocols; more are closed at once"},
		{"streams", kindCount, "250", false, 1, 1e6, "", "streams open on a client connection; more get REFUSED_STREAM"},
		{"unread", kindSize, "1MiB", false, 1024, 1 << 30, "", "bytes of answers that a client may leave unread before its connection is closed"},
		{"abuse-burst", kindCount, "1000", false, 10, 1e7, "", "frames without work (PING, SETTINGS, resets, empty DATA) that a connection may send at once"},
		{"abuse-rate", kindRate, "200/s", false, 1, 1e7, "", "and for good; above it GOAWAY with ENHANCE_YOUR_CALM"},
		{"handshake", kindDuration, "5s", false, 0.01, 600, "", "until a client's preface and SETTINGS must be here"},
		{"stall", kindDuration, "10s", false, 0.01, 600, "", "a header section in parts, or a window held shut, may last so long"},
		{"client-idle", kindDuration, "5m", false, 1, maxDurationSeconds, "", "a client connection without requests gets GOAWAY after this"},
	}},
	{"answers", false, "Queues in which final answers wait: receipt subscriptions, and AMQP's queues of answers.", []keySpec{
		{"queues", kindCount, "64", false, 1, 1e6, "", "queues of answers that a tenant may have"},
		{"queue-length", kindCount, "10000", false, 1, 1e7, "", "answers in a queue, those promised to messages under way with them; above it messages that name the queue are returned"},
		{"keep", kindDuration, "24h", false, 1, maxDurationSeconds, "", "an answer that nobody reads is dropped after this"},
		{"queue-idle", kindDuration, "30m", false, 0, maxDurationSeconds, "", "a queue without reader and answers is removed after this; 0 is never. Exclusive ones go with their connection"},
	}},
	{"amqp", false, "AMQP 0-9-1 towards clients; see amqp.md. Without an address it is off.", []keySpec{
		{"listen", kindAddress, "", false, 0, 0, "", "where clients connect, in clear text; 127.0.0.1:5672 is the usual port"},
		{"heartbeat", kindDuration, "60s", false, 0, 3600, "", "heartbeat proposed, in whole seconds; a client may set another, or 0 for none"},
		{"frame", kindSize, "128KiB", false, 4096, 16 << 20, "", "frame-max: largest frame"},
		{"channels", kindCount, "2047", false, 1, 65535, "", "channel-max: channels on one connection"},
	}},
	{"outbound", false, "Connections to partners.", []keySpec{
		{"connections", kindCount, "8", false, 1, 1e5, "", "connections to one endpoint"},
		{"streams", kindCount, "100", false, 1, 1e6, "", "attempts on one connection at once, where the partner allows as many"},
		{"connect-timeout", kindDuration, "2s", false, 0.01, 600, "", "until a connection stands and the partner's SETTINGS are here"},
		{"idle", kindDuration, "60s", false, 0.05, maxDurationSeconds, "", "a connection without attempts is closed after this"},
		{"handshakes", kindRate, "500/s", false, 1, 1e6, "", "connections begun; a wave of partners that wake keeps to it, by worth and time left"},
		{"opening", kindCount, "64", false, 1, 4096, "", "connections being made at once"},
		{"total", kindCount, "10000", false, 1, 1e6, "", "connections to all partners; at that the longest idle one is closed for a new one, or attempts wait"},
		{"answer", kindSize, "4KiB", false, 0, 1 << 20, "", "bytes of an answer's body that are kept, for its reason"},
	}},
	{"rules", false, "Figures of the rules that the decision module keeps.", []keySpec{
		{"tick", kindDuration, "5ms", false, 0.0005, 1, "", "longest that an event waits for a round; answers leave two of them before a message's time ends"},
		{"drain-grace", kindDuration, "1s", false, 0.01, 600, "", "nothing new to an endpoint later than this after it was learned to drain or be gone"},
		{"cold-from", kindNumber, "0.15", false, 0.001, 1, "", "part of its capacity that a partner has at its return from an outage"},
		{"warm-up", kindDuration, "10s", false, 0.01, 3600, "", "until it has all of it"},
		{"tip-multiple", kindNumber, "2", false, 1, 100, "", "multiple of its capacity at the moment that pushes it over ..."},
		{"overload-for", kindDuration, "2s", false, 0.01, 600, "", "... when kept up for this long"},
		{"settle-after-doubt", kindDuration, "1s", false, 0, 600, "", "rest of an order key after a time-out, reset or cancel"},
		{"longest-wait", kindDuration, "60s", false, 1, maxDurationSeconds, "", "longest Retry-After told to a client"},
		{"least-life", kindDuration, "1s", false, 0.02, 600, "", "life of a message whose TTL is shorter, 0 above all"},
		{"over-share", kindNumber, "0.05", false, 0, 1, "", "worth of a message beyond its tenant's quota, as part of its class's"},
		{"weights", kindChoice, "nominal", false, 0, 0, "none nominal rough", "what partners' rates are: nothing, exact, up to half too low"},
	}},
	{"list", false, "Where the endpoint list comes from; without a file the endpoints are those of the partner sections.", []keySpec{
		{"file", kindText, "", false, 0, 0, "", "list of endpoints, a line each: PARTNER ADDRESS ready|draining; read again when it changes"},
		{"every", kindDuration, "1s", false, 0.02, 3600, "", "how often it is looked at"},
	}},
	{"audit", false, "The trail of all messages on disk; see audit.md. Without a folder none is kept.", []keySpec{
		{"folder", kindText, "", false, 0, 0, "", "where the trail and its keys are; one dispatcher has it at a time"},
		{"sync-within", kindDuration, "20ms", false, 0.001, 60, "", "a record is on disk this soon; a crash loses no more than that"},
		{"seal-every", kindDuration, "1s", false, 0.01, 3600, "", "records are sealed with the signing key this often"},
		{"segment", kindSize, "8MiB", false, 4096, 1 << 30, "", "a file of the trail is closed, and then compressed, at this size"},
		{"keep-for", kindDuration, "720h", false, 0, maxDurationSeconds, "", "closed files are kept this long; 0 is for ever"},
		{"keep-bytes", kindSize, "1GiB", false, 0, 1 << 40, "", "and within this in all; 0 is no bound"},
		{"buffer", kindSize, "8MiB", false, 65536, 1 << 30, "", "records that wait for a disk that fails; no new messages are taken meanwhile"},
	}},
	{"class", true, "A class of message.", []keySpec{
		{"effect", kindChoice, "", true, 0, 0, "safe keyed unsafe", "what a repeat does: nothing, dropped by its key for a window, takes effect again"},
		{"aim", kindDuration, "", true, 0.001, maxDurationSeconds, "", "delivered within this it earns its full worth"},
		{"deadline", kindDuration, "", true, 0.05, maxDurationSeconds, "", "longest life; a shorter TTL counts"},
		{"worth", kindNumber, "1", false, 0, 1e6, "", "worth of a message, against other classes"},
		{"late-worth", kindNumber, "0", false, 0, 1, "", "part of it that is left at the deadline"},
		{"window", kindDuration, "0s", false, 0, maxDurationSeconds, "", "keyed: how long partners drop repeats"},
		{"order", kindYesNo, "no", false, 0, 0, "", "messages that share a Topic go one at a time, in the order in which they came"},
	}},
	{"tenant", true, "A customer.", []keySpec{
		{"token", kindText, "", false, 0, 0, "", "bearer token; without one the tenant's resources are open to all who can connect"},
		{"quota", kindRate, "0/s", false, 0, 1e7, "", "messages within its share; beyond it they are worth less while others wait. 0 is no quota"},
	}},
	{"kind", true, "A kind of partner.", []keySpec{
		{"dialect", kindChoice, "push", false, 0, 0, "push device", "RFC 8030, or the form of provider interfaces for device notifications"},
		{"batch", kindCount, "1", false, 1, 1000, "", "messages that go out in one turn, as streams written together on one connection"},
		{"routes-apart", kindYesNo, "no", false, 0, 0, "", "endpoints have limits, waits and outages of their own"},
	}},
	{"partner", true, "A partner that messages go to.", []keySpec{
		{"kind", kindName, "", true, 0, 0, "kind", "its kind"},
		{"endpoints", kindAddresses, "", false, 0, 0, "", "addresses, apart by commas; none where a list file names them"},
		{"draining", kindAddresses, "", false, 0, 0, "", "those of them that get nothing new"},
		{"rate", kindRate, "0/s", false, 0, 1e7, "", "calls that it takes from all dispatchers together; 0 is not known"},
		{"path", kindText, "/push", false, 0, 0, "", "path of the push resource there, or what stands before the device"},
		{"authority", kindText, "", false, 0, 0, "", "host that requests name. Default: the endpoint's address"},
		{"topic", kindText, "", false, 0, 0, "", "device dialect: topic of the notifications"},
	}},
	{"push", true, "A push resource: the path that clients post to. A path that ends in /* takes one more part, a device or subscription.", []keySpec{
		{"partner", kindName, "", true, 0, 0, "partner", "where messages go"},
		{"class", kindName, "", true, 0, 0, "class", "their class"},
		{"tenant", kindName, "", true, 0, 0, "tenant", "whose they are"},
	}},
	{"exchange", true, "An exchange for AMQP publishers. The routing key is a partner's name or, where its path takes one more part, PARTNER/PART.", []keySpec{
		{"class", kindName, "", true, 0, 0, "class", "class of what is published"},
		{"tenant", kindName, "", true, 0, 0, "tenant", "whose it is"},
	}},
}

// namePattern matches the names of sections other than push sections.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// sizeUnits maps the units of sizes to bytes.
var sizeUnits = map[string]float64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "kB": 1e3, "MB": 1e6, "GB": 1e9}

// parse checks a value against the specification. It returns a number in the base unit of the kind, and 0 for kinds that
// are not numeric.
func (k *keySpec) parse(value string) (num float64, err error) {
	switch k.kind {
	case kindText:
		return 0, nil
	case kindName:
		if !namePattern.MatchString(value) {
			return 0, fmt.Errorf("%q is no name", value)
		}
		return 0, nil
	case kindChoice:
		for _, c := range strings.Fields(k.choices) {
			if c == value {
				return 0, nil
			}
		}
		return 0, fmt.Errorf("%q is none of: %s", value, strings.ReplaceAll(k.choices, " ", ", "))
	case kindYesNo:
		if value == "yes" {
			return 1, nil
		} else if value == "no" {
			return 0, nil
		}
		return 0, fmt.Errorf("%q is neither yes nor no", value)
	case kindAddress, kindAddresses:
		_, err := parseAddresses(value, k.kind == kindAddress)
		return 0, err
	case kindDuration:
		d, err := time.ParseDuration(value)
		if err != nil {
			return 0, fmt.Errorf("%q is no duration with its unit, as in 250ms, 5s or 2m", value)
		}
		num = d.Seconds()
	case kindRate:
		n, ok := strings.CutSuffix(value, "/s")
		if num, err = strconv.ParseFloat(n, 64); !ok || err != nil {
			return 0, fmt.Errorf("%q is no rate, as in 20/s", value)
		}
	case kindSize:
		unitStart := strings.IndexFunc(value, func(r rune) bool { return r > '9' || r < '0' && r != '.' })
		if unitStart < 1 || sizeUnits[value[unitStart:]] == 0 {
			return 0, fmt.Errorf("%q is no size with its unit, as in 64KiB or 2MiB", value)
		}
		if num, err = strconv.ParseFloat(value[:unitStart], 64); err != nil {
			return 0, fmt.Errorf("%q is no size", value)
		}
		num *= sizeUnits[value[unitStart:]]
	case kindCount:
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is no whole number", value)
		}
		num = float64(n)
	case kindNumber:
		if num, err = strconv.ParseFloat(value, 64); err != nil {
			return 0, fmt.Errorf("%q is no number", value)
		}
	}
	if math.IsNaN(num) || math.IsInf(num, 0) || num < 0 {
		return 0, fmt.Errorf("%q is out of range", value)
	}
	if (k.min != 0 || k.max != 0) && (num < k.min || num > k.max) {
		return 0, fmt.Errorf("%q is out of range: %s to %s", value, k.format(k.min), k.format(k.max))
	}
	return num, nil
}

// format formats a bound in a unit that the settings use for the kind.
func (k *keySpec) format(value float64) string {
	switch k.kind {
	case kindDuration:
		return time.Duration(value * float64(time.Second)).String()
	case kindRate:
		return strconv.FormatFloat(value, 'f', -1, 64) + "/s"
	case kindSize:
		for _, u := range []string{"GiB", "MiB", "KiB"} {
			if value >= sizeUnits[u] && math.Mod(value, sizeUnits[u]) == 0 {
				return strconv.FormatFloat(value/sizeUnits[u], 'f', -1, 64) + u
			}
		}
		return strconv.FormatFloat(value, 'f', -1, 64) + "B"
	}
	return strconv.FormatFloat(value, 'f', -1, 64)
}

// parseAddresses parses a comma-separated list of literal addresses. Host names are not allowed, so that no decision ever
// waits for a DNS resolver. If single is true, the list must have exactly one address.
func parseAddresses(list string, single bool) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for _, part := range strings.Split(list, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, fmt.Errorf("%q is no address with its port, as in 127.0.0.1:8431", part)
		}
		addrs = append(addrs, addr)
	}
	if single && len(addrs) != 1 {
		return nil, fmt.Errorf("%q is not one address", list)
	}
	return addrs, nil
}

// Reference returns the reference page of all settings in Markdown. It is generated from the specification that the program
// checks settings against.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Settings\n\nThis page is made from the program: `whinrun reference` prints it.\n\n" +
		"Settings are an INI file: sections in brackets, `key = value`, comments from `#` or `;` at the start of a line.\n" +
		"Unknown sections and keys, duplicates, values without their unit or out of range, and names of what is not there\n" +
		"are errors: `whinrun check --config FILE` prints one line each, with file and line, and exits with 2.\n\n" +
		"Durations: `250ms`, `5s`, `2m`. Sizes: `64KiB`, `2MiB`. Rates: `20/s`. Addresses are literal; no names are looked up.\n")
	for _, s := range schema {
		title := s.name
		if s.named {
			title += " NAME"
		}
		fmt.Fprintf(&page, "\n## [%s]\n\n%s\n\n| key | type | default | range | meaning |\n| --- | --- | --- | --- | --- |\n", title, s.doc)
		for i := range s.keys {
			k := &s.keys[i]
			def, bounds := k.defaultValue, ""
			if k.required {
				def = "required"
			}
			if k.min != 0 || k.max != 0 {
				bounds = k.format(k.min) + " to " + k.format(k.max)
			}
			if k.kind == kindChoice {
				bounds = strings.ReplaceAll(k.choices, " ", ", ")
			}
			if k.kind == kindName {
				bounds = "a " + k.choices + " section"
			}
			fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n", k.name, kindNames[k.kind], def, bounds, k.doc)
		}
	}
	return page.String()
}
