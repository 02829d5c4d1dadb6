package operator

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"parsleypulley/internal/account"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

const (
	// MaxChangeBytes bounds the body of a change.
	MaxChangeBytes = 16 << 20
	// maxNameBytes bounds the names in paths.
	maxNameBytes = 256
	// handleTimeout bounds the time of one request at the control replica.
	handleTimeout = 10 * time.Second
	// keyDigestPrefixBytes is the length of the part of a key's digest that logs show.
	keyDigestPrefixBytes = 4
)

// Handler returns the server side of the API. Requests need a key whose digest
// is in keys; with no keys, all are refused.
func Handler(control Control, keys account.Keyring) http.Handler {
	h := &handler{control: control, keys: keys, mux: http.NewServeMux()}
	h.route(http.MethodGet, "/v1/config", h.config)
	h.route(http.MethodPost, "/v1/changes", h.change)
	h.route(http.MethodGet, "/v1/backends", h.backends)
	h.route(http.MethodPost, "/v1/backends/{name}/{action}", h.changeBackend)
	h.route(http.MethodGet, "/v1/status", h.status)
	h.route(http.MethodPost, "/v1/bootstrap", h.bootstrap)
	h.route(http.MethodPost, "/v1/replicas/{id}/remove", h.removeReplica)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, fault.New(fault.NotFound, fault.NotRun, "the operator API has no such path"))
	})
	return h
}

type handler struct {
	control Control
	keys    account.Keyring
	mux     *http.ServeMux
}

// call is one authenticated request.
type call struct {
	*http.Request
	w http.ResponseWriter
	// info describes the request in events.
	info event.OperatorRequest
}

// route serves path with one method and refuses all other methods.
func (h *handler) route(method, path string, serve func(*call) error) {
	h.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			writeError(w, fault.New(fault.MethodNotAllowed, fault.NotRun, "use %s", method))
			return
		}
		c := &call{Request: r, w: w, info: callInfo(r)}
		if err := serve(c); err != nil {
			event.OperatorRequestFailed(c.info, err)
			writeError(w, err)
		}
	})
}

// callInfo describes a request. It identifies the operator's key by the start of its
// digest.
func callInfo(r *http.Request) event.OperatorRequest {
	key, _ := account.ParseBearer(r.Header.Get("Authorization"))
	digest := account.Digest(key)
	return event.OperatorRequest{KeyDigestPrefix: hex.EncodeToString(digest[:keyDigestPrefixBytes]), Method: r.Method, Path: r.URL.Path, Peer: r.RemoteAddr}
}

// ServeHTTP implements http.Handler. It checks the operator's key before it
// reads anything else from the request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := account.ParseBearer(r.Header.Get("Authorization"))
	if !ok || !h.keys.Contains(key) {
		event.OperatorKeyUnknown(r.URL.Path, r.RemoteAddr)
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, fault.New(fault.Unauthenticated, fault.NotRun, "the request carries no known operator key"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), handleTimeout)
	defer cancel()
	h.mux.ServeHTTP(w, r.WithContext(ctx))
}

func (h *handler) config(c *call) error {
	config, err := h.control.Config(c.Context())
	if err != nil {
		return err
	}
	data, err := protoNames.Marshal(config)
	if err != nil {
		return fault.New(fault.Internal, fault.NotRun, "encode configuration: %w", err)
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Cache-Control", "no-store")
	_, _ = c.w.Write(data)
	return nil
}

// protoNames encodes messages with the field names of the .proto files.
var protoNames = protojson.MarshalOptions{UseProtoNames: true}

func (h *handler) change(c *call) error {
	data, err := readBody(c, MaxChangeBytes)
	if err != nil {
		return err
	}
	change := &wire.ConfigChange{}
	if err := protojson.Unmarshal(data, change); err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "the body is no change: %w", err)
	}
	decided, err := h.control.Change(c.Context(), change)
	if err != nil {
		return err
	}
	result := newChangeResult(decided)
	event.ConfigChangeDecided(c.info, event.ConfigChangeDecision{ID: change.ChangeId, Operator: change.Operator, BaseRevision: change.BaseRevision,
		Status: string(result.Status), Revision: result.Revision, Repeated: result.Repeated})
	writeJSON(c.w, changeHTTPStatus(result.Status), result)
	return nil
}

func changeHTTPStatus(s ChangeStatus) int {
	switch s {
	case Accepted:
		return http.StatusOK
	case Conflict:
		return http.StatusConflict
	}
	return http.StatusUnprocessableEntity
}

// readBody reads a body of at most limit bytes.
func readBody(c *call, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(c.w, c.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.BodyTooLarge, fault.NotRun, "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "read body: %w", err)
	}
	return data, nil
}

func (h *handler) backends(c *call) error {
	members, err := h.control.Backends(c.Context())
	if err != nil {
		return err
	}
	list := backendList{Backends: make([]Backend, 0, len(members))}
	for _, m := range members {
		list.Backends = append(list.Backends, backendFromMember(m))
	}
	writeJSON(c.w, http.StatusOK, list)
	return nil
}

func (h *handler) changeBackend(c *call) error {
	name := c.PathValue("name")
	if len(name) > maxNameBytes {
		return fault.New(fault.BadRequest, fault.NotRun, "the name is longer than %d bytes", maxNameBytes)
	}
	kind, ok := Action(c.PathValue("action")).kind()
	if !ok {
		return fault.New(fault.NotFound, fault.NotRun, "use %s, %s or %s", Drain, Undrain, Retire)
	}
	result, err := h.control.ChangeBackend(c.Context(), &wire.BackendChange{Kind: kind, Name: name})
	if err != nil {
		return err
	}
	event.BackendChangeDecided(c.info, name, result.Accepted, result.Problem)
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	writeJSON(c.w, status, BackendResult{Accepted: result.Accepted, Problem: result.Problem})
	return nil
}

func (h *handler) status(c *call) error {
	status, err := h.control.Status(c.Context())
	if err != nil {
		return err
	}
	writeJSON(c.w, http.StatusOK, status)
	return nil
}

func (h *handler) bootstrap(c *call) error {
	if err := h.control.Bootstrap(c.Context()); err != nil {
		return err
	}
	event.Bootstrapped(c.info)
	writeJSON(c.w, http.StatusOK, struct{}{})
	return nil
}

func (h *handler) removeReplica(c *call) error {
	var id ReplicaID
	if err := id.UnmarshalText([]byte(c.PathValue("id"))); err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "%w", err)
	}
	if id == 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "no replica has identity 0")
	}
	if err := h.control.RemoveReplica(c.Context(), uint64(id)); err != nil {
		return err
	}
	event.ReplicaRemoved(c.info, id.String())
	writeJSON(c.w, http.StatusOK, struct{}{})
	return nil
}
