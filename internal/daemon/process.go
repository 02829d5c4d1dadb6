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

// Process is a running role. It owns the link server and the administrative
// listener, and carries out the planned stop (graceful shutdown).
type Process struct {
	Settings *Settings
	Role     string
	Pool     *link.Pool
	// Context is cancelled at the end of the planned stop, or at once if a component
	// fails.
	Context context.Context
	// StartReason is the kind of start, for the log.
	StartReason string
	// OnStop, if set, is called at the beginning of the planned stop, before drain and
	// before a load balancer can have seen that the process is not ready. endsAt is the
	// deadline of the stop.
	OnStop func(endsAt time.Time)
	// StopCounts, if set, returns the numbers of calls that are logged at the end of the
	// planned stop.
	StopCounts func() event.StopCounts

	// linkAddress is the listen address for links.
	linkAddress string
	// adminAddress is the listen address for administration.
	adminAddress string

	// ready is the function passed to Serve.
	ready  func() error
	server *link.Server
	admin  *http.Server
	// cancel cancels Context.
	cancel context.CancelFunc
	// componentErrs receives an error for each component that ends; nil if it ended
	// without one.
	componentErrs chan error
	// signals receives the signals that begin and accompany the planned stop.
	signals chan os.Signal
	// stopping is set from the beginning of the stop.
	stopping    atomic.Bool
	flushTraces func(context.Context) error
}

// Limits of the listeners that all roles have.
const (
	// maxLinkConnections is enough for a link from every other process of a large
	// installation.
	maxLinkConnections  = 8192
	maxAdminConnections = 64
	adminReadTimeout    = 5 * time.Second
	adminWriteTimeout   = 10 * time.Second
	adminHeaderBytes    = 16 << 10
)

// NewProcess starts logging and tracing and creates the link pool of a role. It does
// not listen yet.
func NewProcess(s *Settings, role string) (*Process, error) {
	// The default action would end the process before it gets to Wait. Nobody reads the channel:
	// settings are read anew by those who have registered for the signal themselves.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	s.StartLog()
	flushTraces, err := s.StartTraces(role)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := s.TLS()
	if err != nil {
		return nil, err
	}
	p := &Process{Settings: s, Role: role, Pool: link.NewPool(tlsConfig), componentErrs: make(chan error, 4), signals: make(chan os.Signal, signalQueue), flushTraces: flushTraces}
	p.Context, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

// Serve starts the link server with handler, and the administrative listener. ready
// returns nil when the process can do its work, otherwise the reason why not.
func (p *Process) Serve(handler link.Handler, ready func() error) error {
	p.ready = ready
	// From the first listener on there may be requests, which the default action of a SIGTERM before Wait
	// would cut.
	signal.Notify(p.signals, syscall.SIGTERM)
	tlsConfig, err := p.Settings.TLS()
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", p.Settings.Link)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	p.linkAddress = ln.Addr().String()
	ln = LimitListener(ln, "link", maxLinkConnections)
	p.server = link.NewServer(countCalls(handler), tlsConfig)
	go func() { p.componentErrs <- p.server.Serve(ln) }()
	if err := p.serveAdmin(); err != nil {
		return err
	}
	event.ProcessStarted(event.Process{Role: p.Role, Name: p.Settings.Name, Domain: p.Settings.Domain,
		Link: p.linkAddress, Admin: p.adminAddress, TLS: tlsConfig != nil, StartReason: p.StartReason})
	return nil
}

// Go runs f in a goroutine. An error from f ends the process.
func (p *Process) Go(f func() error) {
	go func() {
		if err := f(); err != nil {
			p.componentErrs <- err
		}
	}()
}

// serveAdmin starts the administrative listener. It serves /healthz (the process is
// alive), /readyz (it accepts work) and /debug/vars (metrics).
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
	go func() { p.componentErrs <- ignoreClosed(p.admin.Serve(ln)) }()
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

// ReadinessGrace is the time between the moment that /readyz starts to fail and the
// moment that the process stops accepting work. A load balancer can take the process
// out of rotation in between.
const ReadinessGrace = 500 * time.Millisecond

// Wait waits for SIGTERM or SIGINT, or until a component fails, and then stops the
// process. On a signal it first makes /readyz fail and calls drain, which must let
// work in progress finish. A further SIGTERM changes nothing: platforms repeat it. A
// SIGINT during the stop cancels the context of drain. SIGHUP stops nothing. Wait
// returns the error of the component that failed.
func (p *Process) Wait(drain func(ctx context.Context)) error {
	// The signals are caught until the process exits. Otherwise a repeated one could kill it
	// just as the planned stop begins or ends.
	signal.Notify(p.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return p.wait(p.signals, drain)
}

// signalQueue is the number of signals that may wait. Signals beyond it are lost.
const signalQueue = 16

func (p *Process) wait(signals <-chan os.Signal, drain func(ctx context.Context)) error {
	failure := p.waitForSignalOrFailure(signals)
	p.stopping.Store(true)
	if failure == nil {
		p.drain(signals, drain)
	}
	p.stop()
	return failure
}

// waitForSignalOrFailure returns nil on a signal, or the error of a component that
// failed.
func (p *Process) waitForSignalOrFailure(signals <-chan os.Signal) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return nil
			}
		case err := <-p.componentErrs:
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
	if deadline, ok := ctx.Deadline(); ok && p.OnStop != nil {
		p.OnStop(deadline)
	}
	go func() {
		for {
			select {
			case s := <-signals:
				event.SignalInPlannedStop(p.Role, s.String(), s == syscall.SIGINT)
				if s == syscall.SIGINT {
					cancel()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	// Gives the load balancer time to see that the process is not ready.
	backoff.Sleep(ctx, ReadinessGrace)
	drain(ctx)
	p.server.Shutdown(ctx)
	var counts *event.StopCounts
	if p.StopCounts != nil {
		c := p.StopCounts()
		counts = &c
	}
	event.PlannedStopEnded(p.Role, ctx.Err() == nil, counts)
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
	if err := p.flushTraces(ctx); err != nil {
		event.TraceFlushFailed(err)
	}
	FlushLog()
}
