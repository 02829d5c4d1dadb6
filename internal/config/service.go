package config

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"parsleypulley/internal/wire"
)

// Service is a plain service: one whose backend servers run no model engine. It
// is immutable.
type Service struct {
	Name string

	// declared is the service as it was declared.
	declared *wire.Service
	// routes holds the routes sorted by the length of the path prefix, longest
	// first.
	routes []*wire.Route
}

func compileService(s *wire.Service) *Service {
	routes := slices.Clone(s.Routes)
	slices.SortStableFunc(routes, func(a, b *wire.Route) int {
		return len(b.PathPrefix) - len(a.PathPrefix)
	})
	return &Service{Name: s.Name, declared: s, routes: routes}
}

// AtMostOnce reports whether a call may run at most once, which means that it
// must not be repeated. The matching route with the longest path prefix decides.
// If no route matches, the call may be repeated only if HTTP defines its method
// as idempotent.
//
// Some backend servers remove dot segments and duplicate slashes from the path
// and others do not. AtMostOnce therefore checks the decoded path both with and
// without them, and returns true if either form requires it. It also returns
// true if the path can't be decoded.
func (s *Service) AtMostOnce(method, escapedPath string) bool {
	decoded, err := url.PathUnescape(escapedPath)
	if err != nil {
		return true
	}
	cleaned := path.Clean("/" + decoded)
	if s.atMostOnce(method, cleaned) {
		return true
	}
	return cleaned != decoded && s.atMostOnce(method, decoded)
}

// atMostOnce looks up one decoded form of the path.
func (s *Service) atMostOnce(method, decoded string) bool {
	for _, r := range s.routes {
		if matchMethod(r.Methods, method) && matchPrefix(r.PathPrefix, decoded) {
			return r.AtMostOnce
		}
	}
	return !idempotentMethod(method)
}

func matchMethod(methods []string, method string) bool {
	return len(methods) == 0 || slices.Contains(methods, method)
}

// matchPrefix reports whether prefix is a prefix of the path in whole segments.
func matchPrefix(prefix, decoded string) bool {
	rest, ok := strings.CutPrefix(decoded, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
