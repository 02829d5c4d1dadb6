package router

import (
	"net/http"

	"parsleypulley/internal/dispatch"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/wire"
)

// checkResponseStatus returns an error unless status is valid for a final response.
func checkResponseStatus(status uint32) error {
	if !gateway.ValidStatus(int(status)) {
		return fault.New(fault.StreamBroken, fault.Unknown, "the backend server answered with status %d", status)
	}
	return nil
}

func dispatchHead(h *wire.Head) dispatch.Head {
	out := dispatch.Head{Status: h.Status}
	for _, header := range h.Headers {
		out.Headers = append(out.Headers, dispatch.Header{Name: header.Name, Values: header.Texts()})
	}
	return out
}

func httpHeader(headers []dispatch.Header) http.Header {
	out := http.Header{}
	for _, h := range headers {
		out[http.CanonicalHeaderKey(h.Name)] = h.Values
	}
	return out
}

func wireHeaders(h http.Header) []*wire.Header {
	var out []*wire.Header
	for name, values := range h {
		out = append(out, wire.NewHeader(name, values...))
	}
	return out
}
