// Package intake holds the checks that every front makes before a message is accepted, independently of the protocol: which
// resource a message is for, which tenant it belongs to, its lifetime and its keys. It performs no I/O.
package intake

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"whinrun/control"
	"whinrun/internal/engine"
)

// Resource is where clients submit messages: a configured path with its partner, class and tenant. A path that ends in "/*"
// accepts one more segment, for a device or a subscription, which is passed on to the partner.
type Resource struct {
	Path        string
	Dest        int
	Class       int
	Tenant      int
	InOrder     bool
	MaxLifetime time.Duration // The deadline of the class.
	Target      string        // The path at the partner that precedes the additional segment of a "/*" path.
}

// Exchange is an AMQP exchange that messages are published to. It fixes class and tenant. The routing key names the partner.
type Exchange struct {
	Name        string
	Class       int
	Tenant      int
	InOrder     bool
	MaxLifetime time.Duration // The deadline of the class.
}

// Token is a tenant's bearer token or password. Only its SHA-256 digest is kept.
type Token struct {
	Digest [sha256.Size]byte
	Tenant int
}

// NewToken returns the Token for a tenant's secret.
func NewToken(secret string, tenant int) Token { return Token{sha256.Sum256([]byte(secret)), tenant} }

// Config configures a Registry.
type Config struct {
	Resources []Resource
	Exchanges []Exchange
	Partners  map[string]int // The number of each partner, by name.
	Tenants   []string       // The name of each tenant, by number.
	Tokens    []Token
	MaxBody   int // The maximum size of a body, in bytes.

	// MinLifetime is the minimum lifetime of a message. A message that asks for zero, which means one immediate attempt or none,
	// gets this lifetime.
	MinLifetime time.Duration
}

// Registry holds the resources, exchanges and tenants. It does not change after NewRegistry, so it is safe for concurrent use.
type Registry struct {
	resources   map[string]*Resource
	exchanges   map[string]*Exchange
	partners    map[string]int
	tenants     map[string]int
	tokens      []Token
	openTenants []bool // By tenant number, whether the tenant has no token.
	maxBody     int
	minLifetime time.Duration
}

// NewRegistry returns a Registry for a configuration.
func NewRegistry(config Config) *Registry {
	b := &Registry{resources: map[string]*Resource{}, exchanges: map[string]*Exchange{}, partners: config.Partners, tenants: map[string]int{},
		tokens: config.Tokens, openTenants: make([]bool, len(config.Tenants)), maxBody: config.MaxBody, minLifetime: config.MinLifetime}
	for i := range config.Resources {
		b.resources[config.Resources[i].Path] = &config.Resources[i]
	}
	for i := range config.Exchanges {
		b.exchanges[config.Exchanges[i].Name] = &config.Exchanges[i]
	}
	for i, name := range config.Tenants {
		b.tenants[name] = i
		b.openTenants[i] = true
	}
	for _, t := range config.Tokens {
		b.openTenants[t.Tenant] = false
	}
	return b
}

// MaxBody returns the maximum size of a body, in bytes.
func (b *Registry) MaxBody() int { return b.maxBody }

// Exchange returns the exchange with a name, or nil if it is not configured.
func (b *Registry) Exchange(name string) *Exchange { return b.exchanges[name] }

// Find returns the resource at a path and the path at the partner, which is empty for a path without an additional segment. It
// returns nil if there is no such resource.
func (b *Registry) Find(path string) (*Resource, string) {
	if r := b.resources[path]; r != nil && !strings.HasSuffix(path, "/*") {
		return r, ""
	}
	i := strings.LastIndexByte(path, '/')
	if i < 0 || !isPathSegment(path[i+1:]) {
		return nil, ""
	}
	r := b.resources[path[:i]+"/*"]
	if r == nil {
		return nil, ""
	}
	return r, r.Target + path[i:]
}

// Route returns where an exchange sends a routing key, and the path at the partner. The key is PARTNER or PARTNER/SEGMENT, where
// the segment is passed on to the partner. Route returns nil if the key is not valid.
func (b *Registry) Route(x *Exchange, key string) (*Resource, string) {
	name, segment, hasSegment := strings.Cut(key, "/")
	dest, ok := b.partners[name]
	if !ok || hasSegment && !isPathSegment(segment) {
		return nil, ""
	}
	if hasSegment {
		segment = "/" + segment
	}
	return &Resource{Dest: dest, Class: x.Class, Tenant: x.Tenant, InOrder: x.InOrder, MaxLifetime: x.MaxLifetime}, segment
}

// isPathSegment reports whether a text can be the last segment of a path at a partner.
func isPathSegment(s string) bool {
	return s != "" && s != "." && !strings.Contains(s, "..") &&
		strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(`#\/?`, r) }) < 0
}

