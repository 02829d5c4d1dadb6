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
	instance     *instance
	request      completionRequest
	chat         bool
	key          runKey
	version      string
	salt         string
	adapter      string
	priority     int
	offset       int
	prompt       string
	outputTokens int
	cachedTokens int
}

func (inst *instance) serveChat(w http.ResponseWriter, r *http.Request) {
	inst.serveCompletion(w, r, true)
}

func (inst *instance) serveTextCompletion(w http.ResponseWriter, r *http.Request) {
	inst.serveCompletion(w, r, false)
}

func (inst *instance) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	c := &completion{instance: inst, chat: chat}
	if !c.parse(w, r) {
		return
	}
	if inst.faults.takeRefusal() {
		writeRefusal(w, http.StatusServiceUnavailable, dialect.RefusalOverloaded, "refused on command")
		return
	}
	inst.server.counts.recordRun(c.key.id, r.Header.Get("Idempotency-Key"), "")
	if inst.server.crashTrigger.matches(c.prompt) {
		inst.server.Crash()
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	inst.engine.register(c.key, cancel)
	defer inst.engine.unregister(c.key)
	if err := c.serve(ctx, w); err != nil {
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
func (c *completion) parse(w http.ResponseWriter, r *http.Request) bool {
	if !readJSON(w, r, &c.request) {
		return false
	}
	e := c.instance.engine
	attempt, _ := strconv.ParseUint(r.Header.Get(dialect.Attempt), 10, 32)
	c.key = runKey{r.Header.Get(dialect.RequestID), uint32(attempt)}
	c.priority, _ = strconv.Atoi(r.Header.Get(dialect.Priority))
	c.offset, _ = strconv.Atoi(r.Header.Get(dialect.LastEventID))
	c.salt = r.Header.Get(dialect.CacheSalt)
	c.adapter = r.Header.Get(dialect.Adapter)
	if want := r.Header.Get(dialect.Incarnation); want != "" && want != strconv.FormatUint(e.incarnation, 10) {
		writeRefusal(w, http.StatusConflict, dialect.RefusalIncarnation, "another engine life is running")
		return false
	}
	version, ok := e.loadedVersion(c.request.Model, c.adapter)
	if want := r.Header.Get(dialect.WeightsVersion); !ok || want != "" && want != version {
		writeRefusal(w, http.StatusConflict, dialect.RefusalWeights, "model, version or adapter is not loaded")
		return false
	}
	c.version = version
	c.prompt = c.request.prompt()
	c.outputTokens = max(c.request.MaxTokens, c.request.MaxCompletionTokens)
	if c.outputTokens == 0 {
		c.outputTokens = c.instance.options.OutputTokens
	}
	return true
}

// serve waits for a slot in the batch, computes the prompt and writes the answer.
func (c *completion) serve(ctx context.Context, w http.ResponseWriter) error {
	e := c.instance.engine
	if err := e.acquireSlot(ctx, c.priority, c.promptTokens()); err != nil {
		return err
	}
	defer e.releaseSlot()
	if err := c.prefill(ctx); err != nil {
		return err
	}
	h := w.Header()
	h.Set(dialect.RequestID, c.key.id)
	h.Set(dialect.Attempt, strconv.FormatUint(uint64(c.key.attempt), 10))
	h.Set(dialect.Incarnation, strconv.FormatUint(e.incarnation, 10))
	h.Set(dialect.WeightsVersion, c.version)
	h.Set(dialect.PromptTokens, strconv.Itoa(c.promptTokens()))
	h.Set(dialect.CachedTokens, strconv.Itoa(c.cachedTokens))
	if c.instance.faults.takeWrongAnswer() {
		c.key.id = "another-request"
		c.prompt = "another prompt"
		h.Set(dialect.RequestID, c.key.id)
	}
	if c.request.Stream {
		return c.writeStream(ctx, w)
	}
	return c.writeWhole(ctx, w)
}

func (c *completion) promptTokens() int { return (len(c.prompt) + bytesPerToken - 1) / bytesPerToken }

// prefill computes the part of the prompt that isn't cached. The engine runs the
// prefill of one request at a time.
func (c *completion) prefill(ctx context.Context) error {
	e := c.instance.engine
	select {
	case e.prefillSlot <- struct{}{}:
		defer func() { <-e.prefillSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	seed := strings.Join([]string{c.salt, c.request.Model, c.version, c.adapter}, "\x00")
	chain := e.cache.splitBlocks(seed, c.prompt)
	c.cachedTokens = e.cache.cachedTokens(chain)
	cost := time.Duration(c.promptTokens()-c.cachedTokens) * e.options.PrefillPerToken
	if err := c.instance.sleep(ctx, c.instance.faults.scale(cost)); err != nil {
		return err
	}
	e.cache.store(time.Now(), chain, c.key.id, c.key.attempt)
	return nil
}
