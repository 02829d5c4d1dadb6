// Package account makes and checks the API keys of client accounts and
// operators, and derives the values that keep accounts apart.
//
// A key is known in plain text only to its holder. Everything else works on
// its SHA-256 digest, which is safe because keys carry 256 bits of randomness.
package account

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	// KeyPrefix starts every key, so that scanners for leaked secrets know it.
	KeyPrefix = "ppk_"
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
	// digestPrefix starts the text form of a digest.
	digestPrefix = "sha256:"
	// saltBytes is the length of a derived cache salt before encoding.
	saltBytes = 16
	// saltContext separates salt derivation from other uses of SHA-256.
	saltContext = "parsleypulley cache salt v1\x00"
)

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [sha256.Size]byte

// NewKey returns a random key and its digest.
func NewKey() (plain string, digest KeyDigest) {
	var secret [keyBytes]byte
	rand.Read(secret[:]) // never fails; see crypto/rand
	plain = KeyPrefix + base64.RawURLEncoding.EncodeToString(secret[:])
	return plain, Digest(plain)
}

// Digest returns the digest of a key in plain text.
func Digest(plain string) KeyDigest {
	return sha256.Sum256([]byte(plain))
}

// String returns the text form of d, as declarations write it.
func (d KeyDigest) String() string {
	return digestPrefix + hex.EncodeToString(d[:])
}

// ParseDigest parses the text form of a digest: "sha256:" and 64 hexadecimal
// digits.
func ParseDigest(text string) (KeyDigest, error) {
	var d KeyDigest
	digits, ok := strings.CutPrefix(text, digestPrefix)
	if !ok {
		return d, fmt.Errorf("a key digest starts with %q", digestPrefix)
	}
	if len(digits) != hex.EncodedLen(len(d)) {
		return d, fmt.Errorf("a key digest has %d hexadecimal digits, not %d", hex.EncodedLen(len(d)), len(digits))
	}
	if _, err := hex.Decode(d[:], []byte(digits)); err != nil {
		return d, fmt.Errorf("a key digest has hexadecimal digits only")
	}
	return d, nil
}

// Equal compares two digests in constant time.
func Equal(a, b KeyDigest) bool {
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// Keyring is a small set of digests, such as those of the operators' keys.
type Keyring []KeyDigest

// Contains reports whether the digest of plain is in r. It compares with every
// digest, so that its time tells nothing about which one matched.
func (r Keyring) Contains(plain string) bool {
	digest := Digest(plain)
	found := 0
	for _, d := range r {
		found |= subtle.ConstantTimeCompare(d[:], digest[:])
	}
	return found == 1
}

// ParseBearer returns the key in the value of an Authorization header.
func ParseBearer(header string) (key string, ok bool) {
	scheme, key, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	key = strings.TrimSpace(key)
	return key, key != ""
}

// DerivedSaltPrefix starts every derived cache salt. Declared salts must not
// start with it, so that no declared salt equals a derived one.
const DerivedSaltPrefix = "derived-"

// DeriveSalt returns the cache salt of an account that declares none. Names
// are unique, so that two accounts never get the same salt.
func DeriveSalt(name string) string {
	sum := sha256.Sum256([]byte(saltContext + name))
	return DerivedSaltPrefix + hex.EncodeToString(sum[:saltBytes])
}
