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
	// DefaultAttemptTimeout bounds one attempt at one address.
	DefaultAttemptTimeout = 5 * time.Second
	// DefaultInitialBackoff is the wait after the first round of all addresses.
	DefaultInitialBackoff = 200 * time.Millisecond
	// maxBackoff bounds the wait between two rounds.
	maxBackoff = 3 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20
	changeIDBytes  = 16
)

// Options are the settings of a Client.
type Options struct {
	// Addresses are those of the control replicas' operator API: host:port, or
	// a URL with scheme http or https.
	Addresses []string
	// Key is the operator's key.
	Key string
	// TLS is used for https addresses; nil takes the system's defaults.
	TLS *tls.Config
	// AttemptTimeout and InitialBackoff take the defaults when 0.
	AttemptTimeout, InitialBackoff time.Duration
}

// Client drives the control replicas. It asks one address after another until
// one answers, so the context must bound the whole call. It is safe for
// concurrent use.
type Client struct {
	addresses []*url.URL
	options   Options
	http      *http.Client
	// sleep waits and reports whether the context still holds after it.
	sleep func(context.Context, time.Duration) bool
}

// NewClient checks the options and returns a client; it connects to nothing.
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

// Change sends a change and returns how it was decided. A change without an ID
// gets a random one. A lost answer is asked for again under the same ID, which
// gets the first result, so that the change is never made twice.
func (c *Client) Change(ctx context.Context, change *wire.ConfigChange) (*ChangeResult, error) {
	if change.ChangeId == "" {
		change.ChangeId = NewChangeID()
	}
	body, err := protojson.Marshal(change)
	if err != nil {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "encode change: %w", err)
	}
	result := &ChangeResult{}
	_, err = c.do(ctx, request{method: http.MethodPost, path: "/v1/changes", body: body, decode: decodeInto(result)})
	if err != nil {
		return nil, err
	}
	return result, nil
}

// Backends returns the backend servers with their states.
func (c *Client) Backends(ctx context.Context) ([]Backend, error) {
	list := &backendList{}
	if _, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/backends", decode: decodeInto(list)}); err != nil {
		return nil, err
	}
	return list.Backends, nil
}

// ChangeBackend drains, takes back or retires a backend server. The actions
// may be sent again without harm.
func (c *Client) ChangeBackend(ctx context.Context, name string, action Action) (*BackendResult, error) {
	path := "/v1/backends/" + url.PathEscape(name) + "/" + string(action)
	result := &BackendResult{}
	if _, err := c.do(ctx, request{method: http.MethodPost, path: path, decode: decodeInto(result)}); err != nil {
		return nil, err
	}
	return result, nil
}

// Status returns the status of the first control replica that answers.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	status := &Status{}
	if _, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/status", decode: decodeInto(status)}); err != nil {
		return nil, err
	}
	return status, nil
}

// Bootstrap makes the replica at the one address the first of a new
// installation. It is never sent to a second address, since that would make a
// second installation, and never sent again by itself.
func (c *Client) Bootstrap(ctx context.Context) error {
	if len(c.addresses) != 1 {
		return fault.New(fault.BadRequest, fault.NotRun, "bootstrap needs exactly one control address, not %d", len(c.addresses))
	}
	r := request{method: http.MethodPost, path: "/v1/bootstrap", decode: ignoreBody}
	return c.attempt(ctx, c.addresses[0], r)
}

// RemoveReplica removes a control replica that is lost.
func (c *Client) RemoveReplica(ctx context.Context, id ReplicaID) error {
	path := "/v1/replicas/" + id.String() + "/remove"
	lost, err := c.do(ctx, request{method: http.MethodPost, path: path, decode: ignoreBody})
	if lost && fault.Is(err, fault.NotFound) {
		return nil // the attempt whose answer was lost has removed it
	}
	return err
}

func decodeInto(v any) func([]byte) error {
	return func(body []byte) error { return json.Unmarshal(body, v) }
}

func ignoreBody([]byte) error { return nil }

// DeriveChangeID returns a change ID made from what the change does and the
// revision that it builds on. The same change sent again, also by another run
// of a program, has the same ID and so gets the first result.
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
