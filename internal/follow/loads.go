package follow

import (
	"sync"

	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// encodedLoads holds the newest load digest in the form that is sent, so that it is marshalled
// once for all watches of a process. It is safe for concurrent use.
type encodedLoads struct {
	mu      sync.Mutex
	digest  *wire.LoadDigest
	encoded *link.Encoded
	// encodings counts how often a digest was marshalled.
	encodings int
}

// get returns a digest in the form that is sent. viewVersion is that of this process.
func (e *encodedLoads) get(digest *wire.LoadDigest, viewVersion uint64) (*link.Encoded, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if digest == e.digest && e.encoded != nil {
		return e.encoded, nil
	}
	encoded, err := link.Encode(&wire.Response{ViewVersion: viewVersion,
		Body: &wire.Response_ViewUpdate{ViewUpdate: &wire.ViewUpdate{Loads: digest}}})
	if err != nil {
		return nil, err
	}
	e.digest, e.encoded = digest, encoded
	e.encodings++
	return encoded, nil
}

// sendLoads sends a load digest.
func (s *Server) sendLoads(call *link.Call, digest *wire.LoadDigest) error {
	encoded, err := s.digests.get(digest, s.log.Version())
	if err != nil {
		return err
	}
	return call.SendEncoded(encoded)
}
