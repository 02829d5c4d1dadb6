// Package gateway serves the HTTP API for callers. It authenticates calls, checks
// them against limits, and writes responses and errors in the OpenAI format.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"parsleypulley/internal/account"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/shutdown"
)

// Limits of calls.
const (
	MaxBodyBytes            = 8 << 20
	MaxHeaderBytes          = 64 << 10
	maxTimeout              = time.Hour
	maxCallerRequestIDBytes = 128
	maxIdempotencyKeyBytes  = 255
)

// Limits are the timeouts for connections of callers.
type Limits struct {
	// ReadHeader limits the time for reading the header of a request.
	ReadHeader time.Duration
	// ReadBody limits the time for reading the body of a request.
	ReadBody time.Duration
	// Idle limits the time between two requests on one connection.
	Idle time.Duration
	// Write limits the time for writing one chunk of a response.
	Write time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{ReadHeader: 5 * time.Second, ReadBody: 30 * time.Second, Idle: 2 * time.Minute, Write: 30 * time.Second}
}

// Headers of calls and responses.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout is the time within which the caller needs the response, in
	// milliseconds.
	HeaderTimeout        = "X-Request-Timeout-Ms"
	HeaderRevision       = "X-Config-Revision"
	HeaderBackend        = "X-Backend-Server"
	HeaderReplayed       = "Idempotent-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

var tracer = otel.Tracer("parsleypulley/gateway")

// Gateway is the http.Handler for calls.
type Gateway struct {
	// Limits must not be changed after the gateway has started to serve.
	Limits      Limits
	bodyLimiter *bodyLimiter
	directory   Directory
	server      Server
	shutdown    *shutdown.Guard
	now         func() time.Time
	mux         *http.ServeMux
}

// New returns a gateway that looks up callers in directory and runs calls on
// server.
func New(directory Directory, server Server) *Gateway {
	g := &Gateway{Limits: DefaultLimits(), bodyLimiter: newBodyLimiter(maxBodyMemory, maxAccountBodyMemory), directory: directory, server: server, shutdown: shutdown.NewGuard(), now: time.Now, mux: http.NewServeMux()}
	g.mux.HandleFunc("/v1/chat/completions", g.post(g.serveChat))
	g.mux.HandleFunc("/v1/completions", g.post(g.serveCompletion))
	g.mux.HandleFunc("/v1/models", g.get(g.serveModels))
	g.mux.HandleFunc("/v1/models/{model...}", g.get(g.serveModel))
	g.mux.HandleFunc("/services/{service}/{path...}", g.serveService)
	g.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.writeError(w, g.responder(w, ""), fault.New(fault.NotFound, fault.NotRun, "no such path"))
	})
	return g
}

// HTTPServer returns an http.Server for g with the timeouts of g.Limits.
func (g *Gateway) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.Limits.ReadHeader,
		IdleTimeout:       g.Limits.Idle,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

type handler func(w http.ResponseWriter, r *http.Request, req *Request) error

func (g *Gateway) post(h handler) http.HandlerFunc { return g.forMethod(http.MethodPost, h) }

func (g *Gateway) get(h handler) http.HandlerFunc { return g.forMethod(http.MethodGet, h) }

func (g *Gateway) forMethod(method string, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			err := fault.New(fault.MethodNotAllowed, fault.NotRun, "%s takes %s", r.URL.Path, method)
			g.writeError(w, g.responder(w, ""), err)
			return
		}
		g.handle(w, r, h)
	}
}

// handle does the work that is common to all calls: it assigns the request ID,
// starts the span, authenticates the caller and sets the deadline. Then it calls h.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request, h handler) {
	now := g.now()
	req := &Request{ID: newRequestID(), Method: r.Method, Arrived: now}
	req.CallerRequestID = callerRequestID(r, req.ID)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := tracer.Start(ctx, "gateway "+r.Method, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request.id", req.ID)))
	defer span.End()
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(w.Header()))
	w.Header().Set(HeaderRequestID, req.CallerRequestID)
	if err := g.admit(r, req); err != nil {
		g.refuse(w, r, req, err)
		return
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	stopped := make(chan struct{})
	req.Stopped = stopped
	call, refusal := g.shutdown.Accept(req.Deadline, func(cut bool) {
		end(shutdown.ErrEnded)
		close(stopped)
		if cut { // a write may wait for the caller
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
		}
	})
	if refusal != nil {
		g.refuse(w, r, req, refusal)
		return
	}
	defer func() { call.Finish(req.broken || r.Context().Err() != nil) }()
	req.call = call
	body := &countedBody{ReadCloser: r.Body, bodyLimiter: g.bodyLimiter, account: req.Caller.Account}
	defer body.release()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.Body = body
	if err := h(w, r.WithContext(ctx), req); err != nil {
		span.SetAttributes(attribute.String("error.kind", fault.From(err).Kind.String()))
	}
}

