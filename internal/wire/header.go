package wire

import "strings"

// NewHeader returns a header with the given values.
func NewHeader(name string, values ...string) *Header {
	h := &Header{Name: name}
	for _, v := range values {
		h.Values = append(h.Values, []byte(v))
	}
	return h
}

// Texts returns the values of a header.
func (h *Header) Texts() []string {
	texts := make([]string, len(h.GetValues()))
	for i, v := range h.GetValues() {
		texts[i] = string(v)
	}
	return texts
}

// Stored returns a header in the form that is kept with the answer to a claimed call. Bytes that are
// not UTF-8 are replaced: the replicated log can't hold them in a string, and an answer that is not
// stored would be lost.
func (h *Header) Stored() []*StoredHeader {
	var out []*StoredHeader
	for _, v := range h.GetValues() {
		out = append(out, &StoredHeader{Name: h.GetName(), Value: strings.ToValidUTF8(string(v), "?")})
	}
	return out
}
