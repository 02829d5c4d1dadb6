package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/gateway"
	"parsleypulley/internal/standin"
	"parsleypulley/internal/wire"
)

const streamTokens = 40

// streamText requests a stream of streamTokens tokens and returns its text. It fails the
// test, with name in the message, unless the stream is complete.
func streamText(t *testing.T, url, name string) string {
	t.Helper()
	client := openaiClient(url)
	params := chatParams()
	params.MaxTokens.Value = streamTokens
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatalf("stream of %s: %v", name, err)
	}
	return text.String()
}

func TestFailedStreamContinuesWithoutGapOrDuplicate(t *testing.T) {
	s := newStack(t)
	options := standin.Options{DecodePerToken: time.Millisecond}
	for i := range 3 {
		s.addBackend(fmt.Sprint("runner-", i), "", options)
	}
	url := s.addRouter()
	tests := map[string]standin.Fault{
		"crash":                       {Kind: standin.FaultCrash, After: 7},
		"stream cut":                  {Kind: standin.FaultCut, After: 7, Count: 1},
		"response of another request": {Kind: standin.FaultWrongAnswer, Count: 1},
		"refusal before the start":    {Kind: standin.FaultRefuse, Count: 1},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// A request with the same prompt is routed to the same backend server.
			resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", chatBody))
			is.NoErr(err)
			resp.Body.Close()
			backend := s.backends[resp.Header.Get(gateway.HeaderBackend)]
			is.True(backend.standin.Inject(f))
			got := streamText(t, url, name)
			backend.standin.Inject(standin.Fault{Kind: standin.FaultNone})
			is.Equal(got, wantOutput(streamTokens))
		})
	}
}

func TestCrashingRequestIsQuarantinedOnAllRouters(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	for i := range 4 {
		b := s.addBackend(fmt.Sprint("runner-", i), "", standin.Options{})
		b.standin.Inject(standin.Fault{Kind: standin.FaultCrashOnText, Text: "poison"})
	}
	routers := []string{s.addRouter(), s.addRouter()}
	poisoned := strings.Replace(chatBody, "Fit to feed?", "poison", 1)
	for i := range 10 {
		resp, err := http.DefaultClient.Do(newRequest(t, "POST", routers[i%2]+"/v1/chat/completions", poisoned))
		is.NoErr(err)
		code, ran := errorOf(t, resp)
		is.Equal(resp.StatusCode, 422)
		is.Equal(code, "request_quarantined")
		is.True(ran == "not_run" || i == 0) // requests after the first reach no engine
	}
	up := 0
	for _, b := range s.backends {
		if b.standin.Incarnation() != 0 {
			up++
		}
	}
	is.Equal(up, 2) // only two of the four engines crashed
	for _, url := range routers {
		lookalike := strings.Replace(chatBody, "Fit to feed?", "Poison?", 1)
		resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", lookalike))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, 200)
	}
}

// book sends a booking with an idempotency key to the router at url.
func book(t *testing.T, url, key, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req := newRequest(t, "POST", url+"/services/farmdesk/bookings", body, append(header, gateway.HeaderIdempotencyKey, key)...)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

func TestBookingIsRecordedAndReplayed(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	s.addBackend("farmdesk-0", "farmdesk", standin.Options{})
	s.addBackend("farmdesk-1", "farmdesk", standin.Options{})
	a, b := s.addRouter(), s.addRouter()
	first, text := book(t, a, "k1", `{"sample":1}`)
	is.Equal(first.StatusCode, 200)
	again, replay := book(t, b, "k1", `{"sample":1}`)
	is.Equal(again.Header.Get(gateway.HeaderReplayed), "true")
	is.Equal(replay, text)
	is.Equal(s.runs("k1"), 1)
	reused, _ := book(t, a, "k1", `{"sample":2}`)
	is.Equal(reused.StatusCode, 422)
	// The same key of another client account is a different key.
	other, _ := book(t, b, "k1", `{"sample":3}`, "Authorization", "Bearer "+otherKey)
	is.Equal(other.StatusCode, 200)
	is.Equal(s.runs("k1"), 2)
}

func TestConcurrentResendsThroughTwoRoutersRunOnce(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	s.addBackend("farmdesk-0", "farmdesk", standin.Options{Latency: 50 * time.Millisecond})
	s.addBackend("farmdesk-1", "farmdesk", standin.Options{Latency: 50 * time.Millisecond})
	urls := []string{s.addRouter(), s.addRouter()}
	const sends = 6
	var wg sync.WaitGroup
	texts := make([]string, sends)
	for i := range sends {
		wg.Go(func() {
			resp, text := book(t, urls[i%2], "k2", `{"sample":1}`)
			if resp.StatusCode == http.StatusOK {
				texts[i] = text
			}
		})
	}
	began := time.Now()
	wg.Wait()
	is.True(time.Since(began) < 10*time.Second) // resends get the response long before their deadline of 30 s
	is.Equal(s.runs("k2"), 1)
	for _, text := range texts {
		is.Equal(text, texts[0])
		is.True(text != "")
	}
}

// TestAgentRestartDuringCallLeavesOutcomeUnknown guards against running a call twice.
// An agent that restarts during a call loses the call's outcome. The caller must get the
// outcome "unknown" before its deadline, and a resend must not run the call again.
func TestAgentRestartDuringCallLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	b := s.addBackend("farmdesk-0", "farmdesk", standin.Options{Latency: 300 * time.Millisecond})
	url := s.addRouter()
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		waitFor(t, func() bool { return b.standin.Counts().Keys["k3"] == 1 })
		b.cancel()
		b.agent.Close()
		s.startAgent("farmdesk-0", "farmdesk")
	}()
	began := time.Now()
	resp, text := book(t, url, "k3", `{"sample":1}`)
	<-restarted
	is.Equal(resp.StatusCode, 502)
	is.True(strings.Contains(text, `"ran":"unknown"`))
	is.True(time.Since(began) < 20*time.Second) // well before the deadline of 30 s
	resp, text = book(t, url, "k3", `{"sample":1}`)
	is.Equal(resp.StatusCode, 502)
	is.True(strings.Contains(text, "outcome_unknown"))
	is.Equal(s.runs("k3"), 1)
}

