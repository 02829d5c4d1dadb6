package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strings"
	"time"

	"parsleypulley/internal/link"
	"parsleypulley/internal/operator"
)

// connection holds the flags for connecting to the control replicas.
type connection struct {
	Control         []string      `help:"Addresses of the control replicas' operator API: host:port or URL,..." env:"PARSLEYPULLEY_CONTROL_API" placeholder:"ADDRESS,..."`
	OperatorKey     string        `help:"Operator's key; better by the environment variable or --operator-key-file, since others may see flags." env:"PARSLEYPULLEY_OPERATOR_KEY" placeholder:"KEY"`
	OperatorKeyFile string        `help:"File that holds the operator's key." env:"PARSLEYPULLEY_OPERATOR_KEY_FILE" placeholder:"FILE"`
	OperatorName    string        `help:"Name to record with changes." env:"PARSLEYPULLEY_OPERATOR_NAME,USER" placeholder:"NAME"`
	APICA           string        `name:"api-ca" help:"PEM file of the certificate authority for https addresses." env:"PARSLEYPULLEY_API_CA" placeholder:"FILE"`
	Timeout         time.Duration `help:"Longest time to try." default:"30s" env:"PARSLEYPULLEY_TIMEOUT"`
}

// connect validates the flags. It returns a client, a context that ends after the
// timeout, and a function that cancels the context and closes the client.
func (c *connection) connect(ctx context.Context) (*operator.Client, context.Context, context.CancelFunc, error) {
	key, err := c.key()
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	settings, err := c.tls()
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	if c.Timeout <= 0 {
		return nil, nil, nil, usageError{fmt.Errorf("--timeout %v is not positive", c.Timeout)}
	}
	client, err := operator.NewClient(operator.Options{Addresses: c.Control, Key: key, TLS: settings})
	if err != nil {
		return nil, nil, nil, usageError{fmt.Errorf("%w\nset --control and --operator-key, or PARSLEYPULLEY_CONTROL_API and PARSLEYPULLEY_OPERATOR_KEY", err)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	return client, ctx, func() { cancel(); client.Close() }, nil
}

// key returns the operator's key from the flag or from the key file.
func (c *connection) key() (string, error) {
	if c.OperatorKeyFile == "" {
		return c.OperatorKey, nil
	}
	if c.OperatorKey != "" {
		return "", fmt.Errorf("set --operator-key or --operator-key-file, not both")
	}
	data, err := os.ReadFile(c.OperatorKeyFile)
	if err != nil {
		return "", fmt.Errorf("read operator's key: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// tls returns the TLS settings for https addresses, or nil if no certificate
// authority is set.
func (c *connection) tls() (*tls.Config, error) {
	if c.APICA == "" {
		return nil, nil
	}
	data, err := os.ReadFile(c.APICA)
	if err != nil {
		return nil, fmt.Errorf("read certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s holds no PEM certificate", c.APICA)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots, ServerName: link.ServerName}, nil
}
