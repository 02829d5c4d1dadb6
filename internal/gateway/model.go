package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/prefix"
)

// modelBody holds the fields of a model call that routing needs. The whole body is
// forwarded to the engine unchanged.
type modelBody struct {
	Model string `json:"model"`
	prefix.Body
	Stream              bool `json:"stream"`
	MaxTokens           int  `json:"max_tokens"`
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	reservedFields
}

// reservedFields are engine fields that only the router may set. They isolate the
// cached state of client accounts and set the priority of their requests.
type reservedFields struct {
	CacheSalt        json.RawMessage `json:"cache_salt"`
	Priority         json.RawMessage `json:"priority"`
	KVTransferParams json.RawMessage `json:"kv_transfer_params"`
}

func (f *reservedFields) anySet() bool {
	return f.CacheSalt != nil || f.Priority != nil || f.KVTransferParams != nil
}

func (g *Gateway) serveChat(w http.ResponseWriter, r *http.Request, req *Request) error {
	req.Kind = Chat
	req.Path = "/v1/chat/completions"
	return g.serveModelCall(w, r, req)
}

func (g *Gateway) serveCompletion(w http.ResponseWriter, r *http.Request, req *Request) error {
	req.Kind = Completion
	req.Path = "/v1/completions"
	return g.serveModelCall(w, r, req)
}

func (g *Gateway) serveModelCall(w http.ResponseWriter, r *http.Request, req *Request) error {
	if err := g.readModelCall(w, r, req); err != nil {
		g.writeError(w, g.responder(w, req.CallerRequestID), err)
		return err
	}
	return g.run(r.Context(), w, req)
}

func (g *Gateway) readModelCall(w http.ResponseWriter, r *http.Request, req *Request) error {
	body, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	var parsed modelBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "the body is not the JSON of a completion call: %v", err)
	}
	if err := checkModelBody(req.Kind, &parsed); err != nil {
		return err
	}
	model, adapter, ok := g.directory.ResolveModel(parsed.Model)
	if !ok {
		return fault.New(fault.UnknownModel, fault.NotRun, "model %q does not exist", parsed.Model)
	}
	prompt, err := parsed.ExtractPrompt()
	if err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "%v", err)
	}
	req.Model, req.Adapter = model, adapter
	req.Prompt = prompt
	req.Stream = parsed.Stream
	req.MaxTokens = max(parsed.MaxTokens, parsed.MaxCompletionTokens)
	req.Body = body
	req.Header = http.Header{"Content-Type": {"application/json"}}
	req.Idempotency = Idempotent
	return nil
}

func checkModelBody(kind Kind, b *modelBody) error {
	switch {
	case b.anySet():
		return fault.New(fault.BadRequest, fault.NotRun, "cache_salt, priority and kv_transfer_params are not the caller's to set")
	case b.Model == "":
		return fault.New(fault.BadRequest, fault.NotRun, "model is missing")
	case kind == Chat && len(b.Messages) == 0:
		return fault.New(fault.BadRequest, fault.NotRun, "messages is missing or empty")
	case kind == Completion && (len(b.Prompt) == 0 || bytes.Equal(b.Prompt, []byte("null"))):
		return fault.New(fault.BadRequest, fault.NotRun, "prompt is missing")
	case b.MaxTokens < 0 || b.MaxCompletionTokens < 0:
		return fault.New(fault.BadRequest, fault.NotRun, "max_tokens must not be negative")
	}
	return nil
}

// modelObject is a model in the OpenAI format.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func newModelObject(name string) modelObject {
	return modelObject{ID: name, Object: "model", OwnedBy: "parsleypulley"}
}

func (g *Gateway) serveModels(w http.ResponseWriter, _ *http.Request, req *Request) error {
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, name := range g.directory.Models() {
		list.Data = append(list.Data, newModelObject(name))
	}
	return g.responder(w, req.CallerRequestID).json(http.StatusOK, list)
}

func (g *Gateway) serveModel(w http.ResponseWriter, r *http.Request, req *Request) error {
	name := r.PathValue("model")
	resp := g.responder(w, req.CallerRequestID)
	if _, _, ok := g.directory.ResolveModel(name); !ok {
		err := fault.New(fault.UnknownModel, fault.NotRun, "model %q does not exist", name)
		g.writeError(w, resp, err)
		return err
	}
	return resp.json(http.StatusOK, newModelObject(name))
}
