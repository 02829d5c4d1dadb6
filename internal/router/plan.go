package router

import (
	"parsleypulley/internal/admission"
	"parsleypulley/internal/config"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/gateway"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// plan holds what the router derives from a request and the current view before the
// first attempt.
type plan struct {
	req *gateway.Request
	// view is the view from which the plan was made.
	view    *view.Snapshot
	account *config.Account
	limits  config.AccountLimits
	// quota is what the call uses of the account's quota.
	quota *callQuota
	// fingerprint identifies identical requests of one account for the quarantine.
	fingerprint [32]byte
	// levels are the nested prefixes of the prompt, shortest first. The last one is
	// the whole prompt.
	levels []*wire.PrefixLevel
	// partKeys identify the levels that other requests may have too; nil until they are
	// needed.
	partKeys []quarantine.Key
	// weightsVersion is the version of the model's weights that the request runs on.
	weightsVersion string
	// priority is the account's priority less the demotion by admission.
	priority  int32
	routing   routing.Request
	admission admission.Request
}

func (r *Router) plan(req *gateway.Request) (*plan, error) {
	s := r.opts.Views.Load()
	a, ok := s.Config.Account(req.Caller.Account)
	if !ok || a.Suspended {
		return nil, fault.New(fault.Unauthenticated, fault.NotRun, "the account has been removed")
	}
	p := &plan{req: req, view: s, account: a, limits: s.Config.AccountLimits(a)}
	p.priority = p.limits.Priority
	p.fingerprint = prefix.Fingerprint(a.Name, req.Model+"\x00"+req.Service+"\x00"+req.Path, req.Body)
	if req.Service != "" {
		p.planService()
	} else if err := r.planModel(p); err != nil {
		return nil, err
	}
	if r.quarantined(p) {
		return nil, quarantineError()
	}
	return p, nil
}

func quarantineError() *fault.Error {
	return fault.New(fault.Quarantined, fault.NotRun, "this request is refused: engines crashed while they ran it or others with the same opening")
}

func (p *plan) planService() {
	p.routing = routing.Request{Account: p.account.Name, Service: p.req.Service}
	p.admission = p.admissionRequest(servicePool(p.req.Service), 1)
}

func (r *Router) planModel(p *plan) error {
	model, ok := p.view.Config.Model(p.req.Model)
	if !ok {
		return fault.New(fault.UnknownModel, fault.NotRun, "model %q does not exist", p.req.Model)
	}
	p.weightsVersion = r.servingVersion(model)
	p.levels = prefix.Levels(prefix.Scope{
		Account:        p.account.Name,
		Model:          model.Name,
		WeightsVersion: p.weightsVersion,
		Adapter:        p.req.Adapter,
	}, p.req.Prompt)
	p.routing = routing.Request{
		Account:        p.account.Name,
		Model:          model.Name,
		WeightsVersion: p.weightsVersion,
		Adapter:        p.req.Adapter,
		Levels:         p.levels,
	}
	p.admission = p.admissionRequest(model.Name, r.selector.expectedWork(&p.routing, p.promptTokens()))
	return nil
}

// admissionRequest returns the request to admit a call of the expected work to a pool.
func (p *plan) admissionRequest(pool string, tokens uint32) admission.Request {
	return admission.Request{
		Pool:          pool,
		Account:       p.account.Name,
		Weight:        p.limits.Weight,
		Priority:      p.limits.Priority,
		MaxConcurrent: p.limits.MaxConcurrent,
		Tokens:        tokens,
		Deadline:      p.req.Deadline,
	}
}

// promptTokens returns the length of the prompt, or 0 if there is none.
func (p *plan) promptTokens() uint32 {
	if len(p.levels) == 0 {
		return 0
	}
	return p.levels[len(p.levels)-1].Tokens
}

// dispatchMessage returns the message that starts an attempt on the backend server chosen
// in d.
func (p *plan) dispatchMessage(attempt uint32, d *routing.Decision) *wire.Dispatch {
	req := p.req
	return &wire.Dispatch{
		RequestId:         req.ID,
		Attempt:           attempt,
		Account:           p.account.Name,
		Model:             req.Model,
		WeightsVersion:    p.weightsVersion,
		Adapter:           req.Adapter,
		Service:           req.Service,
		EngineIncarnation: d.Backend.EngineIncarnation,
		Fingerprint:       p.fingerprint[:],
		CacheSalt:         p.account.Salt,
		Priority:          p.priority,
		Idempotent:        req.Idempotency == gateway.Idempotent,
		Method:            req.Method,
		Path:              req.Path,
		Headers:           wireHeaders(req.Header),
		Body:              req.Body,
		Stream:            req.Stream,
		Levels:            p.levels,
		KvSource:          d.KVSource,
		ConfigRevision:    p.view.Config.Revision,
		PromptTokens:      p.promptTokens(),
		AgentIncarnation:  d.Backend.AgentIncarnation,
	}
}
