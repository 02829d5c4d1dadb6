package daemon

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/event"
	"parsleypulley/internal/link"
)

// Process is a running role: its links, its administrative listener and its
// planned stop.
type Process struct {
	Settings *Settings
	Role     string
	Pool     *link.Pool
	// Context ends when the process has to stop at once; it outlives the planned
	// stop.
	Context context.Context
	// StartReason tells what kind of start this is, for the log.
	StartReason string

	// linkAddress and adminAddress are where the process listens.
	linkAddress  string
	adminAddress string

	ready  func() error
	server *link.Server
	admin  *http.Server
	cancel context.CancelFunc
	errs   chan error
	// stopping is set from the start of the planned stop.
	stopping atomic.Bool
	flush    func(context.Context) error
	flushLog func()
}

// Bounds of the listeners that all roles have.
const (
	// maxLinks lets every process of a large installation link to one.
	maxLinks            = 8192
	maxAdminConnections = 64
	adminReadTimeout    = 5 * time.Second
	adminWriteTimeout   = 10 * time.Second
	adminHeaderBytes    = 16 << 10
)

// NewProcess starts logs and traces and prepares the links of a role.
func NewProcess(s *Settings, role string) (*Process, error) {
	flushLog := s.StartLog()
	flush, err := s.StartTraces(role)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := s.TLS()
	if err != nil {
		return nil, err
	}
	p := &Process{Settings: s, Role: role, Pool: link.NewPool(tlsConfig), errs: make(chan error, 4), flush: flush, flushLog: flushLog}
	p.Context, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

// Serve starts the link server with handler and the administrative listener.
// ready tells whether the process can do its work.
func (p *Process) Serve(handler link.Handler, ready func() error) error {
	p.ready = ready
	tlsConfig, err := p.Settings.TLS()
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", p.Settings.Link)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	p.linkAddress = ln.Addr().String()
	ln = LimitListener(ln, "link", maxLinks)
	p.server = link.NewServer(countCalls(handler), tlsConfig)
	go func() { p.errs <- p.server.Serve(ln) }()
	if err := p.serveAdmin(); err != nil {
		return err
	}
	event.ProcessStarted(event.Process{Role: p.Role, Name: p.Settings.Name, Domain: p.Settings.Domain,
		Link: p.linkAddress, Admin: p.adminAddress, TLS: tlsConfig != nil, StartReason: p.StartReason})
	return nil
}

// Go runs f in the background; an error ends the process.
func (p *Process) Go(f func() error) {
	go func() {
		if err := f(); err != nil {
			p.errs <- err
		}
	}()
}

// serveAdmin serves /healthz (alive), /readyz (takes work) and /debug/vars.
func (p *Process) serveAdmin() error {
	if p.Settings.Admin == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "alive") })
	mux.HandleFunc("/readyz", p.serveReady)
	mux.Handle("/debug/vars", expvar.Handler())
	ln, err := net.Listen("tcp", p.Settings.Admin)
	if err != nil && p.Settings.AdminOptional {
		event.ComponentEnded("administrative listener", err)
		return nil
	}
	if err != nil {
		return fmt.Errorf("listen for administration: %w", err)
	}
	p.adminAddress = ln.Addr().String()
	ln = LimitListener(ln, "admin", maxAdminConnections)
	p.admin = &http.Server{Handler: mux, ReadTimeout: adminReadTimeout, WriteTimeout: adminWriteTimeout, MaxHeaderBytes: adminHeaderBytes}
	go func() { p.errs <- ignoreClosed(p.admin.Serve(ln)) }()
	return nil
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	err := p.ready()
	if p.stopping.Load() {
		err = errors.New("stopping")
	}
	if err != nil {
		http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// readinessGrace is the time between the drop of readiness and the end of
// accepting, so that the balancer takes the process out first.
const readinessGrace = 500 * time.Millisecond

// Wait runs until SIGTERM or SIGINT, or until a part fails. On a signal it drops
// readiness and runs drain, which lets work in progress finish; a second signal
// ends the wait.
func (p *Process) Wait(drain func(ctx context.Context)) error {
	// The second signal is caught from the start, lest it kill the process while
	// the planned stop begins.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return p.wait(signals, drain)
}

func (p *Process) wait(signals <-chan os.Signal, drain func(ctx context.Context)) error {
	failure := p.awaitEnd(signals)
	p.stopping.Store(true)
	if failure == nil {
		p.drain(signals, drain)
	}
	p.stop()
	return failure
}

// awaitEnd returns nil on a signal, or the error of a part that failed.
func (p *Process) awaitEnd(signals <-chan os.Signal) error {
	for {
		select {
		case <-signals:
			return nil
		case err := <-p.errs:
			if err != nil {
				return err
			}
		}
	}
}

func (p *Process) drain(signals <-chan os.Signal, drain func(ctx context.Context)) {
	event.PlannedStopStarted(p.Role)
	ctx, cancel := context.WithTimeout(context.Background(), p.Settings.StopDeadline)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	// The balancer is to see that the process is not ready.
	backoff.Sleep(ctx, readinessGrace)
	drain(ctx)
	p.server.Shutdown(ctx)
	event.PlannedStopEnded(p.Role, ctx.Err() == nil)
}

func (p *Process) stop() {
	p.cancel()
	p.server.Close()
	p.Pool.Close()
	if p.admin != nil {
		p.admin.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := p.flush(ctx); err != nil {
		event.TraceFlushFailed(err)
	}
	p.flushLog()
}
