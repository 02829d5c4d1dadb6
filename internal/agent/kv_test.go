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

// longChat returns a request whose prompt has one level of about 250 tokens.
func longChat(id string) *wire.Dispatch {
	d := chat(id, strings.Repeat("the clamp template ", 50), 3, true)
	d.Levels = []*wire.PrefixLevel{{Key: levelKey, Tokens: 240}}
	return d
}

func (h *harness) probe(t testing.TB) *wire.ProbeReply {
	t.Helper()
	resp, err := h.pool.Call(context.Background(), h.address, &wire.Request{Body: &wire.Request_Probe{Probe: &wire.Probe{Keys: []uint64{levelKey, 99}}}})
	must(t, err)
	return resp.GetProbeReply()
}

func TestProbeReportsPrefixesOfCurrentIncarnation(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{}, nil)
	is.Equal(h.probe(t).Held, nil)
	_, err := h.do(context.Background(), longChat("r1"))
	is.NoErr(err)
	p := h.probe(t)
	is.Equal(p.Held, []uint64{levelKey})
	is.Equal(p.EngineIncarnation, h.standin.Incarnation())
	is.True(!p.Draining)
	old := h.standin.Incarnation()
	h.standin.Crash()
	h.waitUp(t, old)
	is.Equal(h.probe(t).Held, nil) // the new incarnation has an empty cache
}

func TestEvictionIsDetectedDespiteLostEvents(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, standin.Options{CacheBlocks: 20, EventLoss: 0.5, Seed: 3}, nil)
	_, err := h.do(context.Background(), longChat("r1"))
	is.NoErr(err)
	is.Equal(h.probe(t).Held, []uint64{levelKey})
	other := chat("r2", strings.Repeat("another farm's report ", 50), 3, true)
	_, err = h.do(context.Background(), other)
	is.NoErr(err)
	eventually(t, func() bool { return len(h.probe(t).Held) == 0 })
}

// newHarnessWithCachedLevel returns an agent whose engine holds the level of
// longChat. The agent has read the cache events with its blocks.
func newHarnessWithCachedLevel(t testing.TB) *harness {
	t.Helper()
	h := newHarness(t, standin.Options{}, nil)
	_, err := h.do(context.Background(), longChat("r1"))
	must(t, err)
	eventually(t, func() bool {
		h.agent.mu.Lock()
		defer h.agent.mu.Unlock()
		return h.agent.prefixIndex.NextSequence() > 1
	})
	return h
}

func TestCachedStateIsImportedFromAnotherAgent(t *testing.T) {
	is := is.New(t)
	source := newHarnessWithCachedLevel(t)
	h := newHarness(t, standin.Options{}, func(c *Config) { c.KV = LinkKVFetcher{Pool: source.pool} })
	d := longChat("r2")
	d.KvSource = source.address
	r, err := h.do(context.Background(), d)
	is.NoErr(err)
	is.True(r.end.CachedTokens >= 224) // not recomputed
	is.Equal(streamText(t, r.chunks), expectedOutput(t, d, 3))
}

func TestInvalidKVFetchIsRefused(t *testing.T) {
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
		{"previous engine incarnation", func(*wire.KVFetch) {}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarnessWithCachedLevel(t)
			if test.crash {
				old := h.standin.Incarnation()
				h.standin.Crash()
				h.waitUp(t, old)
			}
			f := fetch()
			test.change(f)
			_, err := h.pool.Call(context.Background(), h.address, &wire.Request{Body: &wire.Request_KvFetch{KvFetch: f}})
			is.True(fault.Is(err, fault.NotFound))
		})
	}
}

// forgedKV is a KVFetcher that returns blob, whatever state is requested.
type forgedKV struct{ blob *wire.KVBlob }

func (f forgedKV) FetchKV(context.Context, string, *wire.KVFetch) (*wire.KVBlob, error) {
	return f.blob, nil
}

func TestMismatchedCachedStateIsNotImported(t *testing.T) {
	for name, blob := range map[string]*wire.KVBlob{
		"another account":   {EngineIncarnation: 5, Data: []byte(`{"incarnation":5,"model":"assessor","weights_version":"v1","cache_salt":"salt-sajha","blocks":["1"]}`)},
		"older weights":     {EngineIncarnation: 5, Data: []byte(`{"incarnation":5,"model":"assessor","weights_version":"v0","cache_salt":"salt-indus","blocks":["1"]}`)},
		"other incarnation": {EngineIncarnation: 5, Data: []byte(`{"incarnation":4,"model":"assessor","weights_version":"v1","cache_salt":"salt-indus","blocks":["1"]}`)},
		"garbage":           {EngineIncarnation: 5, Data: []byte(`{`)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, standin.Options{}, func(c *Config) { c.KV = forgedKV{blob} })
			d := longChat("r1")
			d.KvSource = "127.0.0.1:1"
			r, err := h.do(context.Background(), d)
			is.NoErr(err) // the request runs without the cached state
			is.Equal(r.end.CachedTokens, uint32(0))
			load, err := h.engine.Load(context.Background())
			is.NoErr(err)
			is.True(load.CacheBlocksUsed <= 16) // only the request's own blocks
		})
	}
}

func TestNewerViewIsReported(t *testing.T) {
	is := is.New(t)
	var version, revision atomic.Uint64
	h := newHarness(t, standin.Options{}, func(c *Config) {
		c.View = func() (uint64, uint64) { return 10, 3 }
		c.OnNewerView = func(v, r uint64) { version.Store(v); revision.Store(r) }
	})
	d := chat("r1", "p", 3, true)
	d.ConfigRevision = 3
	_, err := h.do(context.Background(), d)
	is.NoErr(err)
	is.Equal(revision.Load(), uint64(0)) // not newer
	d = chat("r2", "p", 3, true)
	d.ConfigRevision = 4
	_, err = h.do(context.Background(), d)
	is.NoErr(err)
	is.Equal(revision.Load(), uint64(4))
	resp, err := h.pool.Call(context.Background(), h.address, &wire.Request{ViewVersion: 11, Body: &wire.Request_Probe{Probe: &wire.Probe{}}})
	is.NoErr(err)
	is.Equal(version.Load(), uint64(11))
	is.Equal(resp.ViewVersion, uint64(10))
}

func TestSpansContinueCallersTrace(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(spans)))
	defer otel.SetTracerProvider(before)
	h := newHarness(t, standin.Options{Kind: standin.KindService}, nil)
	req := dispatchRequest(booking("r1", "k1", 7, "x", h.agent.Incarnation()))
	req.Traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	s, err := h.pool.Open(context.Background(), h.address, req)
	is.NoErr(err)
	defer s.Close()
	r := &reply{}
	is.NoErr(r.read(s, allChunks))
	eventually(t, func() bool { return len(spans.Ended()) == 2 })
	engine, dispatch := spans.Ended()[0], spans.Ended()[1]
	is.Equal(engine.Name(), "engine.run")
	is.Equal(dispatch.Name(), "agent.dispatch")
	is.Equal(dispatch.SpanContext().TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	is.Equal(dispatch.Parent().SpanID().String(), "b7ad6b7169203331")
	is.Equal(engine.Parent().SpanID(), dispatch.SpanContext().SpanID())
	is.True(strings.Contains(r.text(), "00-0af7651916cd43dd8448eb211c80319c-"+engine.SpanContext().SpanID().String()))
}
