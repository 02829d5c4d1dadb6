package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"parsleypulley/internal/engine/dialect"
)

func (inst *instance) registerEngineRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", inst.serveChat)
	mux.HandleFunc("POST /v1/completions", inst.serveTextCompletion)
	mux.HandleFunc("POST "+dialect.PathCancel, inst.serveCancel)
	mux.HandleFunc("GET "+dialect.PathLoad, inst.serveLoad)
	mux.HandleFunc("GET "+dialect.PathEvents, inst.serveEvents)
	mux.HandleFunc("POST "+dialect.PathOrders, inst.serveOrder)
	mux.HandleFunc("POST "+dialect.PathKVExport, inst.serveExport)
	mux.HandleFunc("POST "+dialect.PathKVImport, inst.serveImport)
}

func (inst *instance) serveHealth(w http.ResponseWriter, _ *http.Request) {
	health := dialect.Health{Incarnation: inst.incarnation, SoftwareVersion: inst.options.SoftwareVersion}
	if e := inst.engine; e != nil {
		e.mu.Lock()
		health.Models = slices.Clone(e.models)
		health.Role = e.role
		health.LoadingWeights = e.loadsInProgress > 0
		e.mu.Unlock()
		health.ChecksFencing = inst.options.ChecksFencing
		health.MaxRunning = inst.options.MaxRunning
	}
	writeJSON(w, http.StatusOK, health)
}

func (inst *instance) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c dialect.Cancel
	if !readJSON(w, r, &c) {
		return
	}
	if !inst.engine.cancel(runKey{c.RequestID, c.Attempt}) {
		writeError(w, http.StatusNotFound, "not_found", "no such request")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (inst *instance) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, inst.engine.loadReport(time.Now()))
}

func (inst *instance) serveEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	events := inst.engine.cache.eventsFrom(time.Now(), from)
	events.Incarnation = inst.incarnation
	writeJSON(w, http.StatusOK, events)
}

func (inst *instance) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o dialect.Order
	if !readJSON(w, r, &o) {
		return
	}
	e := inst.engine
	if !e.acceptOrder(o) {
		writeRefusal(w, http.StatusConflict, dialect.RefusalFencing, "the fencing token is older than the newest seen")
		return
	}
	if o.Model != "" {
		if err := inst.sleep(r.Context(), inst.faults.scale(inst.options.WeightLoad)); err != nil {
			e.finishOrder(dialect.Order{})
			panic(http.ErrAbortHandler)
		}
	}
	e.finishOrder(o)
	writeJSON(w, http.StatusOK, o)
}

// acceptOrder reports whether the engine accepts an order. An engine that checks
// fencing tokens refuses one older than the newest that it has seen. An accepted
// order counts as a load in progress until finishOrder.
func (e *engineState) acceptOrder(o dialect.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && o.Fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.loadsInProgress++
	return true
}

func (e *engineState) finishOrder(o dialect.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadsInProgress--
	if o.Role != "" {
		e.role = o.Role
	}
	if o.Model == "" {
		return
	}
	for i := range e.models {
		m := &e.models[i]
		if m.Model != o.Model {
			continue
		}
		if o.WeightsVersion != "" {
			m.WeightsVersion = o.WeightsVersion
		}
		m.Adapters = slices.Clone(o.Adapters)
		return
	}
	e.models = append(e.models, dialect.Model{Model: o.Model, WeightsVersion: o.WeightsVersion, Adapters: slices.Clone(o.Adapters)})
}

func (inst *instance) serveExport(w http.ResponseWriter, r *http.Request) {
	var x dialect.KVExport
	if !readJSON(w, r, &x) {
		return
	}
	last, err := parseBlock(x.Block)
	version, ok := inst.engine.loadedVersion(x.Model, "")
	if err != nil || !ok || version != x.WeightsVersion {
		writeError(w, http.StatusNotFound, "not_found", "no such block of this model and version")
		return
	}
	blocks, tokens := inst.engine.cache.export(last)
	if blocks == nil {
		writeError(w, http.StatusNotFound, "not_found", "the block or one before it was evicted")
		return
	}
	writeJSON(w, http.StatusOK, dialect.KVBlob{
		Incarnation: inst.incarnation, Model: x.Model, WeightsVersion: x.WeightsVersion,
		CacheSalt: x.CacheSalt, Blocks: blocks, Tokens: tokens,
	})
}

func (inst *instance) serveImport(w http.ResponseWriter, r *http.Request) {
	var b dialect.KVBlob
	if !readJSON(w, r, &b) {
		return
	}
	if version, ok := inst.engine.loadedVersion(b.Model, ""); !ok || version != b.WeightsVersion {
		writeRefusal(w, http.StatusConflict, dialect.RefusalWeights, "the blob is of another model or version")
		return
	}
	chain := make([]block, 0, len(b.Blocks))
	var parent uint64
	for i, name := range b.Blocks {
		hash, err := parseBlock(name)
		if err != nil {
			writeError(w, http.StatusBadRequest, "bad_request", "bad block name")
			return
		}
		chain = append(chain, block{hash: hash, parent: parent, tokens: (i + 1) * inst.options.BlockTokens})
		parent = hash
	}
	inst.engine.cache.store(time.Now(), chain, "", 0)
	w.WriteHeader(http.StatusNoContent)
}
