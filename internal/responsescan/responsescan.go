// Package responsescan finds HTTP responses among the bytes that arrived behind the head of another response,
// whatever that says of the length of its body.
package responsescan

import (
	"bufio"
	"bytes"
	"net/http"
)

// maxCandidates limits the places at which a response is looked for.
const maxCandidates = 16

var (
	protocol = []byte("HTTP/1.")
	lineEnd  = []byte("\r\n")
	headEnd  = []byte("\r\n\r\n")

	transferEncoding = []byte("Transfer-Encoding")
)

// Contains reports whether data, which arrived behind the head of a response, may contain the head of another
// one for which match returns true. Interim responses do not count. Of a head that is not whole, match gets
// the whole lines; one at the beginning of data of which not even the first line is whole counts as a match.
func Contains(data []byte, match func(status int, header http.Header) bool) bool {
	for at, n := 0, 0; n < maxCandidates; n++ {
		i := bytes.Index(data[at:], protocol)
		if i < 0 {
			return false
		}
		at += i
		status, header := readHead(data[at:])
		switch {
		case status == 0 && at == 0 && !bytes.Contains(data, lineEnd):
			return true
		case status >= http.StatusOK && match(status, header):
			return true
		}
		at += len(protocol)
	}
	return true // not all of it was looked at
}

// BehindHead returns what stands behind the first head in data that is not that of an interim response; nil if
// there is none.
func BehindHead(data []byte) []byte {
	for {
		end := bytes.Index(data, headEnd)
		if end < 0 {
			return nil
		}
		status, _ := readHead(data)
		data = data[end+len(headEnd):]
		if status >= http.StatusOK {
			return data
		}
	}
}

// FaultyFraming reports whether the first head in data that is not that of an interim response is one of HTTP/1.0 with
// a Transfer-Encoding, which that does not have. net/http ignores it there, and takes the chunks for the body as it is,
// also if the last one is missing. It returns false for a head that is not whole.
func FaultyFraming(data []byte) bool {
	for {
		end := bytes.Index(data, []byte("\n\r\n"))
		if i := bytes.Index(data, []byte("\n\n")); i >= 0 && (end < 0 || i < end) {
			end = i
		}
		if end < 0 {
			return false
		}
		head := data[:end]
		if bytes.HasPrefix(head, protocol) && len(head) > len("HTTP/1.0 1") && head[len("HTTP/1.0 ")] == '1' { // interim
			data = bytes.TrimLeft(data[end:], "\r\n")
			continue
		}
		if !bytes.HasPrefix(head, []byte("HTTP/1.0 ")) {
			return false
		}
		for line := range bytes.SplitSeq(head, []byte("\n")) {
			if name, _, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(bytes.TrimSpace(name), transferEncoding) {
				return true
			}
		}
		return false
	}
}

// readHead reads the head of a response, as far as it has whole lines; status is 0 if it is none.
func readHead(data []byte) (status int, header http.Header) {
	if end := bytes.Index(data, headEnd); end >= 0 {
		data = data[:end+len(headEnd)]
	} else {
		data = append(bytes.Clone(data[:max(0, bytes.LastIndex(data, lineEnd))]), headEnd...)
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}