// Access is the result of checking a secret against a tenant.
type Access uint8

// Results of checking a secret.
const (
	// UnknownSecret means that the tenant requires a secret, and that the one given belongs to no tenant.
	UnknownSecret Access = iota

	// OtherTenant means that the secret belongs to another tenant.
	OtherTenant

	// Granted means that the secret belongs to the tenant, or that the tenant requires none.
	Granted
)

// CheckSecret compares a secret with those of all tenants in constant time.
func (b *Registry) CheckSecret(tenant int, secret string) Access {
	if b.openTenants[tenant] {
		return Granted
	}
	digest := sha256.Sum256([]byte(secret))
	ownTenant, anyTenant := 0, 0
	for _, t := range b.tokens {
		same := subtle.ConstantTimeCompare(t.Digest[:], digest[:])
		anyTenant |= same
		ownTenant |= same & subtle.ConstantTimeEq(int32(t.Tenant), int32(tenant))
	}
	switch {
	case ownTenant == 1:
		return Granted
	case anyTenant == 1:
		return OtherTenant
	}
	return UnknownSecret
}

// Login returns the tenant with a name if the secret is valid for that tenant. An unknown name takes as long as a known one, so
// that names cannot be found by timing.
func (b *Registry) Login(name, secret string) (tenant int, ok bool) {
	tenant, known := b.tenants[name]
	if !known {
		for i, open := range b.openTenants {
			if !open {
				b.CheckSecret(i, secret)
				break
			}
		}
		return 0, false
	}
	return tenant, b.CheckSecret(tenant, secret) == Granted
}

// Tenant returns the number of the tenant with a name.
func (b *Registry) Tenant(name string) (tenant int, ok bool) {
	tenant, ok = b.tenants[name]
	return tenant, ok
}

// IsOpen reports whether anybody may submit messages of a tenant, because the tenant has no token.
func (b *Registry) IsOpen(tenant int) bool { return b.openTenants[tenant] }

// Lifetime returns the lifetime of a message for which the sender asked for a time. A negative time means that it asked for
// none. The result is at most limit, which is the deadline of the class, and at least MinLifetime or limit, whichever is less.
func (b *Registry) Lifetime(limit, asked time.Duration) control.Time {
	life := limit
	if asked >= 0 {
		life = min(life, asked)
	}
	return control.Time(max(life, min(b.minLifetime, limit)) / time.Microsecond)
}

// ValidUrgency reports whether s is an urgency by RFC 8030 section 5.3, or empty, which means normal.
func ValidUrgency(s string) bool {
	switch s {
	case "", "very-low", "low", "normal", "high":
		return true
	}
	return false
}

// Reasons why a key is not valid.
var (
	// ErrInvalidTopic means that a topic is too long or contains a character that is not allowed.
	ErrInvalidTopic = errors.New("an order key has at most 32 characters of the URL-safe base64 alphabet (RFC 8030 section 5.4)")

	// ErrInvalidIdempotencyKey means that an idempotency key is empty, too long or contains a character that is not allowed.
	ErrInvalidIdempotencyKey = errors.New("a repeat key has 1 to 128 printable characters without quotes")
)

// SetTopic sets a message's topic. If the class requires order, the order key is derived from tenant, destination and topic, so
// it is the same for all fronts. The error is ErrInvalidTopic.
func SetTopic(m *engine.Message, inOrder bool, topic string) error {
	if len(topic) > 32 || strings.IndexFunc(topic, notBase64) >= 0 {
		return ErrInvalidTopic
	}
	m.Topic = topic
	if inOrder && topic != "" {
		m.OrderKey = max(1, xxhash.Sum64String(fmt.Sprintf("%d/%d/%s", m.Tenant, m.Dest, topic)))
	}
	return nil
}

// notBase64 reports whether r is not in the URL-safe base64 alphabet.
func notBase64(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
}

// SetIdempotencyKey sets the key by which partners deduplicate a message. The key is prefixed with the tenant, so two tenants
// may use the same key, and a tenant's key is the same for all fronts. The error is ErrInvalidIdempotencyKey.
func SetIdempotencyKey(m *engine.Message, key string) error {
	bad := func(r rune) bool { return r < ' ' || r > '~' || r == '"' || r == '\\' }
	if key == "" || len(key) > 128 || strings.IndexFunc(key, bad) >= 0 {
		return ErrInvalidIdempotencyKey
	}
	m.IdempotencyKey = fmt.Sprintf("%d/%s", m.Tenant, key)
	return nil
}

// Printable returns the printable ASCII characters among the first 80 bytes of s, for use in logs and answers.
func Printable(s string) string {
	if len(s) > 80 {
		s = s[:80]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return -1
		}
		return r
	}, s)
}
