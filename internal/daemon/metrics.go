package daemon

import (
	"context"
	"expvar"
	"reflect"
	"strings"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/follow"
	"parsleypulley/internal/link"
	"parsleypulley/internal/view"
)

// Views returns the newest view that a process has.
type Views interface {
	Snapshot() *view.Snapshot
	Version() uint64
}

// PublishView publishes the state of the view as expvar metrics. driver may be nil;
// the metrics of the view's source are then omitted.
func PublishView(views Views, driver *follow.Driver) {
	expvar.Publish("view_version", expvar.Func(func() any { return views.Version() }))
	expvar.Publish("config_revision", expvar.Func(func() any { return views.Snapshot().Config.Revision }))
	expvar.Publish("view_members", expvar.Func(func() any { return len(views.Snapshot().Members()) }))
	if driver == nil {
		return
	}
	expvar.Publish("view_confirmed", expvar.Func(func() any { return driver.Freshness().Confirmed }))
	expvar.Publish("view_source", expvar.Func(func() any { return driver.SourceAddress() }))
}

// PublishReplica publishes the state of a control replica as expvar metrics.
func PublishReplica(status func() consensus.Status) {
	expvar.Publish("consensus_term", expvar.Func(func() any { return status().Term }))
	expvar.Publish("consensus_role", expvar.Func(func() any { return status().Role.String() }))
	expvar.Publish("consensus_commit_index", expvar.Func(func() any { return status().Commit }))
	expvar.Publish("consensus_applied_index", expvar.Func(func() any { return status().Applied }))
	expvar.Publish("consensus_replicas", expvar.Func(func() any { return len(status().Replicas) }))
	expvar.Publish("consensus_voters", expvar.Func(func() any { return status().Voters() }))
	expvar.Publish("consensus_declared_losses", expvar.Func(func() any { return status().DeclaredLosses }))
	expvar.Publish("consensus_bearable_losses", expvar.Func(func() any { return status().BearableLosses }))
	expvar.Publish("consensus_forming", expvar.Func(func() any { return status().Forming }))
	expvar.Publish("consensus_confirmed", expvar.Func(func() any { return status().Confirmed }))
}

// linkCalls counts the link calls received from other processes, by kind.
var linkCalls = expvar.NewMap("link_calls_by_kind")

// oneofPrefix is the prefix of the generated types for the kinds of calls, such as
// wire.Request_Ping.
const oneofPrefix = "Request_"

// countCalls returns a handler that counts the calls to handler in linkCalls.
func countCalls(handler link.Handler) link.Handler {
	return link.HandlerFunc(func(ctx context.Context, call *link.Call) error {
		if body := call.Request.Body; body != nil {
			linkCalls.Add(strings.TrimPrefix(reflect.TypeOf(body).Elem().Name(), oneofPrefix), 1)
		}
		return handler.ServeLink(ctx, call)
	})
}
