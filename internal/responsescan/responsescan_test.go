package responsescan

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against an answer that is overlooked as it stands where the body of a refusal is due, and against
// texts of sound refusals that are taken for one.
func TestContains(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole"
	for text, want := range map[string]bool{
		"":                     false,
		"full":                 false,
		answer:                 true,
		"full\r\n" + answer:    true,
		"5\r\nfull\n" + answer: true,
		"HTTP/1.1 200 OK\r\nId: b\r\n\r\n" + answer:          true,
		"HTTP/1.1 200 OK\r\nId: b\r\n\r\n":                   false,
		"HTTP/1.1 503 X\r\nId: a\r\n\r\n":                    false, // match wants 200
		"HTTP/1.1 100 Continue\r\nId: a\r\n\r\n":             false,
		"HTTP/1.1 200 OK\r\nId: a\r\nConte":                  true,
		"HTTP/1.1 200 OK\r\nId: a":                           false, // the ID may be longer
		"HTTP/1.1 20":                                        true,
		"the peer said HTTP/1.1 200 OK":                      false,
		"HTTP/1.1 is spoken here\r\nHTTP/1.1 500 X":          false,
		strings.Repeat("HTTP/1.1 ", 2*maxCandidates) + "x\n": true, // not all is looked at
	} {
		got := Contains([]byte(text), func(status int, header http.Header) bool { return status == 200 && header.Get("Id") == "a" })
		if got != want {
			t.Errorf("%.60q: got %v, want %v", text, got, want)
		}
	}
}

// Guards against an interim response whose successor is taken for what follows the response.
func TestBehindHead(t *testing.T) {
	for text, want := range map[string]string{
		"": "", "HTTP/1.1 503 X\r\nA: b": "", "HTTP/1.1 503 X\r\n\r\nrest": "rest", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 503 X\r\n\r\nrest": "rest",
		"HTTP/1.1 100 X\r\n\r\n": "",
	} {
		if got := BehindHead([]byte(text)); string(got) != want {
			t.Errorf("%q: got %q", text, got)
		}
	}
}
