package router

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/gateway"
	"parsleypulley/internal/standin"
	"parsleypulley/internal/wire"
)

// Guards against a header that is not UTF-8, which HTTP allows, and for which a call failed with 500 since
// no message could hold it.
func TestHeadersAreForwardedAsBytes(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	s.addBackend("farmdesk-0", "farmdesk", standin.Options{})
	url := s.addRouter()
	call := func(header, value, query string) (status int, echo standin.Echo) {
		req := newRequest(t, "PUT", url+"/services/farmdesk/results/a"+query, "payload", gateway.HeaderIdempotencyKey, "k")
		req.Header.Set(header, value)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		_ = json.NewDecoder(resp.Body).Decode(&echo)
		return resp.StatusCode, echo
	}
	status, echo := call("X-Note", "caf\xe9", "")
	is.Equal(status, http.StatusOK)
	is.True(echo.Headers.Get("X-Note") != "") // the stand-in's JSON replaces the byte
	for _, odd := range [][2]string{{"caf\xe9", ""}, {"k2", "?x=\xff"}} {
		status, _ = call(gateway.HeaderIdempotencyKey, odd[0], odd[1])
		is.Equal(status, http.StatusBadRequest) // the record of the call could not be kept
	}
	header := wire.NewHeader("X-Note", "caf\xe9", "b")
	is.Equal(header.Texts(), []string{"caf\xe9", "b"})
	for _, m := range []proto.Message{header, &wire.StoredAnswer{Headers: header.Stored()}} {
		_, err := proto.Marshal(m)
		is.NoErr(err)
	}
}
