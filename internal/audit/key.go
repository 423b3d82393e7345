package audit

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Key is the Ed25519 key (RFC 8032) that signs seals and receipts. It is stored in PEM files that other tools can read (RFC 8410).
type Key struct {
	private ed25519.PrivateKey
	id      string
}

// ID returns the id of the key: the first 8 bytes of the SHA-256 hash of the public key, in hexadecimal.
func (k *Key) ID() string { return k.id }

// Sign returns the signature of b.
func (k *Key) Sign(b []byte) []byte { return ed25519.Sign(k.private, b) }

// keyID returns the id of a public key.
func keyID(p ed25519.PublicKey) string {
	sum := sha256.Sum256(p)
	return hex.EncodeToString(sum[:8])
}

// privateKeyFile is the name of the file of the signing key.
const privateKeyFile = "signing-key.pem"

// OpenKey reads the signing key of a folder, or creates one if there is none. It also writes the public key to a file that is named
// after the key's id. Files of earlier keys are kept, so that seals by a key that was replaced can still be verified.
func OpenKey(folder string) (*Key, error) {
	name := filepath.Join(folder, privateKeyFile)
	b, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		b, err = makeKey(name)
	}
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(b)
	if block == nil {
		return nil, fmt.Errorf("%s: not PEM", name)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s: not an Ed25519 key", name)
	}
	public := private.Public().(ed25519.PublicKey)
	k := &Key{private, keyID(public)}
	der, err := x509.MarshalPKIXPublicKey(public)
	if err != nil {
		return nil, err
	}
	return k, writeFileAtomic(filepath.Join(folder, "key-"+k.id+".pub.pem"), pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der}), 0o644)
}

// makeKey creates a key, stores it in the named file and returns the content of that file.
func makeKey(name string) ([]byte, error) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, err
	}
	b := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	return b, writeFileAtomic(name, b, 0o600)
}

// writeFileAtomic writes a file by way of a temporary one, so that no reader sees it in part.
func writeFileAtomic(name string, b []byte, mode os.FileMode) error {
	if err := os.WriteFile(name+".new", b, mode); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// PublicKeys reads all public keys in a folder (*.pub.pem) and returns them by id.
func PublicKeys(folder string) (map[string]ed25519.PublicKey, error) {
	names, err := filepath.Glob(filepath.Join(folder, "*.pub.pem"))
	if err != nil {
		return nil, err
	}
	keys := map[string]ed25519.PublicKey{}
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		block, _ := pem.Decode(b)
		if block == nil {
			return nil, fmt.Errorf("%s: not PEM", name)
		}
		parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		p, ok := parsed.(ed25519.PublicKey)
		if !ok {
			return nil, fmt.Errorf("%s: not an Ed25519 key", name)
		}
		keys[keyID(p)] = p
	}
	return keys, nil
}
