package prefix

import "slices"

const (
	// filterFormat is the first byte of a marshalled Filter, so that an empty
	// one differs from none.
	filterFormat = 1
	// filterMost bounds the keys of a Filter, and longFilterMost those of one for a
	// store of cached state.
	filterMost     = 64
	longFilterMost = 1024
	// partBytes is how much of each key a Filter keeps.
	partBytes = 3
)

// Filter is a set of level keys, as an agent reports which openings its engine
// holds. It keeps 24 bits of each key, in rising order: a key in the filter is
// almost certainly held; any other is not.
type Filter []uint32

// part returns the bits of a key that a Filter keeps. Keys are hashes already.
func part(key uint64) uint32 { return uint32(key >> (64 - 8*partBytes)) }

// NewFilter returns the filter of the keys, the first of too many.
func NewFilter(keys []uint64) Filter { return NewFilterWithLimit(keys, filterMost) }

// NewFilterWithLimit returns the filter of the keys, the first most of too many.
func NewFilterWithLimit(keys []uint64, most int) Filter {
	f := make(Filter, 0, min(len(keys), most))
	for _, key := range keys[:min(len(keys), most)] {
		f = append(f, part(key))
	}
	slices.Sort(f)
	return f
}

// Has tells whether the key is in the filter.
func (f Filter) Has(key uint64) bool {
	_, found := slices.BinarySearch(f, part(key))
	return found
}

// Marshal returns the form that goes over the link.
func (f Filter) Marshal() []byte {
	buf := make([]byte, 1, 1+partBytes*len(f))
	buf[0] = filterFormat
	for _, p := range f {
		buf = append(buf, byte(p), byte(p>>8), byte(p>>16))
	}
	return buf
}

// Unmarshal reads what Marshal wrote into f, whose memory it reuses. It returns
// false, and an empty filter, when there is none or it is malformed.
func (f *Filter) Unmarshal(buf []byte) bool { return f.unmarshal(buf, filterMost) }

// UnmarshalStore reads likewise the filter of a store of cached state.
func (f *Filter) UnmarshalStore(buf []byte) bool { return f.unmarshal(buf, longFilterMost) }

func (f *Filter) unmarshal(buf []byte, most int) bool {
	*f = (*f)[:0]
	if len(buf) == 0 || buf[0] != filterFormat || len(buf)%partBytes != 1 || len(buf) > 1+partBytes*most {
		return false
	}
	for rest := buf[1:]; len(rest) > 0; rest = rest[partBytes:] {
		*f = append(*f, uint32(rest[0])|uint32(rest[1])<<8|uint32(rest[2])<<16)
	}
	if !slices.IsSorted(*f) {
		*f = (*f)[:0]
		return false
	}
	return true
}
