package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against responses to HTTP/1.0 callers that look complete although they are cut: without a length, only
// the way in which the connection ends tells.
func TestCutResponsesToHTTP10(t *testing.T) {
	for name, test := range map[string]struct {
		// end ends the handler; stop is set if the planned stop cuts the response.
		end  func()
		stop bool
		// complete is set if the response is whole.
		complete bool
	}{
		"complete":        {func() {}, false, true},
		"aborted":         {func() { panic(http.ErrAbortHandler) }, false, false},
		"panic":           {func() { panic("test") }, false, false},
		"cut by the stop": {func() { time.Sleep(200 * time.Millisecond) }, true, false},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				is := is.New(t)
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				begun := make(chan struct{})
				s := NewHTTPServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					fmt.Fprint(w, "data: x\n\n")
					_ = http.NewResponseController(w).Flush()
					close(begun)
					time.Sleep(20 * time.Millisecond)
					test.end()
				})}, LimitListener(ln, "test", 10))
				go func() { _ = s.Serve() }()
				c, err := net.Dial("tcp", ln.Addr().String())
				is.NoErr(err)
				defer c.Close()
				is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
				fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: x\r\nConnection: close\r\n\r\n", version)
				<-begun
				if test.stop {
					ended, cancel := context.WithCancel(context.Background())
					cancel()
					_ = s.Stop(ended)
				}
				data, err := io.ReadAll(c)
				is.True(strings.Contains(string(data), "data: x\n\n"))
				if version == "1.0" {
					is.Equal(errors.Is(err, syscall.ECONNRESET), !test.complete)
					return
				}
				is.NoErr(err)
				is.Equal(strings.HasSuffix(string(data), "\r\n0\r\n\r\n"), test.complete)
			})
		}
	}
}

// killAddressFile names, in the environment of the process that TestKilledProcessAndHTTP10 starts, the file into
// which it writes its address.
const killAddressFile = "DAEMON_TEST_ADDRESS_FILE"

// Guards against a response to an HTTP/1.0 caller that looks complete when the process is killed.
func TestKilledProcessAndHTTP10(t *testing.T) {
	is := is.New(t)
	if path := os.Getenv(killAddressFile); path != "" {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(os.WriteFile(path+".new", []byte(ln.Addr().String()), 0o600))
		is.NoErr(os.Rename(path+".new", path))
		is.NoErr(NewHTTPServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, "data: x\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})}, ln).Serve())
		return
	}
	path := filepath.Join(t.TempDir(), "address")
	process := exec.Command(os.Args[0], "-test.run=^TestKilledProcessAndHTTP10$")
	process.Env = append(os.Environ(), killAddressFile+"="+path)
	is.NoErr(process.Start())
	defer process.Wait()
	defer process.Process.Kill()
	var address []byte
	for end := time.Now().Add(10 * time.Second); len(address) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		address, _ = os.ReadFile(path)
	}
	c, err := net.Dial("tcp", string(address))
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	fmt.Fprint(c, "GET / HTTP/1.0\r\nHost: x\r\n\r\n")
	var data bytes.Buffer
	for !strings.HasSuffix(data.String(), "data: x\n\n") {
		_, err := io.CopyN(&data, c, 1)
		is.NoErr(err)
	}
	is.NoErr(process.Process.Kill())
	_, err = io.Copy(&data, c)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