func TestDrainingAgentRefusesWorkFromStaleRouter(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	b := s.addBackend("runner-0", "", standin.Options{})
	url := s.addRouter()
	b.agent.SetDraining(true) // the router's view does not show the drain yet
	resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", chatBody))
	is.NoErr(err)
	code, ran := errorOf(t, resp)
	is.Equal(code, "no_backend")
	is.Equal(ran, "not_run")
	is.Equal(len(b.standin.Counts().Requests), 0)
	s.apply(&wire.Command{Body: &wire.Command_Backend{Backend: &wire.BackendChange{
		Kind: wire.BackendChange_KIND_DRAIN, Name: "runner-0"}}})
	resp, err = http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", chatBody))
	is.NoErr(err)
	_, ran = errorOf(t, resp)
	is.Equal(ran, "not_run")
}

// An engine behind an agent that turned a request away for seconds got all the next ones.
func TestEngineThatWantsNoCallsIsLeftAlone(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	b := s.addBackend("engine-0", "", standin.Options{})
	url := s.addRouter()
	is.True(b.standin.Inject(standin.Fault{Kind: standin.FaultRefuse, Count: 1000, DurationMS: 30_000}))
	for range 10 {
		resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", chatBody))
		is.NoErr(err)
		_, ran := errorOf(t, resp)
		is.Equal(ran, "not_run")
	}
	is.True(b.standin.Counts().Refused <= 2) // the first one, and a probe
}

// An engine behind an agent that said in an answer that it leaves got further requests.
func TestLeavingEngineBehindAgentGetsNoWork(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		t.Run(fmt.Sprint("streamed ", streamed), func(t *testing.T) {
			is := is.New(t)
			s := newStack(t)
			leaving := s.addBackend("engine-0", "", standin.Options{})
			urls := []string{s.addRouter(), s.addRouter()}
			body := chatBody
			if streamed {
				body = strings.Replace(chatBody, "{", `{"stream":true,`, 1)
			}
			send := func(i int) (status int) {
				resp, err := http.DefaultClient.Do(newRequest(t, "POST", urls[i%len(urls)]+"/v1/chat/completions", body))
				is.NoErr(err)
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				return resp.StatusCode
			}
			is.True(leaving.standin.Inject(standin.Fault{Kind: standin.FaultLeave}))
			is.Equal(send(0), http.StatusOK) // the answer that says so
			for i := range 10 {
				began := time.Now()
				is.Equal(send(i), http.StatusServiceUnavailable) // by either router
				is.True(time.Since(began) < time.Second)
			}
			is.Equal(len(leaving.standin.Counts().Requests), 1)
			s.addBackend("engine-1", "", standin.Options{})
			waitFor(t, func() bool { return send(0) == http.StatusOK && send(1) == http.StatusOK })
			is.Equal(len(leaving.standin.Counts().Requests), 1)
		})
	}
}

