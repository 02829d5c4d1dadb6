package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
)

// ServerName is the DNS name in every certificate of the system. Processes
// know each other by IP number, so that the name stands for "a process of this
// installation" and the subject tells which.
const ServerName = "parsleypulley"

// LoadTLS builds the mutual TLS configuration of a process from PEM files. The
// same configuration serves and dials.
func LoadTLS(caFile, certFile, keyFile string) (*tls.Config, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no PEM certificate", caFile)
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate and key: %w", err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
	}, nil
}

// peerIdentity returns the role (organizational unit) and name (common name) of
// the peer's certificate; both are empty on a plain connection.
func peerIdentity(conn net.Conn) (role, name string, err error) {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return "", "", nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return "", "", err
	}
	certs := tlsConn.ConnectionState().PeerCertificates
	if len(certs) == 0 || len(certs[0].Subject.OrganizationalUnit) == 0 {
		return "", "", errors.New("peer certificate names no role")
	}
	return certs[0].Subject.OrganizationalUnit[0], certs[0].Subject.CommonName, nil
}
