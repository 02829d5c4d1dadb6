package router

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/engine"
	"parsleypulley/internal/engine/dialect"
)

// addScriptedEngine starts an engine whose completions a test scripts, with its agent, and adds it to the
// view.
func (s *stack) addScriptedEngine(name string, complete http.HandlerFunc) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+dialect.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"incarnation":1,"models":[{"model":"assessor","weights_version":"1"}],"max_running":8}`)
	})
	mux.HandleFunc("GET "+dialect.PathLoad, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"incarnation":1}`) })
	mux.HandleFunc("GET "+dialect.PathEvents, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"incarnation":1,"oldest":1,"next":1}`) })
	mux.HandleFunc("POST "+dialect.PathCancel, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(dialect.RequestID, r.Header.Get(dialect.RequestID))
		w.Header().Set(dialect.Attempt, r.Header.Get(dialect.Attempt))
		w.Header().Set(dialect.Incarnation, "1")
		w.Header().Set(dialect.WeightsVersion, "1")
		complete(w, r)
	})
	server := httptest.NewServer(mux)
	s.t.Cleanup(server.Close)
	b := &testBackend{}
	var err error
	if b.engine, err = engine.NewHTTP(engine.HTTPOptions{URL: server.URL, Limits: engine.DefaultLimits()}); err != nil {
		s.t.Fatal(err)
	}
	s.backends[name] = b
	s.startAgent(name, "")
}

// Guards against a stream behind agents that begins and breaks off, and into which the answer of the next
// engine comes although it does not go on with the stream, or which ends as complete with that answer; and
// against a first answer that is no stream and is changed.
func TestAnswersOfEnginesAfterAStreamHasBegun(t *testing.T) {
	const pieces = 5
	type script = func(w http.ResponseWriter, r *http.Request)
	// events writes the events from one number to another, with IDs if that is set.
	events := func(w http.ResponseWriter, r *http.Request, from, to int, ids bool) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			if ids {
				fmt.Fprintf(w, "id: %s.%s/%d\n", r.Header.Get(dialect.RequestID), r.Header.Get(dialect.Attempt), i)
			}
			fmt.Fprintf(w, "data: %d\n\n", i)
		}
		_ = http.NewResponseController(w).Flush()
	}
	end := func(w http.ResponseWriter) { fmt.Fprint(w, "data: [DONE]\n\n") }
	respond := func(status int, contentType, body string) script {
		return func(w http.ResponseWriter, r *http.Request) {
			if contentType != "" {
				w.Header().Set("Content-Type", contentType)
			}
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}
	}
	whole := ""
	for i := 1; i <= pieces; i++ {
		whole += fmt.Sprintf("data: %d\n\n", i)
	}
	begin := func(w http.ResponseWriter, r *http.Request) {
		events(w, r, 1, 3, true)
		panic(http.ErrAbortHandler)
	}
	rest := func(w http.ResponseWriter, r *http.Request) { events(w, r, 4, pieces, true); end(w) }
	const document = `{"error": "none"}`
	for name, test := range map[string]struct {
		first, second script
		// status is that of the answer. body is that of a complete answer; if it is empty, the events
		// so far come, and the answer is not complete, unless a third engine goes on with it.
		status int
		body   string
	}{
		"goes on":                   {begin, rest, 200, whole + "data: [DONE]\n\n"},
		"500":                       {begin, respond(500, "application/json", document), 200, ""},
		"500 without a body":        {begin, respond(500, "", ""), 200, ""},
		"500 like events":           {begin, respond(500, "text/event-stream", "data: 4\n\ndata: [DONE]\n\n"), 200, ""},
		"404":                       {begin, respond(404, "text/plain", "none\n\n"), 200, ""},
		"302":                       {begin, respond(302, "", ""), 200, ""},
		"204":                       {begin, respond(204, "", ""), 200, ""},
		"206":                       {begin, respond(206, "text/event-stream", "data: 4\n\n"), 200, ""},
		"200, JSON":                 {begin, respond(200, "application/json", document), 200, ""},
		"200, no events":            {begin, respond(200, "text/event-stream", ""), 200, ""},
		"200, length 0":             {begin, respond(200, "", ""), 200, ""},
		"200, page":                 {begin, respond(200, "text/html", "<p>\n\n"), 200, ""},
		"first event again":         {begin, func(w http.ResponseWriter, r *http.Request) { events(w, r, 1, 5, true); end(w) }, 200, ""},
		"first event again, no IDs": {begin, func(w http.ResponseWriter, r *http.Request) { events(w, r, 1, 5, false); end(w) }, 200, ""},
		"last event again":          {begin, func(w http.ResponseWriter, r *http.Request) { events(w, r, 3, 5, true); end(w) }, 200, ""},
		"event skipped":             {begin, func(w http.ResponseWriter, r *http.Request) { events(w, r, 5, 5, true); end(w) }, 200, ""},
		"error event": {begin, func(w http.ResponseWriter, r *http.Request) {
			events(w, r, 4, 3, true)
			fmt.Fprint(w, "data: "+document+"\n\n")
			end(w)
		}, 200, ""},
		"refused": {begin, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(dialect.Refusal, dialect.RefusalOverloaded)
			respond(503, "text/event-stream", "data: 4\n\n")(w, r)
		}, 200, ""},
		"429":             {begin, respond(429, "text/plain", "no\n\n"), 200, ""},
		"503, no refusal": {begin, respond(503, "text/event-stream", "data: 4\n\ndata: [DONE]\n\n"), 200, ""},
		"400":             {begin, respond(400, "application/json", document), 200, ""},
		"goes on, then cut": {begin, func(w http.ResponseWriter, r *http.Request) {
			events(w, r, 4, 4, true)
			panic(http.ErrAbortHandler)
		}, 200, ""},
		"goes on, cut in an event": {begin, func(w http.ResponseWriter, r *http.Request) {
			events(w, r, 4, 4, true)
			fmt.Fprintf(w, "id: %s.%s/5\ndata: 5", r.Header.Get(dialect.RequestID), r.Header.Get(dialect.Attempt))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, 200, ""},
		"goes on, no end marker": {begin, func(w http.ResponseWriter, r *http.Request) { events(w, r, 4, 4, true) }, 200, ""},
		"length, cut": {begin, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "1000")
			events(w, r, 4, 4, true)
			panic(http.ErrAbortHandler)
		}, 200, ""},
		"interim answer, then 500": {begin, func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
			respond(500, "text/event-stream", "data: 4\n\ndata: [DONE]\n\n")(w, r)
		}, 200, ""},
		"event of another request": {begin, func(w http.ResponseWriter, r *http.Request) {
			events(w, r, 4, 3, true)
			fmt.Fprint(w, "id: other.1/4\ndata: 4\n\n")
			end(w)
		}, 200, ""},
		"mark, goes on": {begin, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "\ufeff")
			rest(w, r)
		}, 200, whole + "data: [DONE]\n\n"},
		"nothing":                  {begin, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 200, ""},
		"first answer is JSON":     {respond(200, "application/json", document), nil, 200, document},
		"first answer is an error": {respond(500, "application/json", document), nil, 500, document},
		"first answer is empty":    {respond(404, "", ""), nil, 404, ""},
		"first answer like events": {respond(500, "text/event-stream", "data: 1\n\n"), nil, 500, "data: 1\n\n"},
		"first answer breaks off": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "1000")
			respond(500, "application/json", document)(w, r)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, func(w http.ResponseWriter, r *http.Request) { events(w, r, 1, 5, true); end(w) }, 200, whole + "data: [DONE]\n\n"},
	} {
		for _, engines := range []int{2, 3} { // the third one goes on with the stream
			t.Run(fmt.Sprint(name, ", engines ", engines), func(t *testing.T) {
				is := is.New(t)
				s := newStack(t)
				var made atomic.Int32
				for i := range engines {
					s.addScriptedEngine(fmt.Sprint("engine-", i), func(w http.ResponseWriter, r *http.Request) {
						switch made.Add(1) {
						case 1:
							test.first(w, r)
						case 2:
							if test.second == nil {
								t.Error("asked again")
								return
							}
							test.second(w, r)
						default:
							after := 3
							fmt.Sscan(r.Header.Get(dialect.LastEventID), &after)
							events(w, r, after+1, pieces, true)
							end(w)
						}
					})
				}
				url := s.addRouter()
				resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", strings.Replace(chatBody, "{", `{"stream":true,`, 1)))
				is.NoErr(err)
				data, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				body := string(data)
				t.Logf("%d, %q, %v, attempts %d", resp.StatusCode, body, err, made.Load())
				is.Equal(resp.StatusCode, test.status)
				switch {
				case test.body != "" || test.second == nil:
					is.NoErr(err)
					is.Equal(body, test.body)
				case engines == 3:
					is.NoErr(err)
					is.Equal(body, whole+"data: [DONE]\n\n") // sound streams lose nothing
				default:
					is.True(err != nil) // no last chunk
					events, own, _ := strings.Cut(body, `data: {"error":{"message":`)
					is.True(strings.HasPrefix(whole, events)) // each piece once, in order, and no other bytes
					is.True(!strings.Contains(own, document) && !strings.Contains(own, "[DONE]") && strings.Count(own, "\n\n") <= 1)
				}
			})
		}
	}
}
