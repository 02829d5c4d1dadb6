package link

import (
	"bytes"

	"parsleypulley/internal/wire"
)

// Encoded is a message of a response in the form that is written to links. It may be sent on
// any number of calls.
type Encoded struct{ data []byte }

// Encode encodes a message of a response, so that it is marshalled once for many calls.
func Encode(r *wire.Response) (*Encoded, error) {
	var buf bytes.Buffer
	if err := encode(&buf, r); err != nil {
		return nil, err
	}
	return &Encoded{data: buf.Bytes()}, nil
}

// SendEncoded sends one message of the response.
func (c *Call) SendEncoded(e *Encoded) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.stream.Write(e.data)
	return err
}
