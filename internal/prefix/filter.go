package prefix

import "slices"

const (
	// filterFormat is the first byte of an encoded Filter. It distinguishes an
	// empty filter from no filter, which is encoded as no bytes.
	filterFormat = 1
	// maxFilterKeys limits the keys of a Filter for an engine.
	maxFilterKeys = 64
	// maxStoreFilterKeys limits the keys of a Filter for a store of cached
	// state.
	maxStoreFilterKeys = 1024
	// truncatedBytes is how many bytes of each key a Filter keeps.
	truncatedBytes = 3
)

// Filter is a set of level keys. Agents report with it which prompt prefixes
// their engines hold. It keeps the 24 most significant bits of each key, in
// ascending order: a key that Has finds is almost certainly in the set, and a
// key that it does not find is not.
type Filter []uint32

// truncate returns the bits of a key that a Filter keeps. Keys are hashes, so
// any bits will do.
func truncate(key uint64) uint32 { return uint32(key >> (64 - 8*truncatedBytes)) }

// NewFilter returns the filter of the keys. If there are more than
// maxFilterKeys, it takes the first ones; Has does not find the others.
func NewFilter(keys []uint64) Filter { return NewFilterWithLimit(keys, maxFilterKeys) }

// NewFilterWithLimit returns the filter of the keys, or of the first limit
// ones.
func NewFilterWithLimit(keys []uint64, limit int) Filter {
	f := make(Filter, 0, min(len(keys), limit))
	for _, key := range keys[:min(len(keys), limit)] {
		f = append(f, truncate(key))
	}
	slices.Sort(f)
	return f
}

// Has reports whether the key is in the filter.
func (f Filter) Has(key uint64) bool {
	_, found := slices.BinarySearch(f, truncate(key))
	return found
}

// Marshal returns the encoding of the filter for messages.
func (f Filter) Marshal() []byte {
	buf := make([]byte, 1, 1+truncatedBytes*len(f))
	buf[0] = filterFormat
	for _, p := range f {
		buf = append(buf, byte(p), byte(p>>8), byte(p>>16))
	}
	return buf
}

// Unmarshal decodes the result of Marshal into f and reuses the memory of f. If
// buf is empty or malformed, it returns false and leaves f empty.
func (f *Filter) Unmarshal(buf []byte) bool { return f.unmarshal(buf, maxFilterKeys) }

// UnmarshalStore is Unmarshal for the filter of a store of cached state, which
// may be larger.
func (f *Filter) UnmarshalStore(buf []byte) bool { return f.unmarshal(buf, maxStoreFilterKeys) }

func (f *Filter) unmarshal(buf []byte, limit int) bool {
	*f = (*f)[:0]
	if len(buf) == 0 || buf[0] != filterFormat || len(buf)%truncatedBytes != 1 || len(buf) > 1+truncatedBytes*limit {
		return false
	}
	for rest := buf[1:]; len(rest) > 0; rest = rest[truncatedBytes:] {
		*f = append(*f, uint32(rest[0])|uint32(rest[1])<<8|uint32(rest[2])<<16)
	}
	if !slices.IsSorted(*f) {
		*f = (*f)[:0]
		return false
	}
	return true
}
