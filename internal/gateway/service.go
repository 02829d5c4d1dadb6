package gateway

import (
	"net/http"
	"strings"

	"parsleypulley/internal/fault"
)

// hopHeaders are the headers that end at the router, with those that carry the
// caller's secret.
var hopHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", HeaderTimeout, "Traceparent", "Tracestate",
}

// internalPrefix marks headers that only processes of the system may set.
const internalPrefix = "X-Parsleypulley-"

// forwardHeaders copies h without headers that end at the router.
func forwardHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, internalPrefix) {
			delete(out, name)
		}
	}
	return out
}

func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	g.handle(w, r, func(w http.ResponseWriter, r *http.Request, req *Request) error {
		if err := g.readServiceCall(w, r, req); err != nil {
			g.fail(w, g.responder(w, req.CallerRequestID), err)
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
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return fault.New(fault.BadRequest, fault.NotRun, "%s is over %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	class, ok := g.directory.ClassifyService(req.Service, r.Method, path, key != "")
	if !ok {
		return fault.New(fault.UnknownService, fault.NotRun, "service %q does not exist", req.Service)
	}
	if class.Idempotency == AtMostOnce && key == "" {
		return fault.New(fault.IdempotencyKeyRequired, fault.NotRun, "this call runs at most once and needs an %s header", HeaderIdempotencyKey)
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	req.Idempotency = class.Idempotency
	req.IdempotencyKey = key
	req.Path = servicePath(r)
	req.Header = forwardHeaders(r.Header)
	req.Body = body
	return nil
}

// servicePath returns the escaped path and query at the plain service.
func servicePath(r *http.Request) string {
	const before = 3 // the empty text before the first slash, "services" and the name
	path := "/"
	if parts := strings.SplitN(r.URL.EscapedPath(), "/", before+1); len(parts) > before {
		path += parts[before]
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
