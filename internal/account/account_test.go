package account

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestNewKeysDifferAndMatchTheirDigest(t *testing.T) {
	is := is.New(t)
	first, firstDigest := NewKey()
	second, secondDigest := NewKey()
	is.True(first != second)
	is.True(strings.HasPrefix(first, KeyPrefix))
	is.Equal(Digest(first), firstDigest)
	is.True(Equal(firstDigest, firstDigest))
	is.True(!Equal(firstDigest, secondDigest))
	is.True(!strings.Contains(firstDigest.String(), first))
}

// A digest that ends in a zero byte was returned for a text whose last digit is none, beside
// the error: the digits before it are decoded.
func TestParseDigestReturnsNothingWithAnError(t *testing.T) {
	is := is.New(t)
	digest, err := ParseDigest("sha256:" + strings.Repeat("1", 62) + "0g")
	is.True(err != nil)
	is.Equal(digest, KeyDigest{})
}

func TestParseDigest(t *testing.T) {
	_, digest := NewKey()
	text := digest.String()
	for _, test := range []struct {
		name, text string
		ok         bool
	}{
		{"text form", text, true},
		{"upper case digits", "sha256:" + strings.ToUpper(text[7:]), true},
		{"no prefix", text[7:], false},
		{"short", text[:len(text)-1], false},
		{"long", text + "0", false},
		{"other characters", text[:len(text)-1] + "g", false},
		{"empty", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got, err := ParseDigest(test.text)
			is.Equal(err == nil, test.ok)
			is.Equal(got == digest, test.ok)
		})
	}
}

func TestKeyringContainsOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	first, firstDigest := NewKey()
	second, secondDigest := NewKey()
	other, _ := NewKey()
	keyring := Keyring{firstDigest, secondDigest, secondDigest}
	is.True(keyring.Contains(first))
	is.True(keyring.Contains(second)) // also when listed twice
	is.True(!keyring.Contains(other))
	is.True(!keyring.Contains(""))
	is.True(!Keyring(nil).Contains(""))
}

func TestBearer(t *testing.T) {
	for _, test := range []struct {
		header, key string
	}{
		{"Bearer k", "k"},
		{"bearer  k ", "k"},
		{"Basic k", ""},
		{"Bearer", ""},
		{"Bearer ", ""},
		{"", ""},
	} {
		t.Run(test.header, func(t *testing.T) {
			is := is.New(t)
			key, ok := ParseBearer(test.header)
			is.Equal(key, test.key)
			is.Equal(ok, test.key != "")
		})
	}
}

func TestDerivedSaltsDifferByName(t *testing.T) {
	is := is.New(t)
	is.Equal(DeriveSalt("a", ""), DeriveSalt("a", ""))
	is.True(DeriveSalt("a", "") != DeriveSalt("b", ""))
	is.True(DeriveSalt("a", "s") != DeriveSalt("b", "s"))
	is.True(DeriveSalt("a", "s") != DeriveSalt("a", "t"))
	is.True(DeriveSalt("a", "") != DeriveSalt("a", "s"))
	is.True(DeriveSalt("a", "bc") != DeriveSalt("ab", "c"))
	is.True(strings.HasPrefix(DeriveSalt("a", "s"), DerivedSaltPrefix))
}
