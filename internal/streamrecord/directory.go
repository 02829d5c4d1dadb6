package streamrecord

import (
	"context"
	"expvar"
	"sync"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/event"
	"parsleypulley/internal/link"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/wire"
)

const (
	// batchDelay is the time in which records for one router are gathered.
	batchDelay = 10 * time.Millisecond
	// maxBatch limits the records that wait for one router; further ones are dropped.
	maxBatch = 1024
	// sendTimeout limits the time to tell a router, and lookupTimeout that to ask some.
	sendTimeout   = 400 * time.Millisecond
	lookupTimeout = 150 * time.Millisecond
	helloTimeout  = time.Second
	// agreeTime is how long further answers are waited for after the first router that knows a
	// stream: another one may know that different software was told. It covers the round trips
	// to routers that run.
	agreeTime = 25 * time.Millisecond
)

// records counts what happens to records, by kind.
var records = expvar.NewMap("stream_records")

// peers is the number of other routers that this one knows.
var peers = expvar.NewInt("stream_peers")

// Caller calls other processes by link.
type Caller interface {
	Call(ctx context.Context, address string, req *wire.Request) (*wire.Response, error)
	// Tell sends a request to which there is no response.
	Tell(ctx context.Context, address string, req *wire.Request) error
}

// Directory keeps and finds records. It is safe for concurrent use.
type Directory struct {
	self   string
	caller Caller

	mu    sync.Mutex
	table *Table
	peers *Peers
	rate  rate
	// outbox holds the records that wait to be sent, by link address.
	outbox map[string]map[Software][]uint64
}

// NewDirectory returns the Directory of the router with the link address self.
func NewDirectory(self string, caller Caller) *Directory {
	return &Directory{self: self, caller: caller, table: NewTable(), peers: NewPeers(self), outbox: map[string]map[Software][]uint64{}}
}

// Run tells the leader that this router runs, until ctx ends.
func (d *Directory) Run(ctx context.Context, hello func(ctx context.Context, address string) error) {
	failed := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
		err := hello(callCtx, d.self)
		cancel()
		if err != nil && !failed && ctx.Err() == nil {
			event.RouterNotListed(err)
		}
		failed = err != nil
		if !backoff.Sleep(ctx, HelloInterval) {
			return
		}
	}
}

// Told records a list of routers.
func (d *Directory) Told(addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.Told(time.Now(), addresses)
	peers.Set(int64(len(d.peers.listedAt)))
}

// Began records which software began a stream, and tells other routers in the background.
func (d *Directory) Began(key Key, software Software) {
	records.Add("begun", 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.tell(now, key, software, d.rate.copies(now))
}

// tell records the software of a stream, and tells that number of other routers in the
// background. d.mu must be held.
func (d *Directory) tell(now time.Time, key Key, software Software, copies int) {
	d.table.Put(now, key, software)
	for _, address := range d.peers.Holders(key, copies) {
		batch := d.outbox[address]
		if batch == nil {
			batch = map[Software][]uint64{}
			d.outbox[address] = batch
			time.AfterFunc(batchDelay, func() { recovery.Run("stream records", func() { d.flush(address) }) })
		}
		if len(batch[software]) < maxBatch {
			batch[software] = append(batch[software], uint64(key))
		}
	}
}

// Contradict records that the software that was recorded for a stream may be wrong, and tells all
// routers that may be asked in the background, also while streams begin fast: any of them may keep
// the record.
func (d *Directory) Contradict(key Key) {
	records.Add("contradicted", 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tell(time.Now(), key, Contradicted, askedRouters)
}

// flush sends the records that wait for a router.
func (d *Directory) flush(address string) {
	d.mu.Lock()
	batch := d.outbox[address]
	delete(d.outbox, address)
	d.mu.Unlock()
	message := &wire.StreamRecords{}
	for software, streams := range batch {
		message.Groups = append(message.Groups, &wire.StreamRecordGroup{Software: uint64(software), Streams: streams})
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := d.caller.Tell(ctx, address, &wire.Request{Body: &wire.Request_StreamRecords{StreamRecords: message}}); err != nil {
		records.Add("not_sent", 1) // the other copies remain
	}
}

// Find returns the software that began a stream, or Unknown. It asks other routers if this one
// has no record.
func (d *Directory) Find(ctx context.Context, key Key) Software {
	d.mu.Lock()
	software, recorded := d.table.Get(key)
	holders := d.peers.Holders(key, askedRouters)
	d.mu.Unlock()
	if !recorded {
		software = d.ask(ctx, key, holders)
	}
	if software == Contradicted {
		software = Unknown
	}
	if software == Unknown {
		records.Add("unknown", 1)
	} else {
		records.Add("found", 1)
	}
	return software
}

// ask returns the answer of routers that know a stream, or Contradicted if they differ.
func (d *Directory) ask(ctx context.Context, key Key, holders []string) Software {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answers := make(chan Software, len(holders))
	for _, address := range holders {
		go func() {
			resp, err := d.caller.Call(ctx, address, &wire.Request{Body: &wire.Request_StreamLookup{StreamLookup: &wire.StreamLookup{Stream: uint64(key)}}})
			if err != nil {
				answers <- Unknown // as good as a router that does not know
				return
			}
			answers <- Software(resp.GetStreamSoftware().GetSoftware())
		}()
	}
	found := Unknown
	var agreed <-chan time.Time
	for range holders {
		select {
		case software := <-answers:
			switch {
			case software == Unknown || software == found:
			case found == Unknown && software != Contradicted:
				found, agreed = software, time.After(agreeTime)
			default:
				return Contradicted
			}
		case <-agreed:
			return found
		case <-ctx.Done():
			return found
		}
	}
	return found
}

// Serve handles a call of another router, and reports whether it is one for the Directory.
func (d *Directory) Serve(call *link.Call) (bool, error) {
	switch body := call.Request.Body.(type) {
	case *wire.Request_StreamRecords:
		if err := call.RequireRole(link.RoleRouter); err != nil {
			return true, err
		}
		d.keep(body.StreamRecords)
		return true, nil
	case *wire.Request_StreamLookup:
		if err := call.RequireRole(link.RoleRouter); err != nil {
			return true, err
		}
		return true, call.Send(d.answer(body.StreamLookup))
	}
	return false, nil
}

// answer answers another router that asks for a stream.
func (d *Directory) answer(lookup *wire.StreamLookup) *wire.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	software, _ := d.table.Get(Key(lookup.GetStream()))
	return &wire.Response{Body: &wire.Response_StreamSoftware{StreamSoftware: &wire.StreamSoftware{Software: uint64(software)}}}
}

// keep records what another router tells.
func (d *Directory) keep(message *wire.StreamRecords) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, group := range message.GetGroups() {
		for _, stream := range group.GetStreams() {
			d.table.Put(time.Now(), Key(stream), Software(group.GetSoftware()))
		}
		records.Add("kept", int64(len(group.GetStreams())))
	}
}