// TestConcurrentRequestsOfCrashingRequestAreNotQuarantined guards against the quarantine
// of harmless requests. Requests that run on an engine while another request crashes it
// are counted with one crash. Their retries run apart from other suspects and complete.
func TestConcurrentRequestsOfCrashingRequestAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	options := standin.Options{DecodePerToken: 2 * time.Millisecond}
	for i := range 3 {
		b := s.addBackend(fmt.Sprint("runner-", i), "", options)
		b.standin.Inject(standin.Fault{Kind: standin.FaultCrashOnText, Text: "poison"})
	}
	url := s.addRouter()
	const concurrent = 12
	var wg sync.WaitGroup
	statuses := make([]int, concurrent)
	for i := range concurrent {
		wg.Go(func() {
			body := strings.Replace(chatBody, "Fit to feed?", fmt.Sprint("harmless ", i), 1)
			body = strings.Replace(body, `"max_tokens":8`, `"max_tokens":100`, 1)
			resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", body))
			if err == nil {
				statuses[i] = resp.StatusCode
				resp.Body.Close()
			}
		})
	}
	waitFor(t, func() bool {
		n := 0
		for _, b := range s.backends {
			n += len(b.standin.Counts().Requests)
		}
		return n >= concurrent/2
	})
	resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", strings.Replace(chatBody, "Fit to feed?", "poison", 1)))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, 422)
	wg.Wait()
	for _, status := range statuses {
		is.Equal(status, 200)
	}
	is.Equal(s.machine.Log().Snapshot().QuarantinedCount(), 1)
}

// Guards against an engine behind an agent that gets from all routers together more than the limit that
// it names.
func TestEngineBehindAgentGetsNoMoreThanItsLimit(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	limited := s.addBackend("engine-0", "", standin.Options{})
	urls := []string{s.addRouter(), s.addRouter()}
	send := func(i int) (status int) {
		resp, err := http.DefaultClient.Do(newRequest(t, "POST", urls[i%len(urls)]+"/v1/chat/completions", chatBody))
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode
	}
	const perSecond, length = 8, 3 * time.Second
	is.True(limited.standin.Inject(standin.Fault{Kind: standin.FaultLimit, Factor: perSecond}))
	is.Equal(send(0), http.StatusOK) // the answer that says so
	before, began := len(limited.standin.Counts().Requests), time.Now()
	for i := 0; time.Since(began) < length; i++ {
		sent := time.Now()
		if status := send(i); status != http.StatusOK {
			is.Equal(status, http.StatusTooManyRequests)
			is.True(time.Since(sent) < time.Second) // said at once
			time.Sleep(5 * time.Millisecond)
		}
	}
	got := len(limited.standin.Counts().Requests) - before
	t.Logf("%d requests in %v, the limit is %d a second", got, length, perSecond)
	is.True(float64(got) <= 1.5*perSecond*length.Seconds()+5)
	is.True(float64(got) >= 0.3*perSecond*length.Seconds())
	is.True(limited.standin.Inject(standin.Fault{Kind: standin.FaultLimit}))
	waitFor(t, func() bool { return send(0) == http.StatusOK && send(1) == http.StatusOK && send(0) == http.StatusOK })
}

// Guards against a stream that goes on at an engine with other software than the one that began it.
func TestStreamBehindAgentGoesOnAtItsSoftware(t *testing.T) {
	for _, test := range []struct {
		versions []string
		whole    bool
	}{
		{[]string{"s1", "s2", "s1", "s2"}, true},
		{[]string{"s1", "s2"}, false},
	} {
		is := is.New(t)
		s := newStack(t)
		var engines []*testBackend
		for i, version := range test.versions {
			engines = append(engines, s.addBackend(fmt.Sprint("engine-", i), "", standin.Options{SoftwareVersion: version, OutputTokens: 12}))
		}
		url := s.addRouter()
		for _, b := range engines {
			is.True(b.standin.Inject(standin.Fault{Kind: standin.FaultCut, After: 4, Count: 1}))
		}
		resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", strings.Replace(chatBody, "{", `{"stream":true,`, 1)))
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		is.Equal(err == nil, strings.Contains(string(data), "[DONE]")) // the last chunk comes with the last event only
		used := map[string]int{}
		for i, b := range engines {
			used[test.versions[i]] += len(b.standin.Counts().Requests)
		}
		t.Logf("requests by software: %v", used)
		is.True(used["s1"] == 0 || used["s2"] == 0)
		is.Equal(strings.Contains(string(data), "[DONE]"), test.whole && !strings.Contains(string(data), `"error"`))
	}
}
