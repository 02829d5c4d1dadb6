package agent

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/standin"
	"parsleypulley/internal/wire"
)

// streamText returns the text of a chat stream.
func streamText(t testing.TB, chunks []*wire.Chunk) string {
	t.Helper()
	var text strings.Builder
	for _, c := range chunks {
		data, ok := strings.CutPrefix(string(c.Data), "data: ")
		if !ok || !strings.HasSuffix(data, "\n\n") {
			t.Fatalf("chunk %d is not one event: %q", c.Sequence, c.Data)
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		must(t, json.Unmarshal([]byte(data), &event))
		for _, choice := range event.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String()
}

func expectedOutput(t testing.TB, d *wire.Dispatch, n int) string {
	t.Helper()
	prompt, err := standin.Prompt(d.Body)
	must(t, err)
	return standin.Output(prompt, testModel, testVersion, n)
}

func checkSequence(t testing.TB, chunks []*wire.Chunk, first uint64) {
	t.Helper()
	for i, c := range chunks {
		if c.Sequence != first+uint64(i) {
			t.Fatalf("chunk %d has number %d", first+uint64(i), c.Sequence)
		}
	}
}

func TestStreamIsNumberedAndComplete(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, nil)
	d := chat("r1", "the clamp report", 20, true)
	r, err := h.do(context.Background(), d)
	is.NoErr(err)
	is.Equal(r.started.EngineIncarnation, h.standin.Incarnation())
	is.Equal(r.head.Status, uint32(200))
	checkSequence(t, r.chunks, 1)
	is.Equal(streamText(t, r.chunks), expectedOutput(t, d, 20))
	is.Equal(r.end.Chunks, uint64(20))
	is.Equal(r.end.Tokens, uint64(20))
}

func TestNonStreamingResponse(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, nil)
	d := chat("r1", "the clamp report", 20, false)
	r, err := h.do(context.Background(), d)
	is.NoErr(err)
	is.True(strings.Contains(r.text(), expectedOutput(t, d, 20)))
	is.Equal(r.end.Tokens, uint64(20))
}

func TestPlainServiceCall(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{Kind: standin.KindService}, nil)
	d := booking("r1", "k1", 7, "sample 12", h.agent.Incarnation())
	d.Headers = []*wire.Header{wire.NewHeader("X-Farm", "a", "b"), wire.NewHeader("Connection", "X-Hop"),
		wire.NewHeader("X-Hop", "1"), wire.NewHeader("Authorization", "Bearer secret")}
	r, err := h.do(context.Background(), d)
	is.NoErr(err)
	var echo standin.Echo
	is.NoErr(json.Unmarshal([]byte(r.text()), &echo))
	is.Equal(echo.Method, "POST")
	is.Equal(echo.Path, "/bookings")
	is.Equal(echo.Query, "lab=1")
	is.Equal(echo.Body, "sample 12")
	is.Equal(echo.Headers["X-Farm"], []string{"a", "b"})
	is.Equal(echo.Headers["X-Hop"], nil)         // listed in the Connection header
	is.Equal(echo.Headers["Authorization"], nil) // the API key is not forwarded
	is.Equal(h.standin.Counts().Bodies["sample 12"], 1)
}
