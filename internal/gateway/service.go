package gateway

import (
	"net/http"
	"strings"
	"unicode/utf8"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/httptarget"
)

// unforwardedHeaders are the headers that are forwarded neither to the backend
// server nor to the caller: those that apply to one connection or to the router, and
// the one that carries the caller's API key.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", HeaderTimeout, "Traceparent", "Tracestate",
}

// internalPrefix is the prefix of headers that only processes of the system may
// set.
const internalPrefix = "X-Parsleypulley-"

// forwardHeaders returns a copy of h without the headers that are not forwarded.
func forwardHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, internalPrefix) {
			delete(out, name)
		}
	}
	return out
}

// serveService serves calls of plain services, with any method.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	g.handle(w, r, func(w http.ResponseWriter, r *http.Request, req *Request) error {
		if err := g.readServiceCall(w, r, req); err != nil {
			g.writeError(w, g.responder(w, req.CallerRequestID), err)
			return err
		}
		return g.run(r.Context(), w, req)
	})
}

func (g *Gateway) readServiceCall(w http.ResponseWriter, r *http.Request, req *Request) error {
	req.Kind = Service
	req.Service = r.PathValue("service")
	path := "/" + r.PathValue("path")
	if hasDotSegment(path) || strings.Contains(path, "//") {
		return fault.New(fault.BadRequest, fault.NotRun, "the path must not hold dot segments or empty ones")
	}
	if sent := httptarget.Path(r); sent != r.URL.EscapedPath() && strings.Contains(strings.ToLower(sent), "%2f") {
		// Package net/url has taken the encoded slash for one that separates segments: the path may be classified
		// as another one, and would be sent as that.
		return fault.New(fault.BadRequest, fault.NotRun, "a path with an encoded slash must encode all characters that URLs do not allow")
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return fault.New(fault.BadRequest, fault.NotRun, "%s is over %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	target := servicePath(r)
	if !utf8.ValidString(key) || !utf8.ValidString(target) {
		// Neither could be sent to an agent or kept with the record of the call.
		return fault.New(fault.BadRequest, fault.NotRun, "the target and %s must be UTF-8", HeaderIdempotencyKey)
	}
	class, ok := g.directory.ClassifyService(req.Service, r.Method, path, key != "")
	if !ok {
		return fault.New(fault.UnknownService, fault.NotRun, "service %q does not exist", req.Service)
	}
	if class.Idempotency == AtMostOnce && key == "" {
		return fault.New(fault.IdempotencyKeyRequired, fault.NotRun, "this call runs at most once and needs an %s header", HeaderIdempotencyKey)
	}
	body, err := g.readBody(w, r)
	if err != nil && key != "" {
		return fault.WithUnverifiedOutcome(err)
	}
	if err != nil {
		return err
	}
	req.Idempotency = class.Idempotency
	req.IdempotencyKey = key
	req.Path = target
	req.Header = forwardHeaders(r.Header)
	req.Body = body
	return nil
}

// servicePath returns the escaped path and query for the plain service.
func servicePath(r *http.Request) string {
	const prefixParts = 3 // the empty string before the first slash, "services", and the service name
	path := "/"
	if parts := strings.SplitN(r.URL.EscapedPath(), "/", prefixParts+1); len(parts) > prefixParts {
		path += parts[prefixParts]
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
