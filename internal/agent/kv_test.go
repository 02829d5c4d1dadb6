package agent

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/standin"
	"parsleypulley/internal/wire"
)

const levelKey = 4711

// longChat returns a request whose prompt is one level of about 250 tokens.
func longChat(id string) *wire.Dispatch {
	d := chat(id, strings.Repeat("the clamp template ", 50), 3, true)
	d.Levels = []*wire.PrefixLevel{{Key: levelKey, Tokens: 240}}
	return d
}

func (b *bench) probe(t testing.TB) *wire.ProbeReply {
	t.Helper()
	resp, err := b.pool.Call(context.Background(), b.address, &wire.Request{Body: &wire.Request_Probe{Probe: &wire.Probe{Keys: []uint64{levelKey, 99}}}})
	must(t, err)
	return resp.GetProbeReply()
}

func TestProbeTellsHoldingsOfThePresentLife(t *testing.T) {
	is := is.New(t)
	b := newBench(t, standin.Options{}, nil)
	is.Equal(b.probe(t).Held, nil)
	_, err := b.do(context.Background(), longChat("r1"))
	is.NoErr(err)
	p := b.probe(t)
	is.Equal(p.Held, []uint64{levelKey})
	is.Equal(p.EngineIncarnation, b.standin.Incarnation())
	is.True(!p.Draining)
	old := b.standin.Incarnation()
	b.standin.Crash()
	b.waitUp(t, old)
	is.Equal(b.probe(t).Held, nil) // the new life holds nothing
}

func TestEvictionIsLearntFromLateAndLossyEvents(t *testing.T) {
	is := is.New(t)
	b := newBench(t, standin.Options{CacheBlocks: 20, EventLoss: 0.5, Seed: 3}, nil)
	_, err := b.do(context.Background(), longChat("r1"))
	is.NoErr(err)
	is.Equal(b.probe(t).Held, []uint64{levelKey})
	other := chat("r2", strings.Repeat("another farm's report ", 50), 3, true)
	_, err = b.do(context.Background(), other)
	is.NoErr(err)
	eventually(t, func() bool { return len(b.probe(t).Held) == 0 })
}

// holding returns an agent whose engine holds the level and knows its blocks.
func holding(t testing.TB) *bench {
	t.Helper()
	b := newBench(t, standin.Options{}, nil)
	_, err := b.do(context.Background(), longChat("r1"))
	must(t, err)
	eventually(t, func() bool {
		b.agent.mu.Lock()
		defer b.agent.mu.Unlock()
		return b.agent.digest.NextSequence() > 1
	})
	return b
}

func TestCachedStateMovesToAnotherEngine(t *testing.T) {
	is := is.New(t)
	source := holding(t)
	b := newBench(t, standin.Options{}, func(c *Config) { c.KV = LinkKVFetcher{Pool: source.pool} })
	d := longChat("r2")
	d.KvSource = source.address
	r, err := b.do(context.Background(), d)
	is.NoErr(err)
	is.True(r.end.CachedTokens >= 224) // not recomputed
	is.Equal(streamText(t, r.chunks), output(t, d, 3))
}

func TestCachedStateIsRefused(t *testing.T) {
	fetch := func() *wire.KVFetch {
		return &wire.KVFetch{Account: "indus", Model: testModel, WeightsVersion: testVersion, Key: levelKey, Tokens: 240, CacheSalt: "salt-indus"}
	}
	for _, test := range []struct {
		name   string
		change func(f *wire.KVFetch)
		crash  bool
	}{
		{"another account", func(f *wire.KVFetch) { f.Account = "sajha" }, false},
		{"another account's salt", func(f *wire.KVFetch) { f.CacheSalt = "salt-sajha" }, false},
		{"older weights", func(f *wire.KVFetch) { f.WeightsVersion = "v0" }, false},
		{"unknown level", func(f *wire.KVFetch) { f.Key++ }, false},
		{"dead engine life", func(*wire.KVFetch) {}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := holding(t)
			if test.crash {
				old := b.standin.Incarnation()
				b.standin.Crash()
				b.waitUp(t, old)
			}
			f := fetch()
			test.change(f)
			_, err := b.pool.Call(context.Background(), b.address, &wire.Request{Body: &wire.Request_KvFetch{KvFetch: f}})
			is.True(fault.Is(err, fault.NotFound))
		})
	}
}

