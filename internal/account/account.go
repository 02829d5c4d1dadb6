// Package account generates and checks the API keys of client accounts and
// operators, and derives the cache salts that isolate accounts from each other.
//
// Only the holder of a key stores its plain text. All other parts of the system
// store its SHA-256 digest. A plain hash is safe here because each key contains
// 256 random bits.
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
	// KeyPrefix is the prefix of every key, by which secret scanners recognize
	// leaked keys.
	KeyPrefix = "ppk_"
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
	// digestPrefix is the prefix of the text form of a digest.
	digestPrefix = "sha256:"
	// saltBytes is the number of bytes in a derived cache salt before encoding.
	saltBytes = 16
	// saltDomainSeparator is hashed before the name of an account, so that cache
	// salts differ from other SHA-256 digests of the name.
	saltDomainSeparator = "parsleypulley cache salt v1\x00"
	// secretSaltDomainSeparator is the same for accounts with a declared secret.
	secretSaltDomainSeparator = "parsleypulley cache salt with secret v1\x00"
)

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [sha256.Size]byte

// NewKey generates a random key. It returns its plain text and its digest.
func NewKey() (plain string, digest KeyDigest) {
	var secret [keyBytes]byte
	rand.Read(secret[:]) // never fails; see crypto/rand
	plain = KeyPrefix + base64.RawURLEncoding.EncodeToString(secret[:])
	return plain, Digest(plain)
}

// Digest returns the digest of a key that is given in plain text.
func Digest(plain string) KeyDigest {
	return sha256.Sum256([]byte(plain))
}

// String returns the text form of d that declarations use.
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
		return KeyDigest{}, fmt.Errorf("a key digest has hexadecimal digits only")
	}
	return d, nil
}

// Equal reports whether two digests are equal. It takes constant time.
func Equal(a, b KeyDigest) bool {
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// Keyring is a small set of key digests, such as those of the operators' keys.
type Keyring []KeyDigest

// Contains reports whether the digest of the key plain is in k. It compares with
// every digest, so that its duration does not reveal which one matched.
func (k Keyring) Contains(plain string) bool {
	digest := Digest(plain)
	found := 0
	for _, d := range k {
		found |= subtle.ConstantTimeCompare(d[:], digest[:])
	}
	return found == 1
}

// ParseBearer returns the key in the value of an Authorization header. It returns
// false if the header does not contain a bearer token.
func ParseBearer(header string) (key string, ok bool) {
	scheme, key, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	key = strings.TrimSpace(key)
	return key, key != ""
}

// DerivedSaltPrefix is the prefix of every derived cache salt. Declared salts must
// not start with it, so that no declared salt equals a derived one.
const DerivedSaltPrefix = "derived-"

// DeriveSalt returns the cache salt of an account, which depends on its name and on the secret
// that is declared for it, if any. Names are unique, so no two accounts ever get the same salt,
// also if a secret belongs to another account later.
func DeriveSalt(name, secret string) string {
	text := saltDomainSeparator + name
	if secret != "" {
		text = fmt.Sprintf("%s%d\x00%s%s", secretSaltDomainSeparator, len(name), name, secret)
	}
	sum := sha256.Sum256([]byte(text))
	return DerivedSaltPrefix + hex.EncodeToString(sum[:saltBytes])
}
