package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/keptconn"
	"parsleypulley/internal/permit"
)

// HTTPOptions are the settings of an HTTP client for a backend server.
type HTTPOptions struct {
	// URL is the base URL of the backend server, http://ip:port.
	URL string
	// PlainService is set for a plain service.
	PlainService bool
	Limits       Limits
}

// HTTP implements Engine for the HTTP dialect.
type HTTP struct {
	base         string
	plainService bool
	limits       Limits
	// client reuses connections.
	client *http.Client
	// queries sends the control requests that may be repeated, by path, and kvClient those that move cached
	// state. Their responses name no request, so a late copy of one could be taken for the response to a
	// call, or to a control request of another kind. Cached state names itself.
	queries  map[string]*keptconn.Client
	kvClient *http.Client
	// singleUseClient opens a new connection for each request. It is used for
	// requests that must not be sent twice, because net/http may resend a request if
	// a reused connection turns out to be closed, and for orders, whose responses name no order.
	singleUseClient *http.Client
	// singleUseUntil is the time, in Unix nanoseconds, until which no connection is reused:
	// the backend server has sent a response without a request ID. A late second copy of such a
	// response could not be told from the response to the next request on its connection.
	singleUseUntil atomic.Int64
	// incarnation is the incarnation in the last health check, or 0 if the check
	// failed.
	incarnation atomic.Uint64
	// leaving is the incarnation that has said that it leaves, or 0.
	leaving atomic.Uint64
	// limit is what the newest response says of the limit; nil if there is none.
	limit atomic.Pointer[limitNotice]
}

var _ Engine = (*HTTP)(nil)

// Timeouts and sizes of the connections to the backend server.
const (
	connectTimeout  = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	// singleUseTime is how long no connection is reused after a response without a request
	// ID. Connections that are in use then have ended or expired before.
	singleUseTime   = 2 * idleConnTimeout
	maxIdleConns    = 256
	maxHeaderBytes  = 64 << 10
	readBufferBytes = 8 << 10
	bodyChunkBytes  = 32 << 10
)

// NewHTTP returns a client for the backend server at o.URL.
func NewHTTP(o HTTPOptions) (*HTTP, error) {
	base, err := url.Parse(o.URL)
	if err != nil {
		return nil, fmt.Errorf("backend server URL: %w", err)
	}
	if base.Scheme != "http" || base.Host == "" || strings.Trim(base.Path, "/") != "" || base.RawQuery != "" {
		return nil, fmt.Errorf("backend server URL %q: want http://ip:port", o.URL)
	}
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	queries := map[string]*keptconn.Client{}
	for _, path := range []string{dialect.PathHealth, dialect.PathLoad, dialect.PathEvents, dialect.PathCancel} {
		queries[path] = keptconn.New(newTransport(false), keptconn.SettleTime)
	}
	return &HTTP{
		base:            "http://" + base.Host,
		plainService:    o.PlainService,
		limits:          o.Limits,
		client:          &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		queries:         queries,
		kvClient:        &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		singleUseClient: &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
	}, nil
}

func newTransport(singleUse bool) *http.Transport {
	return &http.Transport{
		DialContext:            dialRecorded,
		DisableCompression:     true,
		DisableKeepAlives:      singleUse,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         readBufferBytes,
	}
}

// noRedirect makes the client return redirects to the caller instead of following
// them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the connections that are not in use.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
	h.kvClient.CloseIdleConnections()
	for _, client := range h.queries {
		client.CloseIdleConnections()
	}
}

// PlainService implements Engine.
func (h *HTTP) PlainService() bool { return h.plainService }

// Run implements Engine.
func (h *HTTP) Run(ctx context.Context, req *Request) (Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	idle := newIdleTimer(h.limits.IdleTimeout, cancel)
	var sent atomic.Bool
	record := newRecord()
	hreq, err := h.newRequest(record.trace(traceConn(ctx, &sent)), req)
	if err != nil {
		idle.stop()
		cancel(nil)
		return nil, fault.New(fault.BadRequest, fault.NotRun, "request to backend server: %w", err)
	}
	client := h.client
	if req.AtMostOnce || time.Now().UnixNano() < h.singleUseUntil.Load() {
		client = h.singleUseClient
	}
	sentAt := time.Now()
	resp, err := client.Do(hreq)
	if err != nil {
		err = requestError(ctx, err, sent.Load())
		idle.stop()
		cancel(nil)
		return nil, err
	}
	h.readNotices(sentAt, resp.Header)
	if resp.Header.Get(dialect.RequestID) == "" {
		h.singleUseUntil.Store(time.Now().Add(singleUseTime).UnixNano())
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		record.endsWithConnection()
	}
	response := &httpResponse{resp: resp, ctx: ctx, cancel: cancel, idle: idle, tokens: req.ResumeOffset, limits: h.limits, record: record}
	if err := response.readHead(h, req); err != nil {
		response.Close()
		return nil, err
	}
	return response, nil
}

// Leaving implements Engine.
func (h *HTTP) Leaving() uint64 { return h.leaving.Load() }

// Limit implements Engine.
func (h *HTTP) Limit() float64 {
	if notice := h.limit.Load(); notice != nil {
		return notice.perSecond
	}
	return 0
}

