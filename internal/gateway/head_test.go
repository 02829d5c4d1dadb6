package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a response to HEAD that states a length of 0 although the response to GET has another one.
func TestResponseToHEADStatesNoLength(t *testing.T) {
	for method, length := range map[string]string{http.MethodHead: "", http.MethodPost: "0"} {
		is := is.New(t)
		server := httptest.NewServer(New(&fakeDirectory{}, &fakeServer{}))
		defer server.Close()
		req, err := http.NewRequest(method, server.URL+"/services/farmdesk/y", nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer key")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(resp.Header.Get("Content-Length"), length)
	}
}
