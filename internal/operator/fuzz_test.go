package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
)

// FuzzChangeBody checks that the response to any request body of a change is JSON,
// and that the configuration can be read afterwards.
func FuzzChangeBody(f *testing.F) {
	valid, err := protojson.Marshal(initialChange())
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{string(valid), "{}", "", "null", `{"put_accounts":[null]}`, `{"base_revision":"-1"}`, `{"change_id":"c","put_presets":[{"name":"p","wait_weight":"NaN"}],"preset_in_force":"p"}`, `{"change_id":"c","delete_models":["m","m"]}`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		control := newFakeControl()
		h := newTestHandler(control)
		for _, request := range []*http.Request{
			httptest.NewRequest(http.MethodPost, "/v1/changes", strings.NewReader(body)),
			httptest.NewRequest(http.MethodGet, "/v1/config", nil),
		} {
			request.Header.Set("Authorization", "Bearer "+testKey)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, request)
			if w.Code >= http.StatusInternalServerError || !json.Valid(w.Body.Bytes()) {
				t.Fatalf("%s got status %d: %s", request.URL.Path, w.Code, w.Body)
			}
		}
	})
}