// forgedKV answers with state that is not what was asked for.
type forgedKV struct{ blob *wire.KVBlob }

func (f forgedKV) FetchKV(context.Context, string, *wire.KVFetch) (*wire.KVBlob, error) {
	return f.blob, nil
}

func TestForeignStateIsNotImported(t *testing.T) {
	for name, blob := range map[string]*wire.KVBlob{
		"another account": {EngineIncarnation: 5, Data: []byte(`{"incarnation":5,"model":"assessor","weights_version":"v1","cache_salt":"salt-sajha","blocks":["1"]}`)},
		"older weights":   {EngineIncarnation: 5, Data: []byte(`{"incarnation":5,"model":"assessor","weights_version":"v0","cache_salt":"salt-indus","blocks":["1"]}`)},
		"another life":    {EngineIncarnation: 5, Data: []byte(`{"incarnation":4,"model":"assessor","weights_version":"v1","cache_salt":"salt-indus","blocks":["1"]}`)},
		"garbage":         {EngineIncarnation: 5, Data: []byte(`{`)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, standin.Options{}, func(c *Config) { c.KV = forgedKV{blob} })
			d := longChat("r1")
			d.KvSource = "127.0.0.1:1"
			r, err := b.do(context.Background(), d)
			is.NoErr(err) // the request runs without it
			is.Equal(r.end.CachedTokens, uint32(0))
			load, err := b.engine.Load(context.Background())
			is.NoErr(err)
			is.True(load.CacheBlocksUsed <= 16) // only the request's own blocks
		})
	}
}

func TestNewerViewIsSignalled(t *testing.T) {
	is := is.New(t)
	var version, revision atomic.Uint64
	b := newBench(t, standin.Options{}, func(c *Config) {
		c.View = func() (uint64, uint64) { return 10, 3 }
		c.OnNewerView = func(v, r uint64) { version.Store(v); revision.Store(r) }
	})
	d := chat("r1", "p", 3, true)
	d.ConfigRevision = 3
	_, err := b.do(context.Background(), d)
	is.NoErr(err)
	is.Equal(revision.Load(), uint64(0)) // not newer
	d = chat("r2", "p", 3, true)
	d.ConfigRevision = 4
	_, err = b.do(context.Background(), d)
	is.NoErr(err)
	is.Equal(revision.Load(), uint64(4))
	resp, err := b.pool.Call(context.Background(), b.address, &wire.Request{ViewVersion: 11, Body: &wire.Request_Probe{Probe: &wire.Probe{}}})
	is.NoErr(err)
	is.Equal(version.Load(), uint64(11))
	is.Equal(resp.ViewVersion, uint64(10))
}

func TestSpansOfTheHopsContinueTheCallersTrace(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(spans)))
	defer otel.SetTracerProvider(before)
	b := newBench(t, standin.Options{Kind: standin.KindService}, nil)
	req := dispatchRequest(booking("r1", "k1", 7, "x", b.agent.Incarnation()))
	req.Traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	s, err := b.pool.Open(context.Background(), b.address, req)
	is.NoErr(err)
	defer s.Close()
	r := &reply{}
	is.NoErr(r.read(s, allChunks))
	eventually(t, func() bool { return len(spans.Ended()) == 2 })
	engine, hop := spans.Ended()[0], spans.Ended()[1]
	is.Equal(engine.Name(), "engine.run")
	is.Equal(hop.Name(), "agent.dispatch")
	is.Equal(hop.SpanContext().TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	is.Equal(hop.Parent().SpanID().String(), "b7ad6b7169203331")
	is.Equal(engine.Parent().SpanID(), hop.SpanContext().SpanID())
	is.True(strings.Contains(r.text(), "00-0af7651916cd43dd8448eb211c80319c-"+engine.SpanContext().SpanID().String()))
}
