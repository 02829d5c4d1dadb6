package link

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// MaxMessageBytes is the maximum size of one message on a link.
const MaxMessageBytes = 16 << 20

var unmarshal = protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}

// maxPooledBufferBytes is the largest capacity of a buffer that is kept for reuse.
const maxPooledBufferBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

func getReader(r io.Reader) *bufio.Reader {
	br := readers.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

func putReader(br *bufio.Reader) {
	br.Reset(nil)
	readers.Put(br)
}

// writeMessage writes m, preceded by its length, in a single write. If the error
// is a *fault.Error, nothing was written.
func writeMessage(w io.Writer, m proto.Message) error {
	buf := getBuffer()
	defer putBuffer(buf)
	if err := encode(buf, m); err != nil {
		return err
	}
	_, err := w.Write(buf.Bytes())
	return err
}

// writeResponses writes several messages, each preceded by its length, in a single
// write. If the error is a *fault.Error, nothing was written.
func writeResponses(w io.Writer, rs []*wire.Response) error {
	buf := getBuffer()
	defer putBuffer(buf)
	for _, r := range rs {
		if err := encode(buf, r); err != nil {
			return err
		}
	}
	_, err := w.Write(buf.Bytes())
	return err
}

// encode appends m, preceded by its length, to buf.
func encode(buf *bytes.Buffer, m proto.Message) error {
	before := buf.Len()
	if _, err := protodelim.MarshalTo(buf, m); err != nil {
		return fault.New(fault.Internal, fault.NotRun, "encode message: %w", err)
	}
	if n := buf.Len() - before; n > MaxMessageBytes {
		return fault.New(fault.BodyTooLarge, fault.NotRun, "message of %d bytes is over the limit of %d", n, MaxMessageBytes)
	}
	return nil
}

func getBuffer() *bytes.Buffer {
	buf := buffers.Get().(*bytes.Buffer)
	buf.Reset()
	return buf
}

func putBuffer(buf *bytes.Buffer) {
	if buf.Cap() <= maxPooledBufferBytes {
		buffers.Put(buf)
	}
}

func readMessage(r *bufio.Reader, m proto.Message) error {
	return unmarshal.UnmarshalFrom(r, m)
}
