// Package httptarget keeps the paths of HTTP requests as their senders wrote them. Package net/url has a path
// encoded anew if it holds a character that should have been encoded, such as "|", and then takes an encoded slash
// for one that separates segments.
package httptarget

import (
	"net/http"
	"net/url"
	"strings"
)

// Path returns the path of a received request as it was sent.
func Path(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	_, rest, absolute := strings.Cut(path, "://")
	if start := strings.IndexByte(rest, '/'); absolute && start >= 0 {
		return rest[start:]
	}
	return r.URL.EscapedPath() // no path was sent
}

// SetPath sets the path of the URL of a request to the server called host, so that it is sent as it is written here.
func SetPath(u *url.URL, host, path string) error {
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return err
	}
	u.Path, u.RawPath, u.Opaque = decoded, path, ""
	switch {
	case u.EscapedPath() == path:
	case strings.HasPrefix(path, "//"): // package net/url would take the first segment for a host
		u.Opaque = "//" + host + path
	default:
		u.Opaque = path
	}
	return nil
}
