package prefix

import (
	"slices"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var scope = Scope{Account: "rahbar", Model: "assessor", WeightsVersion: "v1"}

func chat(contents ...string) Prompt {
	roles := []string{"system", "user", "user"}
	var p Prompt
	for i, c := range contents {
		p.Messages = append(p.Messages, Message{Role: roles[min(i, 2)], Content: c})
	}
	return p
}

func keys(s Scope, p Prompt) []uint64 {
	var keys []uint64
	for _, l := range Levels(s, p) {
		keys = append(keys, l.Key)
	}
	return keys
}

func TestLevelsFollowMessageStructure(t *testing.T) {
	is := is.New(t)
	a := keys(scope, chat("judge silage", "clamp 7", "is it spoilt?"))
	b := keys(scope, chat("judge silage", "clamp 7", "feed it?"))
	c := keys(scope, chat("judge silage", "clamp 8", "is it spoilt?"))
	is.Equal(len(a), 3)
	is.Equal(a[:2], b[:2]) // same instruction and context
	is.True(a[2] != b[2])  // another question
	is.Equal(a[:1], c[:1]) // same instruction
	is.True(a[1] != c[1])  // another context
	is.True(a[2] != c[2])  // the question's key covers the context
	is.Equal(len(keys(scope, chat("only"))), 1)
	is.Equal(len(keys(scope, Prompt{})), 0)
}

func TestLevelsOfAConversationKeepInstructionAndContext(t *testing.T) {
	is := is.New(t)
	p := chat("judge silage", "clamp 7", "is it spoilt?")
	longer := Prompt{Messages: append(slices.Clone(p.Messages),
		Message{"assistant", "no"}, Message{"user", "and below?"})}
	a, b := keys(scope, p), keys(scope, longer)
	is.Equal(a[0], b[0])
	is.Equal(len(b), 4) // instruction, first messages, history, question
}

func TestTextLevelsDoubleInLength(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("silage ", 3000)
	a := Levels(scope, Prompt{Text: text + "one"})
	b := Levels(scope, Prompt{Text: text + "two"})
	last := len(a) - 1
	for i := range last {
		is.Equal(a[i].Key, b[i].Key)
		is.Equal(a[i].Tokens, uint32(512<<i))
	}
	is.True(a[last].Key != b[last].Key)
}

func TestNoKeyIsSharedAcrossScopes(t *testing.T) {
	p := chat("judge silage", "clamp 7", "is it spoilt?")
	for name, other := range map[string]Scope{
		"account":          {"sajha", "assessor", "v1", ""},
		"model":            {"rahbar", "bhasha", "v1", ""},
		"weights version":  {"rahbar", "assessor", "v2", ""},
		"adapter":          {"rahbar", "assessor", "v1", "urdu"},
		"shifted boundary": {"rahbara", "ssessor", "v1", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, k := range keys(other, p) {
				is.True(!slices.Contains(keys(scope, p), k))
			}
		})
	}
}

func TestFingerprintDependsOnEveryField(t *testing.T) {
	is := is.New(t)
	base := Fingerprint("rahbar", "assessor", []byte("x"))
	is.Equal(base, Fingerprint("rahbar", "assessor", []byte("x")))
	is.True(base != Fingerprint("sajha", "assessor", []byte("x")))
	is.True(base != Fingerprint("rahbar", "bhasha", []byte("x")))
	is.True(base != Fingerprint("rahbar", "assessor", []byte("y")))
	is.True(base != Fingerprint("rahbara", "ssessor", []byte("x")))
}

