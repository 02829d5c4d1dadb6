package agent

import (
	"context"
	"time"

	"parsleypulley/internal/agent/gate"
	"parsleypulley/internal/agent/holdings"
	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// KVFetcher fetches cached state from the agent at a link address.
type KVFetcher interface {
	FetchKV(ctx context.Context, address string, req *wire.KVFetch) (*wire.KVBlob, error)
}

// LinkKVFetcher is a KVFetcher that calls the other agent over a link.
type LinkKVFetcher struct{ Pool *link.Pool }

// FetchKV implements KVFetcher.
func (l LinkKVFetcher) FetchKV(ctx context.Context, address string, req *wire.KVFetch) (*wire.KVBlob, error) {
	resp, err := l.Pool.Call(ctx, address, &wire.Request{Body: &wire.Request_KvFetch{KvFetch: req}})
	if err != nil {
		return nil, err
	}
	blob := resp.GetKvBlob()
	if blob == nil {
		return nil, fault.New(fault.StreamBroken, fault.Unknown, "answer without cached state")
	}
	return blob, nil
}

// serveKVFetch sends the cached state of a prompt level, if the current engine
// incarnation holds that level for the requested owner.
func (a *Agent) serveKVFetch(ctx context.Context, call *link.Call, f *wire.KVFetch) error {
	if err := call.RequireRole(link.RoleAgent); err != nil {
		return err
	}
	if a.engine.PlainService() {
		return fault.New(fault.NotFound, fault.NotRun, "a plain service has no cached state")
	}
	requested := holdings.Owner{Account: f.Account, Model: f.Model, WeightsVersion: f.WeightsVersion, Adapter: f.Adapter, CacheSalt: f.CacheSalt}
	a.mu.Lock()
	level, ok := a.prefixIndex.Find(time.Now(), requested, f.Key)
	incarnation := a.gate.Status().Incarnation
	a.mu.Unlock()
	if !ok {
		return fault.New(fault.NotFound, fault.NotRun, "the engine does not hold this prefix of this client account and version")
	}
	data, err := a.engine.ExportKV(ctx, exportRequest(level))
	if err != nil {
		return err
	}
	if err := a.checkBlob(data, requested, incarnation); err != nil {
		return err
	}
	if a.Status().Incarnation != incarnation {
		return fault.New(fault.StaleIncarnation, fault.NotRun, "the engine life that held the prefix is over")
	}
	return a.send(call, &wire.Response{Body: &wire.Response_KvBlob{KvBlob: &wire.KVBlob{Data: data, EngineIncarnation: incarnation}}})
}

// checkBlob returns an error if the cached state belongs to another owner, weights
// version or engine incarnation.
func (a *Agent) checkBlob(data []byte, want holdings.Owner, incarnation uint64) error {
	info, err := a.engine.InspectKV(data)
	if err != nil {
		return fault.New(fault.StreamBroken, fault.NotRun, "cached state: %w", err)
	}
	if info.CacheSalt != want.CacheSalt {
		return fault.New(fault.Forbidden, fault.NotRun, "cached state of another client account")
	}
	if info.Model != want.Model || info.WeightsVersion != want.WeightsVersion {
		return fault.New(fault.StaleWeights, fault.NotRun, "cached state of weights %q, want %q", info.WeightsVersion, want.WeightsVersion)
	}
	if info.Incarnation != incarnation {
		return fault.New(fault.StaleIncarnation, fault.NotRun, "cached state of engine life %d, want %d", info.Incarnation, incarnation)
	}
	return nil
}

// maxFetchLevels is the number of levels that fetchPrefix tries, deepest first.
const maxFetchLevels = 3

// fetchPrefix imports cached state for the prompt from the agent that the router
// named as the source. It tries the deepest levels first and imports one level. It
// stops without an import at a level that its own engine holds already. If the
// import fails, the request runs without it and is only slower.
func (a *Agent) fetchPrefix(ctx context.Context, d *wire.Dispatch, t gate.Ticket) {
	if d.KvSource == "" || d.KvSource == a.config.Address || a.config.KV == nil || a.engine.PlainService() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, a.config.Timings.KVTimeout)
	defer cancel()
	for i := len(d.Levels) - 1; i >= 0 && i >= len(d.Levels)-maxFetchLevels; i-- {
		if a.holds(d.Levels[i].Key) {
			return
		}
		err := a.importLevel(ctx, d, d.Levels[i], t)
		if err == nil {
			kvImports.Add("imported", 1)
			return
		}
		kvImports.Add(fault.From(err).Kind.String(), 1)
		if !fault.Is(err, fault.NotFound) {
			event.CacheImportFailed(a.config.Name, d.RequestId, d.KvSource, err)
			return
		}
	}
}

func (a *Agent) holds(key uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.prefixIndex.Held(time.Now(), []uint64{key})) > 0
}

func (a *Agent) importLevel(ctx context.Context, d *wire.Dispatch, l *wire.PrefixLevel, t gate.Ticket) error {
	blob, err := a.config.KV.FetchKV(ctx, d.KvSource, &wire.KVFetch{
		Account: d.Account, Model: d.Model, WeightsVersion: d.WeightsVersion, Adapter: d.Adapter,
		Key: l.Key, Tokens: l.Tokens, CacheSalt: d.CacheSalt,
	})
	if err != nil {
		return err
	}
	if err := a.checkBlob(blob.Data, cacheOwner(d), blob.EngineIncarnation); err != nil {
		return err
	}
	if a.Status().Incarnation != t.Incarnation {
		return fault.New(fault.StaleIncarnation, fault.NotRun, "the engine restarted meanwhile")
	}
	return a.engine.ImportKV(ctx, blob.Data)
}

func exportRequest(l holdings.Level) dialect.KVExport {
	return dialect.KVExport{Block: l.Block, Model: l.Owner.Model, WeightsVersion: l.Owner.WeightsVersion, CacheSalt: l.Owner.CacheSalt}
}