// readNotices records what a response of any kind says of its backend server. sentAt is the
// time at which its request was sent.
func (h *HTTP) readNotices(sentAt time.Time, header http.Header) {
	h.readLeaving(header)
	h.readLimit(sentAt, header)
}

// limitNotice is what a response says of the limit in requests a second; 0 for none.
type limitNotice struct {
	perSecond float64
	// at is a time at which it held.
	at time.Time
}

// readLimit records the limit that a response names. As responses overtake one another, a
// limit counts from its response on, and its end from the request on. A limit that can't be read
// is ignored.
func (h *HTTP) readLimit(sentAt time.Time, header http.Header) {
	notice := &limitNotice{at: sentAt}
	if text := header.Get(dialect.Limit); text != "" {
		limit, err := strconv.ParseFloat(text, 64)
		if err != nil || !(limit >= 0) {
			return
		}
		notice = &limitNotice{perSecond: max(limit, permit.MinPerSecond), at: time.Now()}
	}
	for {
		current := h.limit.Load()
		if current != nil && notice.at.Before(current.at) || h.limit.CompareAndSwap(current, notice) {
			return
		}
	}
}

// readLeaving records whether a response of any kind says that the backend server leaves.
// A response without an incarnation is taken for one of the current incarnation.
func (h *HTTP) readLeaving(header http.Header) {
	if header.Get(dialect.Leaving) != "1" {
		return
	}
	incarnation := parseUint(header.Get(dialect.Incarnation), 64)
	if incarnation == 0 {
		incarnation = h.incarnation.Load()
	}
	h.leaving.Store(incarnation)
}

// traceConn returns a context that sets sent when a connection for the request is
// available. Before that, nothing can have reached the backend server.
func traceConn(ctx context.Context, sent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
}

// requestError returns the error for a request that got no complete response. sent
// is set if the request may have reached the backend server.
func requestError(ctx context.Context, err error, sent bool) *fault.Error {
	outcome := fault.NotRun
	if sent {
		outcome = fault.Unknown
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errIdle), errors.Is(cause, ErrStalled):
		return fault.New(fault.BackendTimeout, outcome, "backend server: %w", cause)
	case errors.Is(cause, context.DeadlineExceeded):
		return fault.New(fault.DeadlineExceeded, outcome, "backend server: %w", cause)
	case cause != nil:
		return fault.New(fault.Cancelled, outcome, "backend server: %w", cause)
	case !sent:
		return fault.New(fault.BackendRefused, outcome, "backend server: %w", err)
	default:
		return fault.New(fault.StreamBroken, outcome, "backend server: %w", err)
	}
}

func (h *HTTP) newRequest(ctx context.Context, req *Request) (*http.Request, error) {
	if !strings.HasPrefix(req.Path, "/") {
		return nil, fmt.Errorf("path %q does not begin with a slash", req.Path)
	}
	hreq, err := http.NewRequestWithContext(ctx, req.Method, h.base+req.Path, newRequestBody(req.Body))
	if err != nil {
		return nil, err
	}
	hreq.ContentLength = int64(len(req.Body))
	for name, values := range req.Headers {
		if isEndToEnd(name, req.Headers, h.plainService) {
			hreq.Header[name] = values
		}
	}
	if _, ok := hreq.Header["User-Agent"]; !ok {
		hreq.Header["User-Agent"] = nil
	}
	set := hreq.Header.Set
	set(dialect.RequestID, req.ID)
	set(dialect.Attempt, strconv.FormatUint(uint64(req.Attempt), 10))
	if h.plainService {
		return hreq, nil
	}
	set(dialect.CacheSalt, req.CacheSalt)
	set(dialect.Priority, strconv.Itoa(int(req.Priority)))
	set(dialect.WeightsVersion, req.WeightsVersion)
	if req.Adapter != "" {
		set(dialect.Adapter, req.Adapter)
	}
	if req.Incarnation != 0 {
		set(dialect.Incarnation, strconv.FormatUint(req.Incarnation, 10))
	}
	if req.ResumeOffset > 0 {
		set(dialect.LastEventID, strconv.FormatUint(req.ResumeOffset, 10))
	}
	return hreq, nil
}

// hopByHopHeaders are the headers that apply to one connection (RFC 9110, section
// 7.6.1) and those that net/http sets itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// secretHeaders carry the caller's credentials for the router and are not forwarded.
var secretHeaders = map[string]bool{"Authorization": true}

// dialectHeaders are the headers that only agents and engines exchange. They are not
// forwarded between a caller and an engine.
var dialectHeaders = map[string]bool{
	dialect.RequestID: true, dialect.Attempt: true, dialect.Priority: true, dialect.CacheSalt: true,
	dialect.WeightsVersion: true, dialect.Adapter: true, dialect.Incarnation: true, dialect.PromptTokens: true,
	dialect.CachedTokens: true, dialect.OutputTokens: true, dialect.LastEventID: true, dialect.Refusal: true,
}

// isEndToEnd reports whether a header is forwarded. Hop-by-hop headers, headers
// that a Connection header names, secretHeaders and dialectHeaders are not. For a
// plain service, which does not use the dialect, dialectHeaders are forwarded too.
func isEndToEnd(name string, all http.Header, plain bool) bool {
	if hopByHopHeaders[name] || secretHeaders[name] || dialectHeaders[name] && !plain {
		return false
	}
	for _, v := range all["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return false
			}
		}
	}
	return true
}