func TestParsePrompt(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		want Prompt
		bad  bool
	}{
		"chat":      {body: `{"messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}]}`, want: Prompt{Messages: []Message{{"system", "a"}, {"user", "b"}}}},
		"parts":     {body: `{"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, want: Prompt{Messages: []Message{{"user", "ab"}}}},
		"text":      {body: `{"prompt":"abc"}`, want: Prompt{Text: "abc"}},
		"list":      {body: `{"prompt":["a","b"]}`, want: Prompt{Text: `["a","b"]`}},
		"null":      {body: `{"messages":[{"role":"assistant","content":null}]}`, want: Prompt{Messages: []Message{{"assistant", ""}}}},
		"malformed": {body: `{"messages":`, bad: true},
		"number":    {body: `{"messages":[{"role":"user","content":3}]}`, bad: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := ParsePrompt([]byte(c.body))
			is.Equal(err != nil, c.bad)
			if !c.bad {
				is.Equal(got, c.want)
			}
		})
	}
}

func TestHoldings(t *testing.T) {
	const s, k, other = 1, 2, 3
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	for name, c := range map[string]struct {
		do    func(x *Index, id EngineID)
		at    float64
		scope uint64
		held  bool
	}{
		"stored":               {do: func(x *Index, id EngineID) { x.Stored(at(0), s, k, id) }, at: 1, scope: s, held: true},
		"never stored":         {do: func(x *Index, id EngineID) {}, at: 1, scope: s},
		"another scope":        {do: func(x *Index, id EngineID) { x.Stored(at(0), s, k, id) }, at: 1, scope: other},
		"expired":              {do: func(x *Index, id EngineID) { x.Stored(at(0), s, k, id) }, at: 61, scope: s},
		"confirmed again":      {do: func(x *Index, id EngineID) { x.Stored(at(0), s, k, id); x.Stored(at(30), s, k, id) }, at: 61, scope: s, held: true},
		"evicted":              {do: func(x *Index, id EngineID) { x.Stored(at(0), s, k, id); x.Evicted(s, k, id) }, at: 1, scope: s},
		"removed engine":       {do: func(x *Index, id EngineID) { x.Stored(at(0), s, k, id); x.RemoveEngine(id) }, at: 1, scope: s},
		"stored after removal": {do: func(x *Index, id EngineID) { x.RemoveEngine(id); x.Stored(at(0), s, k, id) }, at: 1, scope: s},
		"events":               {do: func(x *Index, id EngineID) { x.Apply(at(0), s, id, EventBatch{1, []uint64{k}, nil}) }, at: 1, scope: s, held: true},
		"evicted by event": {do: func(x *Index, id EngineID) {
			x.Stored(at(0), s, k, id)
			x.Apply(at(0), s, id, EventBatch{1, nil, []uint64{k}})
		}, at: 1, scope: s},
		"repeated event": {do: func(x *Index, id EngineID) {
			x.Apply(at(0), s, id, EventBatch{1, nil, nil})
			x.Apply(at(0), s, id, EventBatch{1, []uint64{k}, nil})
		}, at: 1, scope: s},
		"soon after gap": {do: func(x *Index, id EngineID) { x.Stored(at(0), s, k, id); x.Apply(at(1), s, id, EventBatch{7, nil, nil}) }, at: 2, scope: s, held: true},
		"long after gap": {do: func(x *Index, id EngineID) { x.Stored(at(0), s, k, id); x.Apply(at(1), s, id, EventBatch{7, nil, nil}) }, at: 4, scope: s},
		"confirmed after gap": {do: func(x *Index, id EngineID) {
			x.Stored(at(0), s, k, id)
			x.Apply(at(1), s, id, EventBatch{7, nil, nil})
			x.Stored(at(2), s, k, id)
		}, at: 4, scope: s, held: true},
		"event of a removed engine": {do: func(x *Index, id EngineID) {
			x.RemoveEngine(id)
			x.Apply(at(0), s, id, EventBatch{1, []uint64{k}, nil})
		}, at: 1, scope: s},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := NewIndex(8, time.Minute)
			id := x.AddEngine()
			c.do(x, id)
			is.Equal(len(x.Holders(at(c.at), c.scope, k, nil)) == 1, c.held)
		})
	}
}

func TestFilterEncoding(t *testing.T) {
	var many []uint64
	for i := range uint64(maxFilterKeys + 5) {
		many = append(many, (maxFilterKeys+5-i)<<40)
	}
	for name, c := range map[string]struct {
		buf  []byte
		ok   bool
		keys int
	}{
		"none":           {nil, false, 0},
		"empty":          {NewFilter(nil).Marshal(), true, 0},
		"two":            {NewFilter([]uint64{7 << 40, 5 << 40}).Marshal(), true, 2},
		"too many":       {NewFilter(many).Marshal(), true, maxFilterKeys},
		"truncated":      {NewFilter(many).Marshal()[:6], false, 0},
		"too long":       {append(NewFilter(many).Marshal(), 255, 255, 255), false, 0},
		"unordered":      {[]byte{filterFormat, 9, 0, 0, 1, 0, 0}, false, 0},
		"unknown format": {[]byte{filterFormat + 1, 9, 0, 0}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := Filter{1, 2, 3}
			is.Equal(f.Unmarshal(c.buf), c.ok)
			is.Equal(len(f), c.keys)
		})
	}
	is := is.New(t)
	var f Filter
	is.True(f.Unmarshal(NewFilter([]uint64{7 << 40, 5 << 40}).Marshal()))
	is.True(f.Has(5<<40) && f.Has(7<<40) && !f.Has(6<<40))
}

func TestRestartedEngineHoldsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	x := NewIndex(8, time.Minute)
	old := x.AddEngine()
	x.Stored(now, 1, 2, old)
	x.RemoveEngine(old)
	is.True(x.AddEngine() != old)
	is.Equal(len(x.Holders(now, 1, 2, nil)), 0)
}

func TestMissingEventsAreReported(t *testing.T) {
	is := is.New(t)
	x := NewIndex(8, time.Minute)
	id := x.AddEngine()
	now := time.Unix(1000, 0)
	is.True(!x.Apply(now, 1, id, EventBatch{Sequence: 1}))
	is.True(x.Apply(now, 1, id, EventBatch{Sequence: 3}))
	is.True(!x.Apply(now, 1, id, EventBatch{Sequence: 4}))
}

// The index returns only holdings that a plain map of the same calls contains,
// and stays within its limit.
func TestIndexMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4
		x := NewIndex(limit, time.Minute)
		engines := []EngineID{x.AddEngine(), x.AddEngine()}
		model := map[uint64]map[EngineID]bool{}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			key := rapid.Uint64Range(1, 8).Draw(t, "key")
			id := rapid.SampledFrom(engines).Draw(t, "engine")
			if model[key] == nil {
				model[key] = map[EngineID]bool{}
			}
			if rapid.Bool().Draw(t, "store") {
				x.Stored(now, 1, key, id)
				model[key][id] = true
			} else {
				x.Evicted(1, key, id)
				delete(model[key], id)
			}
			if x.Len() > limit {
				t.Fatalf("%d keys held, limit %d", x.Len(), limit)
			}
			for k, holders := range model {
				for _, h := range x.Holders(now, 1, k, nil) {
					if !holders[h.EngineID] {
						t.Fatalf("key %d attributed to engine %d, which does not hold it", k, h.EngineID)
					}
				}
			}
		}
	})
}

func BenchmarkLevels32kTokens(b *testing.B) {
	p := chat(strings.Repeat("a", 8000), strings.Repeat("b", 119000), strings.Repeat("c", 1000))
	b.ReportAllocs()
	for b.Loop() {
		Levels(scope, p)
	}
}

// After a jump of the time of day no holding was valid any more.
func TestHoldingsIgnoreTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	x := NewIndex(10, time.Minute)
	id := x.AddEngine()
	now := time.Now()
	x.Stored(now, 1, 2, id)
	later := now.Add(time.Second)
	const secondsShift = 30                                    // of the wall clock in a time with both readings
	*(*uint64)(unsafe.Pointer(&later)) += 3600 << secondsShift // the steady clock has not jumped
	is.Equal(later.Sub(now), time.Second)
	holders := x.Holders(later, 1, 2, nil)
	is.Equal(len(holders), 1)
	is.Equal(holders[0].Age, time.Second)
}
