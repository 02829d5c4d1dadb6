package standin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/engine/dialect"
)

// Output returns the concatenation of the first n output tokens for a prompt.
func Output(prompt, model, weightsVersion string, n int) string {
	seed := outputSeed(prompt, model, weightsVersion)
	var b strings.Builder
	for i := range n {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

func outputSeed(prompt, model, weightsVersion string) uint64 {
	return xxhash.Sum64String(model + "\x00" + weightsVersion + "\x00" + prompt)
}

// token returns the output token at index i: a space and five characters.
func token(seed uint64, i int) string {
	hash := strconv.FormatUint(chainHash(seed, strconv.Itoa(i)), 36)
	return " " + hash[len(hash)-5:]
}

// decode generates the output tokens and passes each to emit, with its position
// counted from 1.
func (c *completion) decode(ctx context.Context, emit func(position int, token string) error) error {
	seed := outputSeed(c.prompt, c.request.Model, c.version)
	faults := c.instance.faults
	cut := faults.takeCut()
	for i := c.offset; i < c.outputTokens; i++ {
		faults.waitWhileFrozen(ctx)
		if err := c.instance.sleep(ctx, faults.scale(c.instance.engine.stepTime())); err != nil {
			return err
		}
		if err := emit(i+1, token(seed, i)); err != nil {
			return err
		}
		if faults.shouldCrash(i + 1 - c.offset) {
			c.instance.server.Crash()
			return context.Canceled
		}
		if cut > 0 && i+1-c.offset >= cut {
			panic(http.ErrAbortHandler)
		}
	}
	return nil
}

func (c *completion) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		c.promptTokens(), c.outputTokens, c.promptTokens()+c.outputTokens, c.cachedTokens)
}

// answerPrefix returns the beginning of the JSON object of an answer, up to its
// choices.
func (c *completion) answerPrefix(object string) string {
	return fmt.Sprintf(`{"id":%q,"object":%q,"created":%d,"model":%q,`, "cmpl-"+c.key.id, object, time.Now().Unix(), c.request.Model)
}

func (c *completion) writeWhole(ctx context.Context, w http.ResponseWriter) error {
	var b strings.Builder
	err := c.decode(ctx, func(_ int, token string) error {
		b.WriteString(token)
		return nil
	})
	if err != nil {
		return err
	}
	choice := fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":"stop"}`, b.String())
	object := "text_completion"
	if c.chat {
		choice = fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}`, b.String())
		object = "chat.completion"
	}
	body := c.answerPrefix(object) + `"choices":[` + choice + `],"usage":` + c.usage() + "}\n"
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(dialect.OutputTokens, strconv.Itoa(c.outputTokens))
	_, err = w.Write([]byte(body))
	return err
}

// writeStream writes server-sent events. The ID of an event contains the request
// ID, the attempt and the position that the output has reached with it. The usage
// event has the position after that of the last token.
func (c *completion) writeStream(ctx context.Context, w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	object := "text_completion"
	if c.chat {
		object = "chat.completion.chunk"
	}
	identity := c.answerPrefix(object)
	event := func(position int, rest string) error {
		if _, err := fmt.Fprintf(w, "id: %s.%d/%d\ndata: %s%s\n\n", c.key.id, c.key.attempt, position, identity, rest); err != nil {
			return err
		}
		return out.Flush()
	}
	err := c.decode(ctx, func(position int, token string) error {
		return event(position, `"choices":[`+c.choice(position, token)+`]}`)
	})
	if err != nil {
		return err
	}
	if c.request.StreamOptions.IncludeUsage && c.offset <= c.outputTokens {
		if err := event(c.outputTokens+1, `"choices":[],"usage":`+c.usage()+`}`); err != nil {
			return err
		}
	}
	_, err = fmt.Fprint(w, "data: [DONE]\n\n")
	return err
}

func (c *completion) choice(position int, token string) string {
	finish := "null"
	if position == c.outputTokens {
		finish = `"stop"`
	}
	if c.chat {
		return fmt.Sprintf(`{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":%s}`, token, finish)
	}
	return fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":%s}`, token, finish)
}
