package config

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"parsleypulley/internal/account"
	"parsleypulley/internal/wire"
)

// Limits of the values in a configuration.
const (
	MaxWeight = 10_000
	// MaxPriority is the largest priority. The smallest one is -MaxPriority.
	MaxPriority = 100
	// MaxConcurrentBound is the largest value of max_concurrent.
	MaxConcurrentBound = 1_000_000
	// MaxKeys is the maximum number of keys per account.
	MaxKeys      = 16
	MaxSaltBytes = 128
	// MaxAdapters is the maximum number of adapters per model.
	MaxAdapters = 256
	// MinReadyBound is the largest value of min_ready.
	MinReadyBound = 10_000
	// MaxRunningBound is the largest value of max_running.
	MaxRunningBound = 10_000
	// MaxRoutes is the maximum number of routes per service.
	MaxRoutes = 256
	// MaxCostWeight is the largest value of recompute_weight and wait_weight.
	MaxCostWeight = 1000.0
	// MaxQueueBound is the largest value of max_queue.
	MaxQueueBound = 1_000_000
	// MaxKVImportRate is the largest value of kv_import_tokens_per_s, in tokens per
	// second.
	MaxKVImportRate = 10_000_000
	// MinDeadline is the smallest value of default_deadline.
	MinDeadline = 100 * time.Millisecond
	// MaxDeadline is the largest value of default_deadline.
	MaxDeadline = time.Hour
	// MinRetention is the smallest value of idempotency_retention.
	MinRetention = time.Minute
	// MaxRetention is the largest value of idempotency_retention.
	MaxRetention = 30 * 24 * time.Hour
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:@-]{0,127}$`)
	httpMethods  = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

const (
	nameFix  = "use 1 to 63 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit"
	modelFix = "use 1 to 128 letters, digits or any of '._/:@-', starting with a letter or digit"
)

func (r *reporter) checkName(at fieldPath, name, what string) {
	if !namePattern.MatchString(name) {
		r.addProblem(at.String(), nameFix, "bad %s name %q", what, truncate(name))
	}
}

func (r *reporter) checkModelName(at fmt.Stringer, name, what string) {
	if !modelPattern.MatchString(name) {
		r.addProblem(at.String(), modelFix, "bad %s %q", what, truncate(name))
	}
}

func (r *reporter) checkMax(at fieldPath, value, limit uint32) {
	if value > limit {
		r.addProblem(at.String(), fmt.Sprintf("use at most %d", limit), "%d is too large", value)
	}
}

func (r *reporter) checkWeight(at fieldPath, weight uint32) {
	if weight < 1 || weight > MaxWeight {
		r.addProblem(at.String(), fmt.Sprintf("use 1 to %d", MaxWeight), "weight %d is out of range", weight)
	}
}

func (r *reporter) checkPriority(at fieldPath, priority int32) {
	if priority < -MaxPriority || priority > MaxPriority {
		r.addProblem(at.String(), fmt.Sprintf("use %d to %d", -MaxPriority, MaxPriority), "priority %d is out of range", priority)
	}
}

func (r *reporter) checkDuration(at fieldPath, value, low, high time.Duration) {
	if value < low || value > high {
		r.addProblem(at.String(), fmt.Sprintf("use %v to %v", low, high), "%v is out of range", value)
	}
}

func (r *reporter) checkPercent(at fieldPath, value uint32) {
	if value > 100 {
		r.addProblem(at.String(), "use 0% to 100%", "%d%% is out of range", value)
	}
}

func (r *reporter) checkCostWeight(at fieldPath, value float64) {
	if math.IsNaN(value) || value <= 0 || value > MaxCostWeight {
		r.addProblem(at.String(), fmt.Sprintf("use a number above 0 and up to %v", MaxCostWeight), "weight %v is out of range", value)
	}
}

func (r *reporter) checkAccount(at objectPath, a *wire.Account) {
	r.checkName(at.field("name"), a.Name, "account")
	if len(a.KeySha256) > MaxKeys {
		r.addProblem(at.field("keys").String(), fmt.Sprintf("keep at most %d", MaxKeys), "account %q has %d keys", a.Name, len(a.KeySha256))
	}
	for i, key := range a.KeySha256 {
		if len(key) != len(account.KeyDigest{}) {
			r.addProblem(at.field("keys").item(i).String(), "make a key with 'parsleypulley account key'", "a key digest has 32 bytes, not %d", len(key))
		}
	}
	r.checkWeight(at.field("weight"), max(a.Weight, 1))
	r.checkPriority(at.field("priority"), a.Priority)
	r.checkMax(at.field("max_concurrent"), a.MaxConcurrent, MaxConcurrentBound)
	r.checkSalt(at.field("cache_salt"), a.CacheSalt)
	for _, p := range account.CheckQuota(a.Quota) {
		r.addProblem(at.field("quota."+p.Field).String(), p.Fix, "%s", p.Reason)
	}
}

func (r *reporter) checkSalt(at fieldPath, salt string) {
	if len(salt) > MaxSaltBytes {
		r.addProblem(at.String(), fmt.Sprintf("use at most %d bytes", MaxSaltBytes), "the salt has %d bytes", len(salt))
	}
	if strings.HasPrefix(salt, account.DerivedSaltPrefix) {
		r.addProblem(at.String(), "leave the field out to have the salt derived", "a declared salt must not start with %q", account.DerivedSaltPrefix)
	}
	if strings.ContainsFunc(salt, notPrintable) {
		r.addProblem(at.String(), "use printable ASCII characters", "the salt has other characters")
	}
}

func notPrintable(c rune) bool { return c <= ' ' || c > '~' }

func (r *reporter) checkModel(at objectPath, m *wire.Model) {
	r.checkModelName(at.field("name"), m.Name, "model name")
	r.checkModelName(at.field("weights_version"), m.WeightsVersion, "weights version")
	r.checkMax(at.field("min_ready"), m.MinReady, MinReadyBound)
	if len(m.Adapters) > MaxAdapters {
		r.addProblem(at.field("adapters").String(), fmt.Sprintf("keep at most %d", MaxAdapters), "model %q has %d adapters", m.Name, len(m.Adapters))
	}
	seen := map[string]bool{}
	for i, adapter := range m.Adapters {
		path := at.field("adapters").item(i)
		r.checkModelName(path, adapter, "adapter")
		if seen[adapter] {
			r.addProblem(path.String(), "remove one of them", "adapter %q is declared twice", adapter)
		}
		seen[adapter] = true
	}
}

func (r *reporter) checkService(at objectPath, s *wire.Service) {
	r.checkName(at.field("name"), s.Name, "service")
	if len(s.Routes) > MaxRoutes {
		r.addProblem(at.field("routes").String(), fmt.Sprintf("keep at most %d", MaxRoutes), "service %q has %d routes", s.Name, len(s.Routes))
	}
	type pair struct{ method, prefix string }
	seen := map[pair]bool{}
	for i, route := range s.Routes {
		path := at.field("routes").item(i)
		if !strings.HasPrefix(route.PathPrefix, "/") {
			r.addProblem(path.field("path_prefix").String(), "start it with '/'", "bad path prefix %q", truncate(route.PathPrefix))
		}
		r.checkMethods(path.field("methods"), route.Methods)
		methods := route.Methods
		if len(methods) == 0 {
			methods = httpMethods
		}
		for _, method := range methods {
			p := pair{method, route.PathPrefix}
			if seen[p] {
				r.addProblem(path.String(), "remove it from one of the routes", "%s %s is declared twice", method, truncate(route.PathPrefix))
				break
			}
			seen[p] = true
		}
	}
}

func (r *reporter) checkMethods(at fieldPath, methods []string) {
	for i, method := range methods {
		if !slices.Contains(httpMethods, method) {
			r.addProblem(at.item(i).String(), "use one of "+strings.Join(httpMethods, ", "), "unknown HTTP method %q", truncate(method))
		}
	}
}

func (r *reporter) checkPreset(at objectPath, p *Preset) {
	r.checkName(at.field("name"), p.Name, "preset")
	r.checkCostWeight(at.field("recompute_weight"), p.RecomputeWeight)
	r.checkCostWeight(at.field("wait_weight"), p.WaitWeight)
	r.checkDuration(at.field("default_deadline"), p.DefaultDeadline, MinDeadline, MaxDeadline)
	r.checkDuration(at.field("idempotency_retention"), p.IdempotencyRetention, MinRetention, MaxRetention)
	r.checkPercent(at.field("retry_budget"), p.RetryBudgetPercent)
	r.checkPercent(at.field("cold_start_reserve"), p.ColdStartReservePercent)
	r.checkMax(at.field("max_queue"), uint32(p.MaxQueue), MaxQueueBound)
	r.checkMax(at.field("kv_import_tokens_per_s"), p.KVImportRate, MaxKVImportRate)
	for i, limit := range p.declared.Accounts {
		r.checkAccountLimit(at.field("accounts").item(i), limit)
	}
	for i, limit := range p.declared.Models {
		r.checkModelLimit(at.field("models").item(i), limit)
	}
	r.checkUniqueLimits(at, p)
}

func (r *reporter) checkUniqueLimits(at objectPath, p *Preset) {
	if len(p.accounts) < len(p.declared.Accounts) {
		r.addProblem(at.field("accounts").String(), "merge the entries of one account", "preset %q limits an account twice", p.Name)
	}
	if len(p.models) < len(p.declared.Models) {
		r.addProblem(at.field("models").String(), "merge the entries of one model", "preset %q limits a model twice", p.Name)
	}
}

func (r *reporter) checkAccountLimit(at objectPath, l *wire.AccountLimit) {
	if l.Weight != nil {
		r.checkWeight(at.field("weight"), *l.Weight)
	}
	r.checkPriority(at.field("priority"), l.GetPriority())
	r.checkMax(at.field("max_concurrent"), l.GetMaxConcurrent(), MaxConcurrentBound)
}

func (r *reporter) checkModelLimit(at objectPath, l *wire.ModelLimit) {
	r.checkMax(at.field("min_ready"), l.GetMinReady(), MinReadyBound)
	r.checkMax(at.field("max_running"), l.MaxRunning, MaxRunningBound)
}

// maxQuotedBytes is the maximum length of an invalid value in the text of a
// problem.
const maxQuotedBytes = 80

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return s[:maxQuotedBytes] + "..."
}
