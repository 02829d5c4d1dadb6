package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleypulley/internal/engine/dialect"
)

// completionRequest holds the fields of an OpenAI completion request that the
// stand-in uses.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentText returns the text of a message's content, which is a JSON string or
// a list of content parts.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(raw, &parts)
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

func (c *completionRequest) prompt() string {
	if len(c.Messages) == 0 {
		return contentText(c.Prompt)
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(contentText(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// Prompt returns the prompt text that the stand-in derives from a request body.
func Prompt(body []byte) (string, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return "", err
	}
	return c.prompt(), nil
}

// completion is one completion request in an engine.
type completion struct {
	instance *instance
	request  completionRequest
	// chat is set for a chat completion, and not for a text completion.
	chat bool
	key  runKey
	// version is the version of the weights.
	version  string
	salt     string
	adapter  string
	priority int
	// offset is the number of output tokens that the client has already received in
	// an earlier attempt.
	offset       int
	prompt       string
	outputTokens int
	// cachedTokens is the number of prompt tokens that the cache held.
	cachedTokens int
}

func (inst *instance) serveChat(w http.ResponseWriter, r *http.Request) {
	inst.serveCompletion(w, r, true)
}

func (inst *instance) serveTextCompletion(w http.ResponseWriter, r *http.Request) {
	inst.serveCompletion(w, r, false)
}

func (inst *instance) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	completion := &completion{instance: inst, chat: chat}
	if !completion.parse(w, r) {
		return
	}
	if inst.refuseOnCommand(w) {
		return
	}
	inst.server.counts.recordRun(completion.key.id, r.Header.Get("Idempotency-Key"), "")
	if inst.server.crashTrigger.matches(completion.prompt) {
		inst.server.Crash()
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	inst.engine.register(completion.key, cancel)
	defer inst.engine.unregister(completion.key)
	if err := completion.serve(ctx, w); err != nil {
		inst.server.counts.recordCancelled()
		panic(http.ErrAbortHandler)
	}
}

func writeRefusal(w http.ResponseWriter, status int, refusal, message string) {
	w.Header().Set(dialect.Refusal, refusal)
	writeError(w, status, refusal, message)
}

// parse reads the request. It answers with an error and returns false when the
// request can't run.
func (completion *completion) parse(w http.ResponseWriter, r *http.Request) bool {
	if !readJSON(w, r, &completion.request) {
		return false
	}
	e := completion.instance.engine
	attempt, _ := strconv.ParseUint(r.Header.Get(dialect.Attempt), 10, 32)
	completion.key = runKey{r.Header.Get(dialect.RequestID), uint32(attempt)}
	w.Header().Set(dialect.RequestID, completion.key.id)
	w.Header().Set(dialect.Attempt, strconv.FormatUint(attempt, 10))
	completion.priority, _ = strconv.Atoi(r.Header.Get(dialect.Priority))
	completion.offset, _ = strconv.Atoi(r.Header.Get(dialect.LastEventID))
	completion.salt = r.Header.Get(dialect.CacheSalt)
	completion.adapter = r.Header.Get(dialect.Adapter)
	if want := r.Header.Get(dialect.Incarnation); want != "" && want != strconv.FormatUint(e.incarnation, 10) {
		writeRefusal(w, http.StatusConflict, dialect.RefusalIncarnation, "another engine life is running")
		return false
	}
	version, ok := e.loadedVersion(completion.request.Model, completion.adapter)
	if want := r.Header.Get(dialect.WeightsVersion); !ok || want != "" && want != version {
		writeRefusal(w, http.StatusConflict, dialect.RefusalWeights, "model, version or adapter is not loaded")
		return false
	}
	completion.version = version
	completion.prompt = completion.request.prompt()
	completion.outputTokens = max(completion.request.MaxTokens, completion.request.MaxCompletionTokens)
	if completion.outputTokens == 0 {
		completion.outputTokens = completion.instance.options.OutputTokens
	}
	return true
}

// serve waits for a slot in the batch, computes the prompt and writes the answer.
func (completion *completion) serve(ctx context.Context, w http.ResponseWriter) error {
	e := completion.instance.engine
	if err := e.acquireSlot(ctx, completion.priority, completion.promptTokens()); err != nil {
		return err
	}
	defer e.releaseSlot()
	if err := completion.prefill(ctx); err != nil {
		return err
	}
	h := w.Header()
	h.Set(dialect.Incarnation, strconv.FormatUint(e.incarnation, 10))
	h.Set(dialect.WeightsVersion, completion.version)
	h.Set(dialect.PromptTokens, strconv.Itoa(completion.promptTokens()))
	h.Set(dialect.CachedTokens, strconv.Itoa(completion.cachedTokens))
	if completion.instance.faults.takeWrongAnswer() {
		completion.key.id = "another-request"
		completion.prompt = "another prompt"
		h.Set(dialect.RequestID, completion.key.id)
	}
	if completion.request.Stream {
		return completion.writeStream(ctx, w)
	}
	return completion.writeWhole(ctx, w)
}

func (completion *completion) promptTokens() int {
	return (len(completion.prompt) + bytesPerToken - 1) / bytesPerToken
}

// prefill computes the part of the prompt that isn't cached. The engine runs the
// prefill of one request at a time.
func (completion *completion) prefill(ctx context.Context) error {
	e := completion.instance.engine
	select {
	case e.prefill <- struct{}{}:
		defer func() { <-e.prefill }()
	case <-ctx.Done():
		return ctx.Err()
	}
	seed := strings.Join([]string{completion.salt, completion.request.Model, completion.version, completion.adapter}, "\x00")
	chain := e.cache.chain(seed, completion.prompt)
	completion.cachedTokens = e.cache.cachedPrefix(chain)
	cost := time.Duration(completion.promptTokens()-completion.cachedTokens) * e.options.PrefillPerToken
	if err := completion.instance.sleep(ctx, completion.instance.faults.scale(cost)); err != nil {
		return err
	}
	e.cache.store(time.Now(), chain, completion.key.id, completion.key.attempt)
	return nil
}
