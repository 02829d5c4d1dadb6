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

// ServerName is the DNS name in every certificate of the system. It identifies any
// process of this installation, because processes address each other by IP
// address. The subject of the certificate identifies the single process.
const ServerName = "parsleypulley"

// LoadTLS returns the mutual TLS configuration of a process, read from PEM files.
// The configuration can be used for accepting and for dialling.
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

// peerIdentity returns the role (organizational unit) and the name (common name)
// in the peer's certificate. Both are empty without TLS.
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
