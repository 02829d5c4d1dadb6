package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
)

var start = time.Unix(1_700_000_000, 0)

const backendA, backendB = "a", "b"

// formatActions formats actions as one line for comparison.
func formatActions(actions []Action) string {
	var parts []string
	for _, action := range actions {
		switch a := action.(type) {
		case Launch:
			text := fmt.Sprintf("launch %d@%d not%v", a.Attempt, a.ResumeOffset, a.Exclude)
			if a.Suspect {
				text += " suspect"
			}
			if a.BoundToSoftware && a.SoftwareVersion != "" {
				text += " software " + a.SoftwareVersion
			}
			parts = append(parts, text)
		case ClearCrash:
			parts = append(parts, "clear crash")
		case ResumeStream:
			parts = append(parts, fmt.Sprintf("resume %d from %d", a.Attempt, a.NextSequence))
		case Cancel:
			parts = append(parts, fmt.Sprintf("cancel %d", a.Attempt))
		case ReportCrash:
			parts = append(parts, fmt.Sprintf("crash %d at %s", a.Attempt, a.Backend))
		case SendHead:
			parts = append(parts, fmt.Sprintf("head %d %s %d", a.Head.Status, a.Backend, a.ContentLength))
		case SendChunk:
			parts = append(parts, "send "+string(a.Data))
		case Complete:
			parts = append(parts, "complete")
		case Fail:
			parts = append(parts, fmt.Sprintf("fail %s %s", a.Err.Kind, a.Err.Outcome))
		case WakeAt:
			parts = append(parts, fmt.Sprintf("wake +%v", a.Time.Sub(start)))
		}
	}
	return strings.Join(parts, "; ")
}

func launchedWith(attempt uint32, backend, software string) Event {
	return Launched{Attempt: attempt, Backend: backend, WeightsVersion: "w1", SoftwareVersion: software}
}

func launchedOn(attempt uint32, backend string) Event {
	return Launched{Attempt: attempt, Backend: backend, WeightsVersion: "w1"}
}

func headOf(attempt uint32) Event {
	return HeadReceived{attempt, Head{Status: 200, Headers: []Header{{"Content-Type", []string{"text/event-stream"}}}}}
}

// plainHeadOf is the head of a response that is no event stream.
func plainHeadOf(attempt, status uint32) Event { return HeadReceived{attempt, Head{Status: status}} }

func chunkOf(attempt uint32, seq uint64, data string) Event {
	return ChunkReceived{Attempt: attempt, Sequence: seq, Data: []byte(data), Tokens: seq}
}

func failedWith(attempt uint32, kind fault.Kind, outcome fault.Outcome) Event {
	return Failed{attempt, fault.New(kind, outcome, "test")}
}

type step struct {
	event Event
	after time.Duration
	want  string
}

