package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/keptconn"
)

// sendControl sends a control request and returns the body of the response. A response
// of more than limit bytes is an error.
func (h *HTTP) sendControl(ctx context.Context, method, path string, body []byte, limit int64, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	req, err := http.NewRequestWithContext(traceConn(ctx, &sent), method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "control request: %w", err)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	sentAt := time.Now()
	resp, data, err := h.doControl(req, limit)
	if resp != nil {
		h.readNotices(sentAt, resp.Header)
	}
	if errors.Is(err, keptconn.ErrTooLong) {
		return nil, fault.New(fault.BodyTooLarge, fault.Ran, "%s: answer is over the limit of %d bytes", path, limit)
	}
	if err != nil {
		return nil, controlError(err, sent.Load())
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= statusLimit {
		return nil, fault.New(fault.StreamBroken, fault.Unknown, "%s: status %d", path, resp.StatusCode)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, statusError(path, resp, data)
	}
	return data, nil
}

// doControl sends a control request and returns the response with its body. The response is nil if none has begun.
func (h *HTTP) doControl(req *http.Request, limit int64) (*http.Response, []byte, error) {
	path := req.URL.Path
	if client := h.queries[path]; client != nil {
		return client.Do(req, limit)
	}
	client := h.kvClient
	if path == dialect.PathOrders {
		client = h.singleUseClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = keptconn.ErrTooLong
	}
	return resp, data, err
}

// controlError returns the error for a control request that got no complete
// response. sent is set if the request may have reached the backend server.
func controlError(err error, sent bool) error {
	outcome, kind := fault.NotRun, fault.BackendRefused
	if sent {
		outcome, kind = fault.Unknown, fault.StreamBroken
	}
	if errors.Is(err, context.DeadlineExceeded) {
		kind = fault.BackendTimeout
	}
	return fault.New(kind, outcome, "backend server: %w", err)
}

// statusError returns the error for a control response with an error status.
func statusError(path string, resp *http.Response, data []byte) error {
	kind := fault.BackendRefused
	outcome := fault.Unknown
	if k, ok := refusalKinds[resp.Header.Get(dialect.Refusal)]; ok {
		kind, outcome = k, fault.NotRun
	}
	if resp.StatusCode == http.StatusNotFound {
		kind, outcome = fault.NotFound, fault.NotRun
	}
	return fault.New(kind, outcome, "%s: status %d: %s", path, resp.StatusCode, data[:min(len(data), maxErrorText)])
}

// maxErrorText is the maximum number of bytes of a backend server's error text that
// are copied into an error.
const maxErrorText = 200

// sendControlJSON sends a control request. If in is not nil, it is sent as a JSON body.
// If out is not nil, the JSON response is decoded into it.
func (h *HTTP) sendControlJSON(ctx context.Context, method, path string, in, out any, timeout time.Duration) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fault.New(fault.Internal, fault.NotRun, "encode %s: %w", path, err)
		}
	}
	data, err := h.sendControl(ctx, method, path, body, h.limits.ControlBytes, timeout)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.New(fault.StreamBroken, fault.Unknown, "decode answer of %s: %w", path, err)
	}
	return nil
}

// plainIncarnation is the incarnation of every plain service that does not report
// one. Such a service has no state that a request could rely on.
const plainIncarnation = 1

// Health implements Engine. An engine must report its incarnation. A plain service
// is healthy if it responds with any status below 400.
//
// If the incarnation has changed or the check fails, Health closes the idle
// connections. A request on a connection to the previous incarnation would fail
// without having reached the backend server.
func (h *HTTP) Health(ctx context.Context) (*Health, error) {
	health, err := h.health(ctx)
	var incarnation uint64
	if err == nil {
		incarnation = health.Incarnation
	}
	if h.incarnation.Swap(incarnation) != incarnation {
		h.Close()
	}
	return health, err
}

func (h *HTTP) health(ctx context.Context) (*Health, error) {
	data, err := h.sendControl(ctx, http.MethodGet, dialect.PathHealth, nil, h.limits.ControlBytes, h.limits.ControlTimeout)
	if err != nil {
		return nil, err
	}
	health := &Health{}
	err = json.Unmarshal(data, health)
	switch {
	case h.plainService && (err != nil || health.Incarnation == 0):
		return &Health{Incarnation: plainIncarnation}, nil
	case err != nil:
		return nil, fault.New(fault.StreamBroken, fault.Unknown, "decode health: %w", err)
	case health.Incarnation == 0:
		return nil, fault.New(fault.StreamBroken, fault.Unknown, "the engine does not tell its incarnation")
	}
	return health, nil
}

// Load implements Engine.
func (h *HTTP) Load(ctx context.Context) (*dialect.Load, error) {
	load := &dialect.Load{}
	return load, h.sendControlJSON(ctx, http.MethodGet, dialect.PathLoad, nil, load, h.limits.ControlTimeout)
}

// Events implements Engine.
func (h *HTTP) Events(ctx context.Context, from uint64) (*dialect.Events, error) {
	events := &dialect.Events{}
	path := dialect.PathEvents + "?from=" + strconv.FormatUint(from, 10)
	return events, h.sendControlJSON(ctx, http.MethodGet, path, nil, events, h.limits.ControlTimeout)
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, requestID string, attempt uint32) error {
	body := dialect.Cancel{RequestID: requestID, Attempt: attempt}
	err := h.sendControlJSON(ctx, http.MethodPost, dialect.PathCancel, body, nil, h.limits.ControlTimeout)
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	return err
}

// Order implements Engine.
func (h *HTTP) Order(ctx context.Context, order dialect.Order) error {
	return h.sendControlJSON(ctx, http.MethodPost, dialect.PathOrders, order, nil, h.limits.OrderTimeout)
}

// ExportKV implements Engine.
func (h *HTTP) ExportKV(ctx context.Context, req dialect.KVExport) ([]byte, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "encode export: %w", err)
	}
	return h.sendControl(ctx, http.MethodPost, dialect.PathKVExport, body, h.limits.KVBytes, h.limits.ControlTimeout)
}

// ImportKV implements Engine.
func (h *HTTP) ImportKV(ctx context.Context, blob []byte) error {
	if int64(len(blob)) > h.limits.KVBytes {
		return fault.New(fault.BodyTooLarge, fault.NotRun, "exported state of %d bytes is over the limit of %d", len(blob), h.limits.KVBytes)
	}
	_, err := h.sendControl(ctx, http.MethodPost, dialect.PathKVImport, blob, h.limits.ControlBytes, h.limits.ControlTimeout)
	return err
}

// InspectKV implements Engine.
func (h *HTTP) InspectKV(blob []byte) (*KVInfo, error) {
	var b dialect.KVBlob
	if err := json.Unmarshal(blob, &b); err != nil {
		return nil, fmt.Errorf("exported state: %w", err)
	}
	return &KVInfo{Incarnation: b.Incarnation, Model: b.Model, WeightsVersion: b.WeightsVersion, CacheSalt: b.CacheSalt, Tokens: b.Tokens}, nil
}
