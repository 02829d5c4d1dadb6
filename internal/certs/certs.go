// Package certs creates the certificate authority of an installation, and the
// certificates with which its processes authenticate each other on their links.
package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"parsleypulley/internal/link"
)

// Roles are the process roles that a certificate can name.
var Roles = []string{link.RoleRouter, link.RoleAgent, link.RoleControl}

const (
	caCertFile = "ca.pem"
	caKeyFile  = "ca-key.pem"
	// clockSkew is how far the clocks of processes may differ. A new certificate is
	// valid from this long before now, so that no process rejects it as not yet
	// valid.
	clockSkew = time.Hour
	// serialBits is the size of the random serial numbers.
	serialBits = 127

	certMode = 0o644
	keyMode  = 0o600
	dirMode  = 0o700

	certBlock = "CERTIFICATE"
	keyBlock  = "PRIVATE KEY"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Authority is a certificate authority whose key and certificate are in a folder.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  crypto.Signer
}

// OpenAuthority returns the authority in dir. If there is none yet, it creates one
// that expires validity after now.
func OpenAuthority(dir string, now time.Time, validity time.Duration) (a *Authority, created bool, err error) {
	a, err = loadAuthority(dir)
	if !errors.Is(err, os.ErrNotExist) {
		return a, false, err
	}
	a, err = createAuthority(dir, now, validity)
	return a, true, err
}

func loadAuthority(dir string) (*Authority, error) {
	certDER, err := readPEM(filepath.Join(dir, caCertFile), certBlock)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(certDER)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of the authority: %w", err)
	}
	keyDER, err := readPEM(filepath.Join(dir, caKeyFile), keyBlock)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s is there but %s is not: bring the key back or use another folder", caCertFile, caKeyFile)
	}
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keyDER)
	if err != nil {
		return nil, fmt.Errorf("parse key of the authority: %w", err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("the key of the authority has type %T, which can't sign", key)
	}
	return &Authority{dir: dir, cert: cert, key: signer}, nil
}

func createAuthority(dir string, now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          newSerial(),
		Subject:               pkix.Name{CommonName: link.ServerName + " authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		KeyUsage:              x509.KeyUsageCertSign,
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of the authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of the authority: %w", err)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	if err := writePair(filepath.Join(dir, caCertFile), der, filepath.Join(dir, caKeyFile), key); err != nil {
		return nil, err
	}
	return &Authority{dir: dir, cert: cert, key: key}, nil
}

// Issue creates the key and the certificate of a process and returns the paths of
// the two files. The files must not exist yet.
func (a *Authority) Issue(role, name string, now time.Time, validity time.Duration) (certFile, keyFile string, err error) {
	if !slices.Contains(Roles, role) {
		return "", "", fmt.Errorf("unknown role %q: use one of %v", role, Roles)
	}
	if !namePattern.MatchString(name) {
		return "", "", fmt.Errorf("bad process name %q: use 1 to 63 letters, digits, '.', '_' or '-'", name)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("make key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{role}},
		DNSNames:     []string{link.ServerName},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return "", "", fmt.Errorf("sign certificate: %w", err)
	}
	base := filepath.Join(a.dir, role+"-"+name)
	certFile, keyFile = base+".pem", base+"-key.pem"
	return certFile, keyFile, writePair(certFile, der, keyFile, key)
}

func newSerial() *big.Int {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	n, err := rand.Int(rand.Reader, limit)
	if err != nil {
		panic(err) // never happens; see crypto/rand
	}
	return n.Add(n, big.NewInt(1))
}

func readPEM(file, kind string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, fmt.Errorf("%s holds no PEM block of type %s", file, kind)
	}
	return block.Bytes, nil
}

// writePair writes a key and its certificate to new files. der is the certificate.
func writePair(certFile string, der []byte, keyFile string, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := writePEM(keyFile, keyBlock, keyDER, keyMode); err != nil {
		return err
	}
	return writePEM(certFile, certBlock, der, certMode)
}

func writePEM(file, kind string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	err = pem.Encode(f, &pem.Block{Type: kind, Bytes: der})
	return errors.Join(err, f.Close())
}
