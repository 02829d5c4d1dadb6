package certs

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/link"
)

const day = 24 * time.Hour

func openAuthority(t *testing.T, dir string, now time.Time) *Authority {
	t.Helper()
	a, _, err := OpenAuthority(dir, now, day)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// tlsConfig issues a certificate and loads it as a process does.
func tlsConfig(t *testing.T, a *Authority, role, name string, now time.Time) *tls.Config {
	t.Helper()
	cert, key, err := a.Issue(role, name, now, day)
	if err != nil {
		t.Fatal(err)
	}
	config, err := link.LoadTLS(filepath.Join(a.dir, caCertFile), cert, key)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// handshakeResult holds the results of a handshake on both sides.
type handshakeResult struct {
	server, client error
	// state is the connection state of the server.
	state tls.ConnectionState
}

// handshake runs a TLS handshake between a client and a server on loopback.
func handshake(t *testing.T, server, client *tls.Config) handshakeResult {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan error, 1)
	var accepted *tls.Conn
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			done <- err
			return
		}
		accepted = tls.Server(conn, server)
		done <- accepted.Handshake()
	}()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	clientErr := tls.Client(raw, client).Handshake()
	serverErr := <-done
	defer accepted.Close()
	return handshakeResult{server: serverErr, client: clientErr, state: accepted.ConnectionState()}
}

func TestProcessesAuthenticateEachOther(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := openAuthority(t, t.TempDir(), now)
	result := handshake(t, tlsConfig(t, a, "agent", "runner-1", now), tlsConfig(t, a, "router", "router-0", now))
	is.NoErr(result.client)
	is.NoErr(result.server)
	subject := result.state.PeerCertificates[0].Subject
	is.Equal(subject.OrganizationalUnit, []string{"router"})
	is.Equal(subject.CommonName, "router-0")
}

func TestUntrustedCertificatesAreRejected(t *testing.T) {
	now := time.Now()
	a := openAuthority(t, t.TempDir(), now)
	other := openAuthority(t, t.TempDir(), now)
	server := tlsConfig(t, a, "agent", "runner-1", now)
	anonymous := tlsConfig(t, a, "router", "anonymous", now)
	anonymous.Certificates = nil
	for name, client := range map[string]*tls.Config{
		"another authority":   tlsConfig(t, other, "router", "router-0", now),
		"expired certificate": tlsConfig(t, a, "router", "router-1", now.Add(-2*day)),
		"no certificate":      anonymous,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client.RootCAs = server.RootCAs // the client accepts the server, so only the server can reject the handshake
			is.True(handshake(t, server, client).server != nil)
		})
	}
}

func TestExistingKeyFilesAreNotOverwritten(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	dir := filepath.Join(t.TempDir(), "keys")
	first, created, err := OpenAuthority(dir, now, day)
	is.NoErr(err)
	is.True(created)
	second, created, err := OpenAuthority(dir, now, day)
	is.NoErr(err)
	is.True(!created)
	is.True(second.cert.Equal(first.cert))

	_, keyFile, err := second.Issue("control", "control-0", now, day)
	is.NoErr(err)
	info, err := os.Stat(keyFile)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(keyMode)) // only the owner reads a key
	_, _, err = second.Issue("control", "control-0", now, day)
	is.True(errors.Is(err, os.ErrExist))

	is.NoErr(os.Remove(filepath.Join(dir, caKeyFile)))
	_, _, err = OpenAuthority(dir, now, day)
	is.True(err != nil) // a missing key of the authority is not replaced silently
}

func TestIssueChecksRoleAndName(t *testing.T) {
	is := is.New(t)
	a := openAuthority(t, t.TempDir(), time.Now())
	for _, bad := range [][2]string{{"operator", "x"}, {"", "x"}, {"router", ""}, {"router", "../x"}, {"router", "a/b"}} {
		_, _, err := a.Issue(bad[0], bad[1], time.Now(), day)
		is.True(err != nil)
	}
}
