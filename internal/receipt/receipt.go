// Package receipt makes final answers into receipts that anybody can check: JSON, signed as a JWS in its compact form
// (RFC 7515) with Ed25519 (RFC 8037).
package receipt

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"whinrun/internal/engine"
)

// Receipt is the final answer of one message.
type Receipt struct {
	Message          string    `json:"message"` // the dispatcher's name of it
	Answer           string    `json:"answer"`  // served, refused or failed
	At               time.Time `json:"at"`
	Detail           string    `json:"detail,omitempty"`
	Reason           string    `json:"reason,omitempty"` // the dispatcher's own, where no partner's answer ended it
	Attempts         int       `json:"attempts"`
	PartnerStatus    int       `json:"partner-status,omitempty"`
	RetryAfterMillis int64     `json:"retry-after-ms,omitempty"`
	OutOfTime        bool      `json:"out-of-time,omitempty"`
	MessageID        string    `json:"message-id,omitempty"`
	CorrelationID    string    `json:"correlation-id,omitempty"`
	Exchange         string    `json:"exchange,omitempty"`
	RoutingKey       string    `json:"routing-key,omitempty"`
	Path             string    `json:"path,omitempty"`
}

// New makes a receipt of an answer.
func New(name string, a *engine.Answer, at time.Time) *Receipt {
	return &Receipt{Message: name, Answer: a.Kind.String(), At: at.UTC(), Detail: a.AttemptDetail, Reason: a.Reason, Attempts: a.Attempts, PartnerStatus: a.Status,
		RetryAfterMillis: int64(a.RetryAfter / 1000), OutOfTime: a.DeadlineExceeded}
}

// JSON is the receipt unsigned.
func (r *Receipt) JSON() []byte {
	b, _ := json.Marshal(r) // its fields can all be encoded
	return b
}

// Signer signs, as a key of the audit trail does.
type Signer interface {
	ID() string
	Sign([]byte) []byte
}

// MediaType is the type of a signed receipt (RFC 7515 section 9.2.1).
const MediaType = "application/jose"

type head struct {
	Alg string `json:"alg"`
	Typ string `json:"typ"`
	Kid string `json:"kid"`
}

const typ = "whinrun-receipt"

var code = base64.RawURLEncoding.Strict()

// Sign returns the receipt in its signed form.
func (r *Receipt) Sign(key Signer) string {
	h, _ := json.Marshal(head{"EdDSA", typ, key.ID()})
	text := code.EncodeToString(h) + "." + code.EncodeToString(r.JSON())
	return text + "." + code.EncodeToString(key.Sign([]byte(text)))
}

// ErrSignature tells of a receipt that is not as it was signed.
var ErrSignature = errors.New("the receipt is not signed by this key as it stands")

// Verify checks a signed receipt with the public keys by their ids, and returns what it says.
func Verify(jws string, keys map[string]ed25519.PublicKey) (*Receipt, error) {
	part := strings.Split(strings.TrimSpace(jws), ".")
	if len(part) != 3 {
		return nil, errors.New("not a signed receipt: three parts with dots between them are expected")
	}
	var raw [3][]byte
	for i := range part {
		var err error
		if raw[i], err = code.DecodeString(part[i]); err != nil {
			return nil, fmt.Errorf("not a signed receipt: part %d: %w", i+1, err)
		}
	}
	var h head
	if err := json.Unmarshal(raw[0], &h); err != nil {
		return nil, fmt.Errorf("not a signed receipt: %w", err)
	}
	if h.Alg != "EdDSA" || h.Typ != typ {
		return nil, fmt.Errorf("not a signed receipt: %s, %s", h.Typ, h.Alg)
	}
	key, ok := keys[h.Kid]
	if !ok {
		return nil, fmt.Errorf("signed by key %q, which is not among those given", h.Kid)
	}
	if !ed25519.Verify(key, []byte(part[0]+"."+part[1]), raw[2]) {
		return nil, ErrSignature
	}
	r := &Receipt{}
	if err := json.Unmarshal(raw[1], r); err != nil {
		return nil, fmt.Errorf("receipt: %w", err)
	}
	return r, nil
}
