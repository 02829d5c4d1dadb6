package forward

import (
	"context"
	"errors"
	"net"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/streamrecord"
	"parsleypulley/internal/wire"
)

// StreamDirectory keeps the knowledge which software began a stream, for all routers.
type StreamDirectory interface {
	// Began records which software began a stream.
	Began(key streamrecord.Key, software streamrecord.Software)
	// Find returns the software that began a stream, or streamrecord.Unknown.
	Find(ctx context.Context, key streamrecord.Key) streamrecord.Software
	// Contradict records that no server may go on with a stream.
	Contradict(key streamrecord.Key)
}

// streamKey returns the key of the call's stream: the call that brought its first event.
func (c *forwardedCall) streamKey() streamrecord.Key {
	id := c.call.ID
	if c.call.LastEventID != "" {
		id = c.call.BeganAs
	}
	return streamrecord.KeyOf(c.account.GetName(), id)
}

// bindStarted binds a stream of which the caller is about to get the first event of this call to
// the software that sends it, and records that.
func (c *forwardedCall) bindStarted(d *routing.Decision) {
	c.bound, c.softwareVersion, c.startedBy, c.recordedAt = true, d.Backend.GetSoftwareVersion(), d.Backend, time.Now()
	c.startedAt, c.startKnown = steady.Now(), c.f.runs.isKnown(d.Backend)
	if c.f.opts.Streams != nil && c.route.GetResumable() {
		c.f.starts.add(c.startedAt, c.streamKey(), d.Backend, c.f.opts.Views.Load(), c.startKnown)
	}
}

// recordRefresh is the time after which the record of a stream that goes on is told again: routers
// keep records for at least a minute (streamrecord).
const recordRefresh = 40 * time.Second

// refreshRecord tells again which software began a stream that is still running.
func (c *forwardedCall) refreshRecord(now time.Time) {
	if c.startedBy == nil || c.f.opts.Streams == nil || !c.route.GetResumable() || now.Sub(c.recordedAt) < recordRefresh {
		return
	}
	c.recordedAt = now
	fresh := c.f.opts.Freshness() // before the view; see currentView
	if fresh.Confirmed && !c.softwareDoubtful() {
		c.f.starts.record(c.streamKey(), c.startedBy)
	}
}

// softwareDoubtful reports whether it is not known which run of its server sent the stream so far: that
// was doubtful at its first event and is not known since, or the server has started anew under its name.
func (c *forwardedCall) softwareDoubtful() bool {
	if c.startedBy == nil {
		return false
	}
	if c.startKnown {
		return isOtherRun(c.f.opts.Views.Load(), c.startedBy)
	}
	known, _ := c.f.runs.runAt(c.startedBy, c.startedAt)
	return !known
}

// errRunDoubtful is returned for the response of a server that is to go on with a stream and may have
// started anew, with other software, since the view that this router has.
var errRunDoubtful = errors.New("it is not known which run of the backend server goes on with the stream")

// mayJoin returns an error unless the response of a backend server may go on with the stream.
func (c *forwardedCall) mayJoin(b *wire.Backend) error {
	if c.f.runs.isKnown(b) {
		return nil
	}
	runDoubts.Add("not_joined", 1)
	return errRunDoubtful
}

// recordBreak records whether an attempt failed in a way that a server which has ended causes too: its
// connection broke, or none could be opened.
func (c *forwardedCall) recordBreak(b *wire.Backend, fail *failure) {
	var network *net.OpError
	switch {
	case errors.Is(context.Cause(c.ctx), errUnreachable), isTimeout(fail.err) && fail.outcome == Unsent && c.ctx.Err() == nil:
		c.f.runs.sign(b, signUnreachable)
	case connectionEnded(fail.err), fail.outcome == Unsent && errors.As(fail.err, &network) && c.ctx.Err() == nil:
		c.f.runs.sign(b, signBroken)
	}
}

// bindResumed binds a call that goes on with a stream to the software that began it. It selects
// the service to which that belongs, among those of the route.
func (c *forwardedCall) bindResumed(ctx context.Context) error {
	if c.call.LastEventID == "" || !c.route.GetStream() {
		return nil
	}
	software := streamrecord.Unknown
	if c.f.opts.Streams != nil && c.call.BeganAs != "" {
		software = c.f.opts.Streams.Find(ctx, c.streamKey())
	}
	if software == streamrecord.Unknown {
		return fault.New(fault.Unavailable, fault.NotRun, "it is not known which software began the stream")
	}
	for _, m := range c.f.opts.Views.Load().Members() {
		b := m.GetBackend()
		if streamrecord.SoftwareOf(b.GetService(), b.GetSoftwareVersion()) == software && c.mayUse(b.GetService()) {
			c.bound, c.softwareVersion, c.service = true, b.GetSoftwareVersion(), b.GetService()
			return nil
		}
	}
	return fault.New(fault.NoBackend, fault.NotRun, "no backend server has the software that began the stream")
}

// mayUse reports whether the route forwards calls to a service.
func (c *forwardedCall) mayUse(service string) bool {
	for _, part := range c.route.GetSplit() {
		if part.GetService() == service && part.GetWeight() > 0 {
			return true
		}
	}
	return false
}
