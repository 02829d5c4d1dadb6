package router

import (
	"strings"
	"time"

	"parsleypulley/internal/account"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/view"
)

// adapterSeparator separates model and adapter in the model name of a request.
const adapterSeparator = ":"

// Directory provides the current view's accounts, models and services to the gateway.
// It implements gateway.Directory.
type Directory struct {
	views *view.Store
	trust KeyTrust
}

// NewDirectory returns a directory that reads the current view from views, and relies on its keys
// as far as trust goes.
func NewDirectory(views *view.Store, trust KeyTrust) Directory { return Directory{views, trust} }

// Ready implements gateway.Directory.
func (d Directory) Ready() bool { return d.views.Load().Config.Revision > 0 }

// Authenticate implements gateway.Directory.
func (d Directory) Authenticate(key string) (gateway.Caller, error) {
	return d.trust.authenticate(d.views, account.Digest(key))
}

// Models implements gateway.Directory.
func (d Directory) Models() []string {
	var names []string
	for _, m := range d.views.Load().Config.Models() {
		names = append(names, m.Name)
		for _, adapter := range m.Adapters {
			names = append(names, m.Name+adapterSeparator+adapter)
		}
	}
	return names
}

// ResolveModel implements gateway.Directory.
func (d Directory) ResolveModel(name string) (model, adapter string, ok bool) {
	model, adapter, _ = strings.Cut(name, adapterSeparator)
	m, ok := d.views.Load().Config.Model(model)
	if !ok {
		return "", "", false
	}
	if adapter != "" && !m.HasAdapter(adapter) {
		return "", "", false
	}
	return model, adapter, true
}

// ClassifyService implements gateway.Directory. A call with an idempotency key is
// recorded and runs at most once even if its route allows repeats, unless its method is
// GET or HEAD.
func (d Directory) ClassifyService(service, method, path string, hasKey bool) (gateway.ServiceClass, bool) {
	s, ok := d.views.Load().Config.Service(service)
	if !ok {
		return gateway.ServiceClass{}, false
	}
	if s.AtMostOnce(method, path) {
		return gateway.ServiceClass{Idempotency: gateway.AtMostOnce}, true
	}
	if hasKey && method != "GET" && method != "HEAD" {
		return gateway.ServiceClass{Idempotency: gateway.AtMostOnce}, true
	}
	return gateway.ServiceClass{Idempotency: gateway.Idempotent}, true
}

// Revision implements gateway.Directory.
func (d Directory) Revision() uint64 { return d.views.Load().Config.Revision }

// DefaultTimeout implements gateway.Directory.
func (d Directory) DefaultTimeout() time.Duration {
	return d.views.Load().Config.Preset.DefaultDeadline
}
