package node

import (
	"context"
	"errors"
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/control"
	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/follow"
	"parsleypulley/internal/forward"
	"parsleypulley/internal/link"
	"parsleypulley/internal/streamrecord"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// RouterOptions configures a router.
type RouterOptions struct {
	Settings *daemon.Settings
	// Listen is the address (ip:port) for callers.
	Listen string
	// MaxConnections bounds the concurrent connections of callers.
	MaxConnections int
	// ReadinessListen is the address (ip:port) of the readiness endpoint.
	ReadinessListen string
	// ReadinessPath is the URL path of the readiness endpoint.
	ReadinessPath string
	// Dialect maps the HTTP headers of the callers' API.
	Dialect forward.Dialect
	// Budget limits the retries.
	Budget forward.RetryBudgetLimits
	// RevokeBound is the maximum age of a view confirmation at which calls with a key are
	// still served. 0 selects the default of package forward.
	RevokeBound time.Duration
	// WatchControlAddresses calls update whenever the link addresses of the control
	// replicas in the settings change, until ctx ends. It may be nil.
	WatchControlAddresses func(ctx context.Context, update func(addresses []string))
	// ReportRates makes the router report its rates of calls to the leader, which limits engines
	// that start by them.
	ReportRates bool
	// WeightsBound is the time after newer weights were named within which calls must have begun on
	// outdated ones; see forward.Options. 0 means that there is no such time.
	WeightsBound time.Duration
}

// Limits and timing of the listeners for callers and for readiness checks.
const (
	headerTimeout           = 10 * time.Second
	callerIdleTimeout       = 60 * time.Second
	maxHeaderBytes          = 64 << 10
	maxReadinessConnections = 64
	// readinessDropTime is the time from reporting unready at a planned stop until the
	// router stops accepting connections. It is long enough for two checks of a load
	// balancer that checks every second.
	readinessDropTime = 2200 * time.Millisecond
)

// RunRouter serves callers until the planned stop.
func RunRouter(o RouterOptions) error {
	p, err := daemon.NewProcess(o.Settings, link.RoleRouter)
	if err != nil {
		return err
	}
	views := view.NewLog(view.DefaultLogLimits())
	client := controlclient.New(p.Pool, o.Settings.Control, views.Version)
	var forwarder *forward.Forwarder
	digests := control.NewDigestTracker()
	streams := streamrecord.NewDirectory(o.Settings.Address(), p.Pool)
	driver := follow.New(follow.Options{
		Role: view.RoleRouter, Seed: RandomSeed(o.Settings.Name), Log: views, Pool: p.Pool,
		Sources: controlSources(o.Settings.Control, ""), SelfAddress: o.Settings.Address(),
		OnControlChanged: client.SetAddresses,
		OnLoads: func(digest *wire.LoadDigest) {
			digests.Put(digest)
			forwarder.ApplyLoads(digest)
			streams.Told(digest.GetRouters())
		},
	})
	forwarder = forward.New(forward.Options{
		Domain: o.Settings.Domain, Seed: RandomSeed(o.Settings.Name), Views: views.Store(), Freshness: driver.Freshness, SourceAddress: driver.SourceAddress,
		Dialect: o.Dialect, Control: client, Permits: client, Unreachable: client, Streams: streams, Budget: o.Budget, ReportRates: o.ReportRates, RevokeBound: o.RevokeBound, WeightsBound: o.WeightsBound, Targets: views.Targets(),
	})
	daemon.PublishView(views, driver)
	go driver.Run(p.Context)
	if o.WatchControlAddresses != nil {
		go o.WatchControlAddresses(p.Context, func(addresses []string) { driver.SetConfiguredSources(controlSources(addresses, "")) })
	}
	go forwarder.Run(p.Context)
	go streams.Run(p.Context, client.Hello)
	watches := follow.NewServer(views, driver.Freshness, view.MaxWatchesOther)
	watches.ControlAddresses = driver.ControlAddresses
	watches.LoadDigest = digests.Digest // for routers that follow this one
	if err := p.Serve(routerHandler(streams, ViewHandler(watches, link.RoleRouter)), forwarder.Ready); err != nil {
		return err
	}
	var stopping atomic.Bool
	stopReady, err := ServeHTTP(p, o.ReadinessListen, "readiness", maxReadinessConnections, &http.Server{
		Handler: readinessHandler(o.ReadinessPath, forwarder, &stopping), ReadTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, nil)
	if err != nil {
		return err
	}
	stop, err := ServeHTTP(p, o.Listen, "callers", o.MaxConnections, &http.Server{
		Handler: forwarder, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}, forwarder.AnswerWaiting)
	if err != nil {
		return err
	}
	event.Listening(o.Listen, "callers")
	p.OnStop = func(endsAt time.Time) {
		stopping.Store(true)
		now := time.Now()
		forwarder.BeginShutdown(forward.StopTimes{Began: now, ListenerCloses: now.Add(daemon.ReadinessGrace + readinessDropTime), Ends: endsAt})
	}
	p.StopCounts = forwarder.StopCounts
	return p.Wait(func(ctx context.Context) {
		backoff.Sleep(ctx, readinessDropTime)
		watches.Close()
		stop(ctx)
		stopReady(ctx)
	})
}

// readinessHandler answers 200 while the router takes calls, and 503 otherwise. It logs
// each change.
func readinessHandler(path string, forwarder *forward.Forwarder, stopping *atomic.Bool) http.Handler {
	var lastReady atomic.Bool
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		err := forwarder.Ready()
		if stopping.Load() {
			err = errors.New("stopping")
		}
		if lastReady.Swap(err == nil) != (err == nil) {
			event.ReadinessChanged(err)
		}
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// routerHandler serves the records of streams to other routers, and other calls by next.
func routerHandler(streams *streamrecord.Directory, next link.Handler) link.Handler {
	return link.HandlerFunc(func(ctx context.Context, call *link.Call) error {
		if ok, err := streams.Serve(call); ok {
			return err
		}
		return next.ServeLink(ctx, call)
	})
}

// ViewHandler serves the view to other processes and answers pings.
func ViewHandler(server *follow.Server, role string) link.Handler {
	return link.HandlerFunc(func(ctx context.Context, call *link.Call) error {
		if ok, err := server.Serve(ctx, call); ok {
			return err
		}
		if call.Request.GetPing() != nil {
			return call.Send(&wire.Response{Body: &wire.Response_Pong{Pong: &wire.Pong{Role: role}}})
		}
		return fault.New(fault.BadRequest, fault.NotRun, "a %s doesn't take this call", role)
	})
}

// controlSources returns the control addresses, except self, as sources of the view.
func controlSources(addresses []string, self string) []view.Source {
	var out []view.Source
	for _, address := range addresses {
		if address == self {
			continue
		}
		out = append(out, view.Source{Address: address, Role: view.RoleControl})
	}
	return out
}

// RandomSeed derives the random seed of a process from its name.
func RandomSeed(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}
