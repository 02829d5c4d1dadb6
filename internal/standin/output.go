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
func (completion *completion) decode(ctx context.Context, emit func(position int, token string) error) error {
	seed := outputSeed(completion.prompt, completion.request.Model, completion.version)
	faults := completion.instance.faults
	cut := faults.takeCut()
	for i := completion.offset; i < completion.outputTokens; i++ {
		faults.waitWhileFrozen(ctx)
		if err := completion.instance.sleep(ctx, faults.scale(completion.instance.engine.stepTime())); err != nil {
			return err
		}
		if err := emit(i+1, token(seed, i)); err != nil {
			return err
		}
		if faults.shouldCrash(i + 1 - completion.offset) {
			completion.instance.server.Crash()
			return context.Canceled
		}
		if cut > 0 && i+1-completion.offset >= cut {
			panic(http.ErrAbortHandler)
		}
	}
	return nil
}

func (completion *completion) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		completion.promptTokens(), completion.outputTokens, completion.promptTokens()+completion.outputTokens, completion.cachedTokens)
}

// answerPrefix returns the beginning of the JSON object of an answer, up to its
// choices.
func (completion *completion) answerPrefix(object string) string {
	return fmt.Sprintf(`{"id":%q,"object":%q,"created":%d,"model":%q,`, "cmpl-"+completion.key.id, object, time.Now().Unix(), completion.request.Model)
}

func (completion *completion) writeWhole(ctx context.Context, w http.ResponseWriter) error {
	var b strings.Builder
	err := completion.decode(ctx, func(_ int, token string) error {
		b.WriteString(token)
		return nil
	})
	if err != nil {
		return err
	}
	choice := fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":"stop"}`, b.String())
	object := "text_completion"
	if completion.chat {
		choice = fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}`, b.String())
		object = "chat.completion"
	}
	body := completion.answerPrefix(object) + `"choices":[` + choice + `],"usage":` + completion.usage() + "}\n"
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(dialect.OutputTokens, strconv.Itoa(completion.outputTokens))
	_, err = w.Write([]byte(body))
	return err
}

// writeStream writes server-sent events. The ID of an event contains the request
// ID, the attempt and the position that the output has reached with it. The usage
// event has the position after that of the last token.
func (completion *completion) writeStream(ctx context.Context, w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	object := "text_completion"
	if completion.chat {
		object = "chat.completion.chunk"
	}
	answerPrefix := completion.answerPrefix(object)
	event := func(position int, rest string) error {
		if _, err := fmt.Fprintf(w, "id: %s.%d/%d\ndata: %s%s\n\n", completion.key.id, completion.key.attempt, position, answerPrefix, rest); err != nil {
			return err
		}
		return out.Flush()
	}
	err := completion.decode(ctx, func(position int, token string) error {
		return event(position, `"choices":[`+completion.choice(position, token)+`]}`)
	})
	if err != nil {
		return err
	}
	if completion.request.StreamOptions.IncludeUsage && completion.offset <= completion.outputTokens {
		if err := event(completion.outputTokens+1, `"choices":[],"usage":`+completion.usage()+`}`); err != nil {
			return err
		}
	}
	_, err = fmt.Fprint(w, "data: [DONE]\n\n")
	return err
}

func (completion *completion) choice(position int, token string) string {
	finish := "null"
	if position == completion.outputTokens {
		finish = `"stop"`
	}
	if completion.chat {
		return fmt.Sprintf(`{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":%s}`, token, finish)
	}
	return fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":%s}`, token, finish)
}
