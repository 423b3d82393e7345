// Package intake is what every front asks of a message before it is taken, whatever protocol it came by: the resource
// that it is for, whose it is, how long it may live, its keys. It is free of I/O.
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

// Resource is what clients hand messages in to: a configured path that names partner, class and tenant. A path that
// ends in "/*" takes one more part, the device's or subscription's, which goes on to the partner.
type Resource struct {
	Path        string
	Dest        int
	Class       int
	Tenant      int
	InOrder     bool
	MaxLifetime time.Duration // the class's limit
	Target      string        // for the paths that take one more part: what stands before it at the partner
}

// Exchange is a named door for programs that publish: it fixes class and tenant, and the routing key names the partner.
type Exchange struct {
	Name        string
	Class       int
	Tenant      int
	InOrder     bool
	MaxLifetime time.Duration
}

// Token is a tenant's bearer token or password, kept as its digest.
type Token struct {
	Digest [sha256.Size]byte
	Tenant int
}

// NewToken makes a Token.
func NewToken(secret string, tenant int) Token { return Token{sha256.Sum256([]byte(secret)), tenant} }

// Config is what a Book is made of.
type Config struct {
	Resources   []Resource
	Exchanges   []Exchange
	Partners    map[string]int // by name
	Tenants     []string
	Tokens      []Token
	MaxBody     int
	MinLifetime time.Duration // shortest life of a message: one of 0 asks for an attempt at once or none
}

// Registry knows the resources and the tenants. It is not changed after NewBook.
type Registry struct {
	resources map[string]*Resource
	exchanges map[string]*Exchange
	partners  map[string]int
	tenants   map[string]int
	tokens    []Token
	open      []bool // tenants without a token
	maxBody   int
	least     time.Duration
}

// NewRegistry returns a Book.
func NewRegistry(s Config) *Registry {
	b := &Registry{resources: map[string]*Resource{}, exchanges: map[string]*Exchange{}, partners: s.Partners, tenants: map[string]int{},
		tokens: s.Tokens, open: make([]bool, len(s.Tenants)), maxBody: s.MaxBody, least: s.MinLifetime}
	for i := range s.Resources {
		b.resources[s.Resources[i].Path] = &s.Resources[i]
	}
	for i := range s.Exchanges {
		b.exchanges[s.Exchanges[i].Name] = &s.Exchanges[i]
	}
	for i, name := range s.Tenants {
		b.tenants[name] = i
		b.open[i] = true
	}
	for _, t := range s.Tokens {
		b.open[t.Tenant] = false
	}
	return b
}

// MaxBody is the largest body taken, in bytes.
func (b *Registry) MaxBody() int { return b.maxBody }

// Exchange returns a configured exchange, or nil.
func (b *Registry) Exchange(name string) *Exchange { return b.exchanges[name] }

// Find returns the resource at a path, and the part that goes on to the partner.
func (b *Registry) Find(path string) (*Resource, string) {
	if r := b.resources[path]; r != nil && !strings.HasSuffix(path, "/*") {
		return r, ""
	}
	i := strings.LastIndexByte(path, '/')
	if i < 0 || !part(path[i+1:]) {
		return nil, ""
	}
	r := b.resources[path[:i]+"/*"]
	if r == nil {
		return nil, ""
	}
	return r, r.Target + path[i:]
}

// Route returns where an exchange sends a routing key: PARTNER, or PARTNER/PART where the part goes on to the partner.
func (b *Registry) Route(x *Exchange, key string) (*Resource, string) {
	name, target, more := strings.Cut(key, "/")
	dest, ok := b.partners[name]
	if !ok || more && !part(target) {
		return nil, ""
	}
	if more {
		target = "/" + target
	}
	return &Resource{Dest: dest, Class: x.Class, Tenant: x.Tenant, InOrder: x.InOrder, MaxLifetime: x.MaxLifetime}, target
}

// part tells whether a text can be the last part of a path at a partner.
func part(s string) bool {
	return s != "" && s != "." && !strings.Contains(s, "..") &&
		strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(`#\/?`, r) }) < 0
}

// Access is what a secret is to a tenant.
type Access uint8

// Standings.
const (
	UnknownSecret Access = iota // nobody's, and the tenant asks for one
	OtherTenant                 // another tenant's
	Granted
)

// CheckSecret holds a secret against all tenants' in constant time.
func (b *Registry) CheckSecret(tenant int, secret string) Access {
	if b.open[tenant] {
		return Granted
	}
	digest := sha256.Sum256([]byte(secret))
	mine, known := 0, 0
	for _, t := range b.tokens {
		same := subtle.ConstantTimeCompare(t.Digest[:], digest[:])
		known |= same
		mine |= same & subtle.ConstantTimeEq(int32(t.Tenant), int32(tenant))
	}
	switch {
	case mine == 1:
		return Granted
	case known == 1:
		return OtherTenant
	}
	return UnknownSecret
}

// Login returns the tenant of a name, where the secret is that tenant's. An unknown name takes as long.
func (b *Registry) Login(name, secret string) (tenant int, ok bool) {
	tenant, known := b.tenants[name]
	if !known {
		for i, open := range b.open {
			if !open {
				b.CheckSecret(i, secret)
				break
			}
		}
		return 0, false
	}
	return tenant, b.CheckSecret(tenant, secret) == Granted
}

// Tenant returns the number of a tenant's name.
func (b *Registry) Tenant(name string) (tenant int, ok bool) {
	tenant, ok = b.tenants[name]
	return tenant, ok
}

// IsOpen tells whether anybody may hand in messages of a tenant.
func (b *Registry) IsOpen(tenant int) bool { return b.open[tenant] }

// Life is how long a message lives that asks for a time, below zero for none: at most its class's.
func (b *Registry) Lifetime(limit, asked time.Duration) control.Time {
	life := limit
	if asked >= 0 {
		life = min(life, asked)
	}
	return control.Time(max(life, min(b.least, limit)) / time.Microsecond)
}

// ValidUrgency of a message (RFC 8030 section 5.3); empty is normal.
func ValidUrgency(s string) bool {
	switch s {
	case "", "very-low", "low", "normal", "high":
		return true
	}
	return false
}

// What is wrong with a key.
var (
	ErrInvalidTopic          = errors.New("an order key has at most 32 characters of the URL-safe base64 alphabet (RFC 8030 section 5.4)")
	ErrInvalidIdempotencyKey = errors.New("a repeat key has 1 to 128 printable characters without quotes")
)

// SetTopic sets a message's Topic, which is its order key where the class asks for order. It is the same whichever front
// a message comes by.
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

func notBase64(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
}

// Repeat sets the key by which partners drop repeats. Two tenants may use one key; one tenant's key is the same
// whichever front it comes by.
func SetIdempotencyKey(m *engine.Message, key string) error {
	bad := func(r rune) bool { return r < ' ' || r > '~' || r == '"' || r == '\\' }
	if key == "" || len(key) > 128 || strings.IndexFunc(key, bad) >= 0 {
		return ErrInvalidIdempotencyKey
	}
	m.IdempotencyKey = fmt.Sprintf("%d/%s", m.Tenant, key)
	return nil
}

// Printable keeps what may stand in a log or an answer, 80 characters at most.
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
