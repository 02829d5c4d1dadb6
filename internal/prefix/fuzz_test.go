package prefix

import "testing"

// FuzzParsePrompt parses arbitrary bodies. The token counts of the levels must not
// decrease, and no key may be the same for another account or weights version.
func FuzzParsePrompt(f *testing.F) {
	for _, seed := range []string{
		`{"messages":[{"role":"system","content":"a"},{"role":"user","content":"b"}]}`,
		`{"messages":[{"role":"user","content":[{"type":"text","text":"x"},{"type":"image_url","image_url":{"url":"u"}}]}]}`,
		`{"messages":[{"role":"assistant","content":null},{}]}`, `{"prompt":"p"}`, `{"prompt":["a",1]}`,
		`{"messages":null}`, `{"messages":[null]}`, `{"messages":[{"content":{}}]}`, `[]`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := ParsePrompt(body)
		if err != nil {
			return
		}
		scope := Scope{Account: "indus", Model: "assessor", WeightsVersion: "1"}
		other, newer := scope, scope
		other.Account, newer.WeightsVersion = "sajha", "2"
		levels, others, newers := Levels(scope, p), Levels(other, p), Levels(newer, p)
		if len(levels) == 0 && (len(p.Messages) > 0 || p.Text != "") {
			t.Fatalf("prompt %+v has no level", p)
		}
		for i, l := range levels {
			if i > 0 && l.Tokens < levels[i-1].Tokens {
				t.Fatalf("level %d has %d tokens after %d", i, l.Tokens, levels[i-1].Tokens)
			}
			if l.Key == others[i].Key || l.Key == newers[i].Key {
				t.Fatalf("level %d has the key of another account or weights version", i)
			}
		}
	})
}
