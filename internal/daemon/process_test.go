package daemon

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// startProcess starts a process on loopback. Its link server answers calls once gate
// is closed, or at once if gate is nil.
func startProcess(t *testing.T, ready func() error, gate <-chan struct{}) *Process {
	t.Helper()
	p, err := NewProcess(&Settings{Name: "r1", Domain: "thamel", Link: "127.0.0.1:0", Admin: "127.0.0.1:0",
		LogLevel: "error", StopDeadline: 20 * time.Second}, "router")
	if err != nil {
		t.Fatal(err)
	}
	log.SetHandler(discard.New())
	handler := link.HandlerFunc(func(_ context.Context, call *link.Call) error {
		if gate != nil {
			<-gate
		}
		return call.Send(&wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{Role: "router"}}})
	})
	if err := p.Serve(handler, ready); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.stop)
	return p
}

func alwaysReady() error { return nil }

// adminStatus returns the status code of an administrative page; 0 if the request
// fails.
func adminStatus(p *Process, path string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := client.Get("http://" + p.adminAddress + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// ping calls p over a new link.
func ping(p *Process) error {
	pool := link.NewPool(nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := pool.Call(ctx, p.linkAddress, &wire.Request{Body: &wire.Request_Ping{Ping: &wire.Ping{}}})
	return err
}

func TestReadinessIsSeparateFromLiveness(t *testing.T) {
	is := is.New(t)
	missing := errors.New("no view yet")
	p := startProcess(t, func() error { return missing }, nil)
	is.Equal(adminStatus(p, "/healthz"), http.StatusOK)
	is.Equal(adminStatus(p, "/readyz"), http.StatusServiceUnavailable)
	is.Equal(adminStatus(p, "/debug/vars"), http.StatusOK)
	missing = nil
	is.Equal(adminStatus(p, "/readyz"), http.StatusOK)
}

// On a signal the process first becomes not ready while it still accepts links. Then
// drain runs, and a call in progress gets its answer.
func TestPlannedStopDropsReadinessFirst(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	p := startProcess(t, alwaysReady, gate)
	is.Equal(adminStatus(p, "/readyz"), http.StatusOK)
	inProgress := make(chan error, 1)
	go func() { inProgress <- ping(p) }()

	signals := make(chan os.Signal, 2)
	ended := make(chan error, 1)
	drained := make(chan bool, 1)
	go func() {
		ended <- p.wait(signals, func(ctx context.Context) {
			drained <- ctx.Err() == nil
			is.Equal(adminStatus(p, "/healthz"), http.StatusOK)
			is.Equal(adminStatus(p, "/readyz"), http.StatusServiceUnavailable)
			started := make(chan error, 1)
			go func() { started <- ping(p) }() // links are still accepted
			close(gate)
			is.NoErr(<-started)
		})
	}()
	signals <- syscall.SIGTERM
	is.True(<-drained)
	is.NoErr(<-inProgress)
	is.NoErr(<-ended)
	is.True(ping(p) != nil)
	is.Equal(adminStatus(p, "/healthz"), 0)
	is.True(p.Context.Err() != nil)
}

// Guards against a planned stop that repeated signals end, and against one that an operator can't end:
// only a SIGINT after the first signal does.
func TestSignalsInThePlannedStop(t *testing.T) {
	for _, first := range []os.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run(first.String(), func(t *testing.T) {
			is := is.New(t)
			p := startProcess(t, alwaysReady, nil)
			signals := make(chan os.Signal, signalQueue)
			ended := make(chan error, 1)
			draining := make(chan context.Context)
			signals <- syscall.SIGHUP // stops nothing
			go func() {
				ended <- p.wait(signals, func(ctx context.Context) { draining <- ctx; <-ctx.Done() })
			}()
			select {
			case <-draining:
				t.Fatal("SIGHUP began a stop")
			case <-time.After(2 * ReadinessGrace):
			}
			signals <- first
			for range 3 {
				signals <- syscall.SIGTERM
				signals <- syscall.SIGHUP
			}
			ctx := <-draining
			for len(signals) > 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
			is.NoErr(ctx.Err())
			is.Equal(len(ended), 0)
			signals <- syscall.SIGINT
			is.NoErr(<-ended)
			is.True(ctx.Err() != nil)
		})
	}
}

func TestStopDeadlineEndsThePlannedStop(t *testing.T) {
	is := is.New(t)
	p := startProcess(t, alwaysReady, nil)
	p.Settings.StopDeadline = time.Millisecond
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	is.NoErr(p.wait(signals, func(ctx context.Context) { <-ctx.Done() }))
}

// A component that fails ends the process with its error and without a drain. A
// component that ends without an error does not end the process.
func TestFailedComponentEndsTheProcess(t *testing.T) {
	is := is.New(t)
	p := startProcess(t, alwaysReady, nil)
	failure := errors.New("disk is gone")
	p.Go(func() error { return nil })
	p.Go(func() error { return failure })
	err := p.wait(nil, func(context.Context) { t.Error("drain of a failed process") })
	is.Equal(err, failure)
	is.True(p.Context.Err() != nil)
	is.True(ping(p) != nil)
}

func TestServeErrorNamesTheListener(t *testing.T) {
	is := is.New(t)
	first := startProcess(t, alwaysReady, nil)
	second, err := NewProcess(&Settings{Name: "r2", Link: first.linkAddress, LogLevel: "error"}, "router")
	is.NoErr(err)
	log.SetHandler(discard.New())
	err = second.Serve(link.HandlerFunc(nil), alwaysReady)
	is.True(err != nil)
	is.Equal(err.Error()[:len("listen for links")], "listen for links")
}

// Guards against a SIGHUP that ends a process which is still starting: its default action does, and a control
// process may take long to read its files or to wait for room on its disk.
func TestSIGHUPWhileStartingEndsNothing(t *testing.T) {
	is := is.New(t)
	const child = "PARSLEYPULLEY_TEST_STARTING_PROCESS"
	if os.Getenv(child) != "" {
		_, err := NewProcess(&Settings{Name: "r1", LogLevel: "error"}, "router")
		is.NoErr(err)
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(200 * time.Millisecond)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), child+"=1")
	is.NoErr(cmd.Run())
}

// Guards against requests that a process serves already and that a SIGTERM cuts, since it comes before the process waits
// for signals: beside many other processes there may be long between the two.
func TestSIGTERMRightAfterTheStartIsAPlannedStop(t *testing.T) {
	is := is.New(t)
	const child = "PARSLEYPULLEY_TEST_SERVING_PROCESS"
	if os.Getenv(child) != "" {
		p := startProcess(t, alwaysReady, nil)
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
		time.Sleep(200 * time.Millisecond)
		is.NoErr(ping(p))
		drained := false
		is.NoErr(p.Wait(func(context.Context) { drained = true }))
		is.True(drained)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), child+"=1")
	is.NoErr(cmd.Run())
}