func TestMachine(t *testing.T) {
	stream := Request{Account: "acc", Idempotent: true, Stream: true, Resumable: true}
	buffered := Request{Account: "acc", Idempotent: true}
	nonIdempotent := Request{Account: "acc"}
	tests := map[string]struct {
		req   Request
		steps []step
	}{
		"stream in order completes": {stream, []step{
			{launchedOn(1, backendA), 0, ""},
			{headOf(1), 0, ""},
			{chunkOf(1, 1, "x"), 0, "head 200 a -1; send x"},
			{chunkOf(1, 2, "y"), 0, "send y"},
			{EndReceived{1, 2}, 0, "complete"},
		}},
		"duplicate chunk is dropped": {stream, []step{
			{launchedOn(1, backendA), 0, ""}, {headOf(1), 0, ""},
			{chunkOf(1, 1, "x"), 0, "head 200 a -1; send x"},
			{chunkOf(1, 1, "x"), 0, ""},
		}},
		"stream goes on only at the software that began it": {stream, []step{
			{launchedWith(1, backendA, "s1"), 0, ""},
			{failedWith(1, fault.BackendRefused, fault.NotRun), 0, "launch 2@0 not[a]"}, // nothing sent yet
			{launchedWith(2, backendB, "s2"), 0, ""}, {headOf(2), 0, ""},
			{chunkOf(2, 1, "x"), 0, "head 200 b -1; send x"},
			{failedWith(2, fault.StreamBroken, fault.Unknown), 0, "launch 3@1 not[a b] software s2"},
		}},
		"missing chunk resumes the stream": {stream, []step{
			{launchedOn(1, backendA), 0, ""}, {headOf(1), 0, ""},
			{chunkOf(1, 1, "x"), 0, "head 200 a -1; send x"},
			{chunkOf(1, 3, "z"), 0, "resume 1 from 2"},
			{chunkOf(1, 2, "y"), 0, "send y"},
			{chunkOf(1, 3, "z"), 0, "send z"},
			{EndReceived{1, 3}, 0, "complete"},
		}},
		"end before the last chunk resumes the stream": {stream, []step{
			{launchedOn(1, backendA), 0, ""}, {headOf(1), 0, ""},
			{chunkOf(1, 1, "x"), 0, "head 200 a -1; send x"},
			{EndReceived{1, 2}, 0, "resume 1 from 2"},
		}},
		"crash in mid-stream resumes on another backend server at the token offset": {stream, []step{
			{launchedOn(1, backendA), 0, ""}, {headOf(1), 0, ""},
			{chunkOf(1, 1, "x"), 0, "head 200 a -1; send x"},
			{failedWith(1, fault.BackendCrashed, fault.Unknown), 0, "crash 1 at a"},
			{CrashCounted{Attempt: 1}, 0, "launch 2@1 not[a] suspect"},
			{launchedOn(2, backendB), 0, ""}, {headOf(2), 0, ""},
			{chunkOf(1, 2, "late"), 0, ""},
			{ChunkReceived{Attempt: 2, Sequence: 1, Data: []byte("y"), Tokens: 2}, 0, "send y"},
			{EndReceived{2, 1}, 0, "clear crash; complete"},
		}},
		"error in mid-stream is no part of the stream": {stream, []step{
			{launchedOn(1, backendA), 0, ""}, {headOf(1), 0, ""},
			{chunkOf(1, 1, "x"), 0, "head 200 a -1; send x"},
			{failedWith(1, fault.StreamBroken, fault.Unknown), 0, "launch 2@1 not[a]"},
			{launchedOn(2, backendB), 0, ""}, {plainHeadOf(2, 500), 0, "cancel 2; launch 3@1 not[a b]"},
			{chunkOf(2, 1, "error"), 0, ""}, {EndReceived{2, 1}, 0, ""},
			{launchedOn(3, "c"), 0, ""}, {plainHeadOf(3, 200), 0, "cancel 3; launch 4@1 not[a b c]"},
			{launchedOn(4, "d"), 0, ""}, {plainHeadOf(4, 204), 0, "cancel 4; fail stream_broken unknown"},
		}},
		"error instead of a stream is buffered": {stream, []step{
			{launchedOn(1, backendA), 0, ""}, {plainHeadOf(1, 500), 0, ""},
			{chunkOf(1, 1, "er"), 0, ""}, {chunkOf(1, 2, "ror"), 0, ""},
			{EndReceived{1, 2}, 0, "head 500 a 5; send error; complete"},
		}},
		"error instead of a stream that breaks off is retried from the start": {stream, []step{
			{launchedOn(1, backendA), 0, ""}, {plainHeadOf(1, 500), 0, ""},
			{chunkOf(1, 1, "er"), 0, ""},
			{failedWith(1, fault.StreamBroken, fault.Unknown), 0, "launch 2@0 not[a]"},
			{launchedOn(2, backendB), 0, ""}, {headOf(2), 0, ""},
			{chunkOf(2, 1, "x"), 0, "head 200 b -1; send x"},
		}},
		"second crash quarantines the request": {buffered, []step{
			{launchedOn(1, backendA), 0, ""},
			{failedWith(1, fault.BackendCrashed, fault.Unknown), 0, "crash 1 at a"},
			{CrashCounted{Attempt: 1}, 0, "launch 2@0 not[a] suspect"},
			{launchedOn(2, backendB), 0, ""},
			{failedWith(2, fault.BackendCrashed, fault.Unknown), 0, "crash 2 at b"},
			{CrashCounted{Attempt: 2}, 0, "cancel 2; fail request_quarantined unknown"},
		}},
		"first crash quarantines the request if another router counted one before": {buffered, []step{
			{launchedOn(1, backendA), 0, ""},
			{failedWith(1, fault.BackendCrashed, fault.Unknown), 0, "crash 1 at a"},
			{CrashCounted{Attempt: 1, Quarantined: true}, 0, "cancel 1; fail request_quarantined unknown"},
		}},
		"buffered response is retried from the start": {buffered, []step{
			{launchedOn(1, backendA), 0, ""}, {headOf(1), 0, ""},
			{chunkOf(1, 1, "x"), 0, ""},
			{failedWith(1, fault.StreamBroken, fault.Unknown), 0, "launch 2@0 not[a]"},
			{launchedOn(2, backendB), 0, ""}, {headOf(2), 0, ""},
			{chunkOf(2, 1, "yz"), 0, ""},
			{EndReceived{2, 1}, 0, "head 200 b 2; send yz; complete"},
		}},
		"non-idempotent request that may have run is not retried": {nonIdempotent, []step{
			{launchedOn(1, backendA), 0, ""},
			{failedWith(1, fault.BackendTimeout, fault.Unknown), 0, "fail backend_timeout unknown"},
		}},
		"refused non-idempotent request is retried and its outcome stays not run": {nonIdempotent, []step{
			{launchedOn(1, backendA), 0, ""},
			{failedWith(1, fault.Draining, fault.NotRun), 0, "launch 2@0 not[a]"},
			{failedWith(2, fault.NoBackend, fault.NotRun), 0, "fail no_backend not_run"},
		}},
		"outcome is unknown if any attempt may have run": {buffered, []step{
			{launchedOn(1, backendA), 0, ""},
			{failedWith(1, fault.BackendTimeout, fault.Unknown), 0, "launch 2@0 not[a]"},
			{failedWith(2, fault.NoBackend, fault.NotRun), 0, "fail no_backend unknown"},
		}},
		"hedge starts after its delay and the first chunk wins": {buffered, []step{
			{Launched{Attempt: 1, Backend: backendA, HedgeAfter: time.Second}, 0, "wake +1s"},
			{Tick{}, 999 * time.Millisecond, ""},
			{Tick{}, time.Second, "launch 2@0 not[a]"},
			{launchedOn(2, backendB), time.Second, ""},
			{headOf(2), time.Second, ""},
			{chunkOf(2, 1, "x"), time.Second, "cancel 1"},
			{chunkOf(1, 1, "late"), time.Second, ""},
			{EndReceived{2, 1}, time.Second, "head 200 b 1; send x; complete"},
		}},
		"suspected backend server triggers a hedge at once": {buffered, []step{
			{launchedOn(1, backendA), 0, ""},
			{Suspected{backendB}, 0, ""},
			{Suspected{backendA}, 0, "launch 2@0 not[a]"},
			{Suspected{backendA}, 0, ""},
		}},
		"stream is resumed a limited number of times after its link broke": {stream, []step{
			{launchedOn(1, backendA), 0, ""}, {headOf(1), 0, ""},
			{chunkOf(1, 1, "x"), 0, "head 200 a -1; send x"},
			{failedWith(1, fault.LinkDown, fault.Unknown), 0, "resume 1 from 2"},
			{failedWith(1, fault.LinkDown, fault.Unknown), 0, "resume 1 from 2"},
			{failedWith(1, fault.LinkDown, fault.Unknown), 0, "resume 1 from 2"},
			{failedWith(1, fault.LinkDown, fault.Unknown), 0, "launch 2@1 not[a]"},
		}},
		"idempotent request is retried if the link breaks before the first chunk": {stream, []step{
			{launchedOn(1, backendA), 0, ""},
			{failedWith(1, fault.LinkDown, fault.Unknown), 0, "launch 2@0 not[a]"},
		}},
		"non-idempotent request resumes the stream if the link breaks before the first chunk": {nonIdempotent, []step{
			{launchedOn(1, backendA), 0, ""},
			{failedWith(1, fault.LinkDown, fault.Unknown), 0, "resume 1 from 1"},
		}},
		"deadline ends all attempts": {buffered, []step{
			{launchedOn(1, backendA), 0, ""},
			{Tick{}, time.Minute, "cancel 1; fail deadline_exceeded unknown"},
			{chunkOf(1, 1, "late"), time.Minute, ""},
		}},
		"disconnected caller cancels the attempt": {stream, []step{
			{launchedOn(1, backendA), 0, ""},
			{CallerDisconnected{}, 0, "cancel 1; fail cancelled unknown"},
		}},
		"bad request is not retried": {buffered, []step{
			{launchedOn(1, backendA), 0, ""},
			{failedWith(1, fault.BadRequest, fault.NotRun), 0, "fail bad_request not_run"},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt.req.Deadline = start.Add(time.Minute)
			m := New(tt.req, NewBudget(10))
			is.Equal(formatActions(m.Start()), "launch 1@0 not[]")
			for _, s := range tt.steps {
				is.Equal(formatActions(m.Step(start.Add(s.after), s.event)), s.want)
			}
		})
	}
}

func TestBudgetLimitsRetries(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10) // every request fails; retries must add at most 10 percent load
	retries := 0
	const requests = 1000
	for range requests {
		b.CreditAccount("acc")
		b.CreditBackend(backendA)
		if b.Withdraw("acc", backendA) {
			retries++
		}
	}
	is.True(retries <= requests/10+initialBalance) // 10 percent and the initial balance
	is.True(retries >= requests/10-1)
	is.True(b.Withdraw("other", backendB))  // another account and backend server have their own balances
	is.True(!b.Withdraw("other", backendA)) // the balance of the failing backend server is used up
}
