package receipt

import (
	"crypto/ed25519"
	"errors"
	"strings"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/engine"
)

type key struct{ ed25519.PrivateKey }

func (key) ID() string             { return "k1" }
func (k key) Sign(b []byte) []byte { return ed25519.Sign(k.PrivateKey, b) }

func TestSignedReceipts(t *testing.T) {
	public, private, _ := ed25519.GenerateKey(nil)
	other, _, _ := ed25519.GenerateKey(nil)
	r := New("e-1", &engine.Answer{Kind: engine.Refused, RetryAfter: 2 * control.Second, Attempts: 3, AttemptDetail: "status 429"}, time.Unix(1e9, 0))
	jws := r.Sign(key{private})
	got, err := Verify(jws+"\n", map[string]ed25519.PublicKey{"k1": public})
	if err != nil || *got != *r || got.RetryAfterMillis != 2000 {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := Verify(jws, map[string]ed25519.PublicKey{"k1": other}); !errors.Is(err, ErrSignature) {
		t.Error("another key:", err)
	}
	part := strings.Split(jws, ".")
	r.Answer = "served"
	forged := part[0] + "." + strings.Split(r.Sign(key{private}), ".")[1] + "." + part[2]
	for name, s := range map[string]string{"forged": forged, "no parts": "x", "cut": jws[:len(jws)-9], "alg none": "eyJhbGciOiJub25lIn0." + part[1] + "."} {
		if _, err := Verify(s, map[string]ed25519.PublicKey{"k1": public}); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if _, err := Verify(jws, nil); err == nil || !strings.Contains(err.Error(), "k1") {
		t.Error("unknown key:", err)
	}
}

func FuzzVerify(f *testing.F) {
	_, private, _ := ed25519.GenerateKey(nil)
	f.Add(New("e-1", &engine.Answer{Kind: engine.Served}, time.Unix(1e9, 0)).Sign(key{private}))
	f.Fuzz(func(t *testing.T, s string) {
		if r, err := Verify(s, nil); err == nil {
			t.Errorf("taken without a key: %+v", r)
		}
	})
}