// refuse refuses a call before any record of its idempotency key was read.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, req *Request, err error) {
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		err = fault.WithUnverifiedOutcome(err)
	}
	g.writeError(w, g.responder(w, req.CallerRequestID), err)
}

// admit authenticates the call and reads its deadline.
func (g *Gateway) admit(r *http.Request, req *Request) error {
	if !g.directory.Ready() {
		return fault.New(fault.Unavailable, fault.NotRun, "this router has no configuration yet")
	}
	key, ok := account.ParseBearer(r.Header.Get("Authorization"))
	if !ok {
		return fault.New(fault.Unauthenticated, fault.NotRun, "send the API key as Authorization: Bearer KEY")
	}
	caller, err := g.directory.Authenticate(key)
	if err != nil {
		return err
	}
	req.Caller, req.apiKey = caller, key
	timeout, err := g.timeout(r)
	if err != nil {
		return err
	}
	req.Deadline = req.Arrived.Add(timeout)
	return nil
}

func (g *Gateway) timeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return g.directory.DefaultTimeout(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, fault.New(fault.BadRequest, fault.NotRun,
			"%s must be a whole number of milliseconds from 1 to %d", HeaderTimeout, maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// callerRequestID returns the request ID that the caller sent, or id if the
// caller's ID is missing, too long or contains characters that are not printable
// ASCII.
func callerRequestID(r *http.Request, id string) string {
	given := r.Header.Get(HeaderRequestID)
	if given == "" || len(given) > maxCallerRequestIDBytes {
		return id
	}
	for _, c := range []byte(given) {
		if c <= ' ' || c > '~' {
			return id
		}
	}
	return given
}

const requestIDBytes = 16

func newRequestID() string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// readBody reads the body of a request, with a limit on its size and on the time. It ends with the
// context of the request.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(g.Limits.ReadBody))
	unwatch := context.AfterFunc(r.Context(), func() { _ = rc.SetReadDeadline(time.Now()) })
	defer unwatch()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, fault.New(fault.BodyTooLarge, fault.NotRun, "the body is over %d bytes", tooLarge.Limit)
		}
		var refusal *fault.Error
		if errors.As(err, &refusal) {
			return nil, refusal
		}
		if shutdown.Ended(r.Context()) {
			return nil, shutdown.NotRun()
		}
		if errors.Is(r.Context().Err(), context.DeadlineExceeded) {
			return nil, fault.New(fault.DeadlineExceeded, fault.NotRun, "the deadline has passed before the body was read")
		}
		return nil, fault.New(fault.BadRequest, fault.NotRun, "the body could not be read whole")
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// checkKey returns an error if the API key is not valid any more: the body may have come slowly,
// or the process stood still.
func (g *Gateway) checkKey(req *Request) error {
	caller, err := g.directory.Authenticate(req.apiKey)
	if err == nil && caller.Account != req.Caller.Account {
		err = fault.New(fault.Unauthenticated, fault.NotRun, "the API key is not one of this account any more")
	}
	if err != nil && req.IdempotencyKey != "" {
		return fault.WithUnverifiedOutcome(err)
	}
	return err
}

// run passes req to the server and completes the response.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, req *Request) error {
	resp := g.responder(w, req.CallerRequestID)
	resp.stream, resp.call, resp.noBody = req.Stream, req.call, req.Method == http.MethodHead
	err := g.checkKey(req)
	if err == nil {
		err = g.server.Serve(ctx, req, resp)
	}
	g.logCall(req, resp, err)
	if err != nil {
		req.broken = resp.status != 0
		g.writeError(w, resp, err)
		return err
	}
	return resp.finish()
}

func (g *Gateway) logCall(req *Request, resp *responder, err error) {
	call := event.GatewayCall{Request: req.ID, Account: req.Caller.Account, Status: resp.status, Chunks: resp.chunks, Duration: g.now().Sub(req.Arrived)}
	if req.call.Ended() {
		call.CutBy = "stop"
	}
	if err == nil {
		event.GatewayCallAnswered(call)
		return
	}
	event.GatewayCallFailed(call, fault.From(err))
}
