package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// Defaults of a client.
const (
	// DefaultAttemptTimeout is the timeout of one attempt at one address.
	DefaultAttemptTimeout = 5 * time.Second
	// DefaultInitialBackoff is the wait after the first round over all addresses.
	DefaultInitialBackoff = 200 * time.Millisecond
	// maxBackoff is the maximum wait between two rounds.
	maxBackoff = 3 * time.Second
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 64 << 20
	// changeIDBytes is the number of bytes in a generated change ID before
	// encoding.
	changeIDBytes = 16
)

// Options are the settings of a Client.
type Options struct {
	// Addresses are the addresses of the operator API of the control replicas.
	// Each is host:port or a URL with scheme http or https.
	Addresses []string
	// Key is the operator's key.
	Key string
	// TLS is used for https addresses. If it is nil, the default TLS settings are
	// used.
	TLS *tls.Config
	// AttemptTimeout is the timeout of one attempt at one address. If it is 0,
	// DefaultAttemptTimeout is used.
	AttemptTimeout time.Duration
	// InitialBackoff is the wait after the first round over all addresses. The
	// wait doubles with each round, up to 3 s. If InitialBackoff is 0,
	// DefaultInitialBackoff is used.
	InitialBackoff time.Duration
}

// Client is a client of the operator API. Except for Bootstrap, it tries one
// address after another until one serves the request, an attempt fails with an
// error that is not retried, or the context ends. The context of each call must
// therefore have a deadline. Client is safe for concurrent use.
type Client struct {
	addresses []*url.URL
	options   Options
	http      *http.Client
	// sleep waits for a duration. It returns false if the context ended first.
	sleep func(context.Context, time.Duration) bool
}

// NewClient validates the options and returns a client. It opens no connection.
func NewClient(o Options) (*Client, error) {
	var problems []error
	if len(o.Addresses) == 0 {
		problems = append(problems, errors.New("no control address is set"))
	}
	if o.Key == "" {
		problems = append(problems, errors.New("no operator key is set"))
	}
	c := &Client{options: o, sleep: backoff.Sleep}
	for _, address := range o.Addresses {
		u, err := parseAddress(address)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		c.addresses = append(c.addresses, u)
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	if c.options.AttemptTimeout <= 0 {
		c.options.AttemptTimeout = DefaultAttemptTimeout
	}
	if c.options.InitialBackoff <= 0 {
		c.options.InitialBackoff = DefaultInitialBackoff
	}
	c.http = &http.Client{
		Transport:     &http.Transport{TLSClientConfig: o.TLS, ResponseHeaderTimeout: c.options.AttemptTimeout},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func parseAddress(address string) (*url.URL, error) {
	text := address
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Port() == "" || u.Hostname() == "" || strings.Trim(u.Path, "/") != "" {
		return nil, fmt.Errorf("control address %q is not host:port or http(s)://host:port", address)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return nil, fmt.Errorf("control address %q has scheme %q; use http or https", address, u.Scheme)
	}
	return u, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NewChangeID returns a random change ID.
func NewChangeID() string {
	var id [changeIDBytes]byte
	rand.Read(id[:]) // never fails; see crypto/rand
	return hex.EncodeToString(id[:])
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (*wire.Config, error) {
	config := &wire.Config{}
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/config", decode: func(body []byte) error {
		return protojson.Unmarshal(body, config)
	}})
	if err != nil {
		return nil, err
	}
	return config, nil
}

// Change sends a change and returns its result. If the change has no ID, Change
// assigns a random one. If a response is lost, Change sends the change again with
// the same ID, for which the control replicas return the first result. A change
// is therefore never applied twice.
func (c *Client) Change(ctx context.Context, change *wire.ConfigChange) (*ChangeResult, error) {
	if change.ChangeId == "" {
		change.ChangeId = NewChangeID()
	}
	body, err := protojson.Marshal(change)
	if err != nil {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "encode change: %w", err)
	}
	result := &ChangeResult{}
	_, err = c.do(ctx, request{method: http.MethodPost, path: "/v1/changes", body: body, decode: jsonDecoder(result)})
	if err != nil {
		return nil, err
	}
	return result, nil
}

// Backends returns the backend servers with their states.
func (c *Client) Backends(ctx context.Context) ([]Backend, error) {
	list := &backendList{}
	if _, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/backends", decode: jsonDecoder(list)}); err != nil {
		return nil, err
	}
	return list.Backends, nil
}

// ChangeBackend performs an action on a backend server: drain, undrain or retire.
// All actions are idempotent.
func (c *Client) ChangeBackend(ctx context.Context, name string, action Action) (*BackendResult, error) {
	path := "/v1/backends/" + url.PathEscape(name) + "/" + string(action)
	result := &BackendResult{}
	if _, err := c.do(ctx, request{method: http.MethodPost, path: path, decode: jsonDecoder(result)}); err != nil {
		return nil, err
	}
	return result, nil
}

// Status returns the status of the first control replica that responds.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	status := &Status{}
	if _, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/status", decode: jsonDecoder(status)}); err != nil {
		return nil, err
	}
	return status, nil
}

// Bootstrap makes the replica at the only address of the client the first one of
// a new installation. The client must have exactly one address, because a request
// to a second replica would create a second installation. Bootstrap does not
// retry.
func (c *Client) Bootstrap(ctx context.Context) error {
	if len(c.addresses) != 1 {
		return fault.New(fault.BadRequest, fault.NotRun, "bootstrap needs exactly one control address, not %d", len(c.addresses))
	}
	r := request{method: http.MethodPost, path: "/v1/bootstrap", decode: ignoreBody}
	return c.attempt(ctx, c.addresses[0], r)
}

// RemoveReplica removes a control replica that has failed permanently.
func (c *Client) RemoveReplica(ctx context.Context, id ReplicaID) error {
	path := "/v1/replicas/" + id.String() + "/remove"
	mayHaveRun, err := c.do(ctx, request{method: http.MethodPost, path: path, decode: ignoreBody})
	if mayHaveRun && fault.Is(err, fault.NotFound) {
		return nil // an attempt whose response was lost removed the replica
	}
	return err
}

func jsonDecoder(v any) func([]byte) error {
	return func(body []byte) error { return json.Unmarshal(body, v) }
}

func ignoreBody([]byte) error { return nil }

// DeriveChangeID returns a change ID that is a hash of the content of the change
// and the revision that it is based on. The same change therefore has the same ID
// and gets the first result when it is sent again, even by another process. The
// operator's name is not part of the hash. A change that can't be encoded gets a
// random ID.
func DeriveChangeID(change *wire.ConfigChange) string {
	content := proto.CloneOf(change)
	content.ChangeId = ""
	content.Operator = ""
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return NewChangeID()
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:changeIDBytes])
}
