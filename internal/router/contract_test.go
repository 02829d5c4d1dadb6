package router

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"parsleypulley/internal/gateway"
	"parsleypulley/internal/standin"
)

func stringsReader(s string) io.Reader { return strings.NewReader(s) }

const chatBody = `{"model":"assessor","max_tokens":8,"messages":[{"role":"system","content":"Judge."},{"role":"user","content":"Fit to feed?"}]}`

func wantOutput(n int) string {
	prompt, _ := standin.Prompt([]byte(chatBody))
	return standin.Output(prompt, "assessor", "1", n)
}

func openaiClient(url string) openai.Client {
	return openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "assessor",
		MaxTokens: openai.Int(8),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("Judge."), openai.UserMessage("Fit to feed?")},
	}
}

func TestOpenAIClientCompleteAndStreamed(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	s.addBackend("runner-0", "", standin.Options{})
	client := openaiClient(s.addRouter())
	completion, err := client.Chat.Completions.New(context.Background(), chatParams())
	is.NoErr(err)
	is.Equal(completion.Choices[0].Message.Content, wantOutput(8))

	stream := client.Chat.Completions.NewStreaming(context.Background(), chatParams())
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	is.NoErr(stream.Err())
	is.Equal(text.String(), wantOutput(8))

	models, err := client.Models.List(context.Background())
	is.NoErr(err)
	is.Equal(len(models.Data), 2) // the model and its adapter
	_, err = client.Models.Get(context.Background(), "no-such-model")
	var apiErr *openai.Error
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.Code, "model_not_found")
}

// errorOf returns the code and ran fields of a response's error object.
func errorOf(t *testing.T, resp *http.Response) (code, ran string) {
	t.Helper()
	var body struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return body.Error.Code, body.Error.Ran
}

func TestRefusalsBeforeRouting(t *testing.T) {
	s := newStack(t)
	b := s.addBackend("runner-0", "", standin.Options{})
	s.addBackend("farmdesk-0", "farmdesk", standin.Options{})
	url := s.addRouter()
	big := `{"model":"assessor","messages":[{"role":"user","content":"` + strings.Repeat("x", gateway.MaxBodyBytes) + `"}]}`
	tests := map[string]struct {
		req    *http.Request
		status int
		code   string
	}{
		"no key":              {newRequest(t, "POST", url+"/v1/chat/completions", chatBody, "Authorization", "nothing"), 401, "invalid_api_key"},
		"unknown key":         {newRequest(t, "POST", url+"/v1/chat/completions", chatBody, "Authorization", "Bearer wrong"), 401, "invalid_api_key"},
		"unknown model":       {newRequest(t, "POST", url+"/v1/chat/completions", `{"model":"none","messages":[{}]}`), 404, "model_not_found"},
		"unknown adapter":     {newRequest(t, "POST", url+"/v1/chat/completions", `{"model":"assessor:none","messages":[{}]}`), 404, "model_not_found"},
		"malformed body":      {newRequest(t, "POST", url+"/v1/chat/completions", `{"model":`), 400, "bad_request"},
		"no messages":         {newRequest(t, "POST", url+"/v1/chat/completions", `{"model":"assessor"}`), 400, "bad_request"},
		"no prompt":           {newRequest(t, "POST", url+"/v1/completions", `{"model":"assessor"}`), 400, "bad_request"},
		"huge body":           {newRequest(t, "POST", url+"/v1/chat/completions", big), 413, "body_too_large"},
		"wrong method":        {newRequest(t, "GET", url+"/v1/chat/completions", ""), 405, "method_not_allowed"},
		"bad deadline":        {newRequest(t, "POST", url+"/v1/chat/completions", chatBody, gateway.HeaderTimeout, "soon"), 400, "bad_request"},
		"unknown path":        {newRequest(t, "GET", url+"/v2/anything", ""), 404, "not_found"},
		"unknown service":     {newRequest(t, "GET", url+"/services/none/x", ""), 404, "service_not_found"},
		"booking without key": {newRequest(t, "POST", url+"/services/farmdesk/bookings", "{}"), 400, "idempotency_key_required"},
		"dot segments":        {newRequest(t, "GET", url+"/services/farmdesk/%2e%2e/x", ""), 400, "bad_request"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, err := http.DefaultClient.Do(tt.req)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.True(resp.Header.Get(gateway.HeaderRequestID) != "" || name == "wrong method" || name == "unknown path")
			code, ran := errorOf(t, resp)
			is.Equal(code, tt.code)
			is.Equal(ran, "not_run")
		})
	}
	is.New(t).Equal(len(b.standin.Counts().Requests), 0) // no refused request reached the engine
}

// rawStatusLine sends text unchanged and returns the status line of the response.
func rawStatusLine(t *testing.T, url, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(conn, text)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line
}

func TestHeaderSmugglingIsRefused(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	b := s.addBackend("farmdesk-0", "farmdesk", standin.Options{})
	url := s.addRouter()
	head := "POST /services/farmdesk/notes HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	for _, fields := range []string{
		"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"Transfer-Encoding: chunked, identity\r\n\r\n",
		"Bad Name: x\r\n\r\n",
	} {
		is.True(strings.Contains(rawStatusLine(t, url, head+fields), " 4") ||
			strings.Contains(rawStatusLine(t, url, head+fields), " 501"))
	}
	is.Equal(len(b.standin.Counts().Requests), 0)
}

func TestServiceCallsAreForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	s.addBackend("farmdesk-0", "farmdesk", standin.Options{})
	url := s.addRouter()
	req := newRequest(t, "PUT", url+"/services/farmdesk/results/a%2Fb?x=1&y=2", "payload",
		"X-Farm", "7", "X-Parsleypulley-Role", "control", "Connection", "X-Drop", "X-Drop", "1", gateway.HeaderRequestID, "mine")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	var echo standin.Echo
	is.NoErr(json.NewDecoder(resp.Body).Decode(&echo))
	is.Equal(echo.Method, "PUT")
	is.Equal(echo.Path, "/results/a%2Fb")
	is.Equal(echo.Query, "x=1&y=2")
	is.Equal(echo.Body, "payload")
	is.Equal(echo.Headers.Get("X-Farm"), "7")
	is.Equal(echo.Headers.Get("Authorization"), "")        // the API key is not forwarded
	is.Equal(echo.Headers.Get("X-Drop"), "")               // named by Connection
	is.Equal(echo.Headers.Get("X-Parsleypulley-Role"), "") // callers can't set internal headers
	is.Equal(resp.Header.Get(gateway.HeaderRequestID), "mine")
	is.Equal(resp.Header.Get(gateway.HeaderBackend), "farmdesk-0")
	is.Equal(resp.Header.Get(gateway.HeaderRevision), "1")
	is.True(resp.Header.Get("Traceparent") == "" || len(resp.Header.Get("Traceparent")) == 55)
}

func TestDisconnectedCallerCancelsEngine(t *testing.T) {
	is := is.New(t)
	s := newStack(t)
	b := s.addBackend("runner-0", "", standin.Options{DecodePerToken: 5 * time.Millisecond})
	url := s.addRouter()
	ctx, cancel := context.WithCancel(context.Background())
	body := strings.Replace(chatBody, `"max_tokens":8`, `"max_tokens":100000,"stream":true`, 1)
	resp, err := http.DefaultClient.Do(newRequest(t, "POST", url+"/v1/chat/completions", body).WithContext(ctx))
	is.NoErr(err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	is.NoErr(err)
	cancel()
	waitFor(t, func() bool { return b.standin.Counts().Cancelled == 1 })
}
