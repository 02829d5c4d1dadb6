package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// framed returns messages as they are sent on a stream.
func framed(f *testing.F, messages ...proto.Message) []byte {
	var buf bytes.Buffer
	for _, m := range messages {
		if err := encode(&buf, m); err != nil {
			f.Fatal(err)
		}
	}
	return buf.Bytes()
}

// FuzzReadMessage reads arbitrary bytes as messages. Each message that is read must
// be equal after it has been written and read again.
func FuzzReadMessage(f *testing.F) {
	dispatch := &wire.Request{RequestId: "r", TimeoutMs: 7, Body: &wire.Request_Dispatch{Dispatch: &wire.Dispatch{
		RequestId: "r", Account: "indus", Body: []byte("{}"), Levels: []*wire.PrefixLevel{{Key: 1, Tokens: 2}}}}}
	f.Add(framed(f, dispatch, &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}}))
	f.Add(framed(f, &wire.Request{Body: &wire.Request_Propose{Propose: &wire.Propose{Command: &wire.Command{}}}}))
	// A length of MaxMessageBytes-1 without a body, and a length that overflows 64 bits.
	f.Add([]byte{0xff, 0xff, 0xff, 0x07})
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x02})
	f.Fuzz(func(t *testing.T, data []byte) {
		br := bufio.NewReaderSize(bytes.NewReader(data), 16)
		for {
			req := &wire.Request{}
			if err := readMessage(br, req); err != nil {
				return
			}
			var buf bytes.Buffer
			if err := writeMessage(&buf, req); err != nil {
				t.Fatal(err)
			}
			again := &wire.Request{}
			if err := readMessage(bufio.NewReader(&buf), again); err != nil || !proto.Equal(req, again) {
				t.Fatalf("%v reads back as %v, %v", req, again, err)
			}
		}
	})
}

// FuzzServedBytes sends arbitrary bytes to a link server and closes the connection.
// The server must then stop serving the connection and end all calls.
func FuzzServedBytes(f *testing.F) {
	// Three yamux frames: data that opens stream 1, a ping, and a window update that
	// opens stream 1 with the largest possible window. The last seed is not yamux.
	body := framed(f, &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}})
	f.Add(append([]byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, byte(len(body))}, body...))
	f.Add([]byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Add([]byte{0, 1, 0, 1, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewServer(HandlerFunc(func(_ context.Context, call *Call) error { return call.Send(&wire.Response{}) }), nil)
		serverConn, clientConn := net.Pipe()
		done := make(chan struct{})
		go func() { s.serveConn(serverConn); close(done) }()
		go io.Copy(io.Discard, clientConn)
		clientConn.SetDeadline(time.Now().Add(time.Second))
		clientConn.Write(data)
		clientConn.Close()
		<-done
		s.awaitCalls(context.Background())
	})
}
