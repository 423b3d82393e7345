// Package receipt turns final answers into receipts that anybody can verify. A receipt is JSON, signed as a JWS in its compact
// serialization (RFC 7515) with Ed25519 (RFC 8037).
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

// Receipt is the final answer of one message. Optional fields are omitted from the JSON if they are empty.
type Receipt struct {
	Message          string    `json:"message"` // The dispatcher's name of the message.
	Answer           string    `json:"answer"`  // One of served, refused and failed.
	At               time.Time `json:"at"`
	Detail           string    `json:"detail,omitempty"`
	Reason           string    `json:"reason,omitempty"` // The dispatcher's reason, if no response of the partner ended the message.
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

// New returns the receipt of an answer. name is the dispatcher's name of the message.
func New(name string, a *engine.Answer, at time.Time) *Receipt {
	return &Receipt{Message: name, Answer: a.Kind.String(), At: at.UTC(), Detail: a.AttemptDetail, Reason: a.Reason, Attempts: a.Attempts, PartnerStatus: a.Status,
		RetryAfterMillis: int64(a.RetryAfter / 1000), OutOfTime: a.DeadlineExceeded}
}

// JSON returns the receipt as JSON, without a signature.
func (r *Receipt) JSON() []byte {
	b, _ := json.Marshal(r) // Cannot fail, because all fields can be encoded.
	return b
}

// Signer signs receipts. A key of the audit trail is a Signer.
type Signer interface {
	// ID returns the identity of the key.
	ID() string

	// Sign returns the Ed25519 signature of its argument.
	Sign([]byte) []byte
}

// MediaType is the media type of a signed receipt (RFC 7515 section 9.2.1).
const MediaType = "application/jose"

// header is the JOSE header of a signed receipt.
type header struct {
	Alg string `json:"alg"`
	Typ string `json:"typ"`
	Kid string `json:"kid"`
}

// receiptType is the value of the header parameter "typ".
const receiptType = "whinrun-receipt"

// encoding is the encoding of the parts of a JWS.
var encoding = base64.RawURLEncoding.Strict()

// Sign returns the receipt as a JWS in its compact serialization.
func (r *Receipt) Sign(key Signer) string {
	h, _ := json.Marshal(header{"EdDSA", receiptType, key.ID()})
	signingInput := encoding.EncodeToString(h) + "." + encoding.EncodeToString(r.JSON())
	return signingInput + "." + encoding.EncodeToString(key.Sign([]byte(signingInput)))
}

// ErrSignature means that the signature does not match the receipt.
var ErrSignature = errors.New("the receipt is not signed by this key as it stands")

// Verify verifies a signed receipt and returns it. keys holds the public keys by their IDs. The error is ErrSignature if the
// signature is wrong, and another one if jws is not a signed receipt or its key is not among keys.
func Verify(jws string, keys map[string]ed25519.PublicKey) (*Receipt, error) {
	parts := strings.Split(strings.TrimSpace(jws), ".")
	if len(parts) != 3 {
		return nil, errors.New("not a signed receipt: three parts with dots between them are expected")
	}
	var raw [3][]byte
	for i := range parts {
		var err error
		if raw[i], err = encoding.DecodeString(parts[i]); err != nil {
			return nil, fmt.Errorf("not a signed receipt: part %d: %w", i+1, err)
		}
	}
	var h header
	if err := json.Unmarshal(raw[0], &h); err != nil {
		return nil, fmt.Errorf("not a signed receipt: %w", err)
	}
	if h.Alg != "EdDSA" || h.Typ != receiptType {
		return nil, fmt.Errorf("not a signed receipt: %s, %s", h.Typ, h.Alg)
	}
	key, ok := keys[h.Kid]
	if !ok {
		return nil, fmt.Errorf("signed by key %q, which is not among those given", h.Kid)
	}
	if !ed25519.Verify(key, []byte(parts[0]+"."+parts[1]), raw[2]) {
		return nil, ErrSignature
	}
	r := &Receipt{}
	if err := json.Unmarshal(raw[1], r); err != nil {
		return nil, fmt.Errorf("receipt: %w", err)
	}
	return r, nil
}
