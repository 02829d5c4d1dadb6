package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"parsleypulley/internal/account"
	"parsleypulley/internal/wire"
)

// MaxDeclarationBytes is the maximum size of a declaration file.
const MaxDeclarationBytes = 16 << 20

// Declaration is a valid declaration that was read from a file.
type Declaration struct {
	config *wire.Config
}

// ParseDeclaration parses and validates a declaration in YAML. It uses fileName
// only to report problems. If the declaration is invalid, ParseDeclaration
// returns an *InvalidError with all problems, each with its file, line and
// column and how to fix it.
func ParseDeclaration(fileName string, data []byte) (*Declaration, error) {
	r := &reader{fileName: fileName, positions: map[string]position{}}
	root := r.parse(data)
	if root == nil {
		return nil, r.finish()
	}
	declared := r.declaration(root)
	compiled, err := Compile(declared)
	if err != nil {
		r.addCompileProblems(err)
	}
	if err := r.finish(); err != nil {
		return nil, err
	}
	return &Declaration{config: compiled.Config()}, nil
}

// Config returns the declared configuration with default values filled in and
// objects sorted by name. Its preset in force is the initial preset of the
// declaration.
func (d *Declaration) Config() *wire.Config { return d.config }

// parse returns the root node of the YAML document, or nil if it has reported a
// problem.
func (r *reader) parse(data []byte) ast.Node {
	start := position{line: 1, column: 1}
	if len(data) > MaxDeclarationBytes {
		r.addProblemAt(start, "", "split it or remove what is unused", "the file has %d bytes, more than %d", len(data), MaxDeclarationBytes)
		return nil
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.addSyntaxProblem(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.addProblemAt(start, "", "write exactly one YAML document", "the file is empty or holds several documents")
		return nil
	}
	return file.Docs[0].Body
}

func (r *reader) addSyntaxProblem(err error) {
	at := position{line: 1, column: 1}
	message := err.Error()
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		message = syntax.GetMessage()
		if t := syntax.GetToken(); t != nil && t.Position != nil {
			at = position{line: t.Position.Line, column: t.Position.Column}
		}
	}
	r.addProblemAt(at, "", "correct the YAML syntax", "%s", message)
}

// declaration reads the configuration from the root node. It reports problems and
// continues with default values, as do the methods that read parts of the
// configuration.
func (r *reader) declaration(root ast.Node) *wire.Config {
	m := r.mapping(root, "", "accounts", "models", "services", "presets", "initial_preset")
	config := &wire.Config{Revision: 1}
	for item := range m.items("accounts") {
		config.Accounts = append(config.Accounts, r.account(item))
	}
	for item := range m.items("models") {
		config.Models = append(config.Models, r.model(item))
	}
	for item := range m.items("services") {
		config.Services = append(config.Services, r.service(item))
	}
	for item := range m.items("presets") {
		config.Presets = append(config.Presets, r.preset(item))
	}
	config.PresetInForce = m.required("initial_preset")
	return config
}

func (r *reader) account(item node) *wire.Account {
	m := r.mapping(item.Node, item.path, "name", "keys", "weight", "priority", "cache_salt", "suspended", "max_concurrent", "quota")
	a := &wire.Account{
		Name:          m.required("name"),
		Weight:        m.unsigned("weight", 1),
		Priority:      m.signed("priority", 0),
		CacheSalt:     m.text("cache_salt"),
		Suspended:     m.boolean("suspended"),
		MaxConcurrent: m.unsigned("max_concurrent", 0),
	}
	if m.has("weight") && a.Weight == 0 {
		r.addProblem(m.path+".weight", "use at least 1, or suspend the account", "weight 0 is out of range")
	}
	if quota, ok := m.values["quota"]; ok {
		a.Quota = r.quota(quota)
	}
	for key := range m.items("keys") {
		text, ok := r.scalar(key)
		if !ok {
			continue
		}
		digest, err := account.ParseDigest(text)
		if err != nil {
			r.addProblem(key.path, "make a key with 'parsleypulley account key' and copy its digest", "%v", err)
			continue
		}
		a.KeySha256 = append(a.KeySha256, digest[:])
	}
	return a
}

func (r *reader) quota(item node) *wire.Quota {
	m := r.mapping(item.Node, item.path, "per_second", "burst", "unit", "plain_tokens")
	q := &wire.Quota{
		PerSecond:   m.amount("per_second"),
		Burst:       m.amount("burst"),
		Unit:        wire.QuotaUnit_QUOTA_UNIT_REQUESTS,
		PlainTokens: m.unsigned("plain_tokens", 0),
	}
	m.required("per_second")
	switch unit := m.text("unit"); unit {
	case "", "requests":
	case "tokens":
		q.Unit = wire.QuotaUnit_QUOTA_UNIT_TOKENS
	default:
		m.addInvalidValue("unit", "write requests or tokens", fmt.Sprintf("unknown unit %q", truncate(unit)))
	}
	return q
}

func (r *reader) model(item node) *wire.Model {
	m := r.mapping(item.Node, item.path, "name", "weights_version", "adapters", "min_ready")
	return &wire.Model{
		Name:           m.required("name"),
		WeightsVersion: m.required("weights_version"),
		Adapters:       m.texts("adapters"),
		MinReady:       m.unsigned("min_ready", 0),
	}
}

func (r *reader) service(item node) *wire.Service {
	m := r.mapping(item.Node, item.path, "name", "routes")
	s := &wire.Service{Name: m.required("name")}
	for route := range m.items("routes") {
		fields := r.mapping(route.Node, route.path, "methods", "path_prefix", "at_most_once")
		s.Routes = append(s.Routes, &wire.Route{
			Methods:    fields.texts("methods"),
			PathPrefix: fields.required("path_prefix"),
			AtMostOnce: fields.boolean("at_most_once"),
		})
	}
	return s
}

func (r *reader) preset(item node) *wire.Preset {
	m := r.mapping(item.Node, item.path,
		"name", "recompute_weight", "wait_weight", "default_deadline", "max_queue", "retry_budget",
		"idempotency_retention", "cold_start_reserve", "hedge", "kv_import_tokens_per_s", "accounts", "models")
	p := &wire.Preset{
		Name:                    m.required("name"),
		RecomputeWeight:         m.positiveFloat("recompute_weight", DefaultCostWeight),
		WaitWeight:              m.positiveFloat("wait_weight", DefaultCostWeight),
		DefaultDeadlineMs:       uint32(m.duration("default_deadline", DefaultDeadline, MinDeadline, MaxDeadline).Milliseconds()),
		MaxQueue:                m.positiveInteger("max_queue", DefaultMaxQueue),
		RetryBudgetPercent:      m.percent("retry_budget", DefaultRetryBudgetPercent),
		IdempotencyRetentionS:   uint32(m.duration("idempotency_retention", DefaultIdempotencyRetention, MinRetention, MaxRetention).Seconds()),
		ColdStartReservePercent: m.percent("cold_start_reserve", DefaultColdStartReservePercent),
		Hedge:                   m.boolean("hedge"),
		KvImportTokensPerS:      m.unsigned("kv_import_tokens_per_s", 0),
	}
	for limit := range m.items("accounts") {
		p.Accounts = append(p.Accounts, r.accountLimit(limit))
	}
	for limit := range m.items("models") {
		p.Models = append(p.Models, r.modelLimit(limit))
	}
	return p
}

func (r *reader) accountLimit(item node) *wire.AccountLimit {
	m := r.mapping(item.Node, item.path, "account", "weight", "priority", "max_concurrent")
	limit := &wire.AccountLimit{Account: m.required("account")}
	if m.has("weight") {
		limit.Weight = new(m.unsigned("weight", 0))
	}
	if m.has("priority") {
		limit.Priority = new(m.signed("priority", 0))
	}
	if m.has("max_concurrent") {
		limit.MaxConcurrent = new(m.unsigned("max_concurrent", 0))
	}
	return limit
}

func (r *reader) modelLimit(item node) *wire.ModelLimit {
	m := r.mapping(item.Node, item.path, "model", "min_ready", "max_running")
	limit := &wire.ModelLimit{
		Model:      m.required("model"),
		MaxRunning: m.unsigned("max_running", 0),
	}
	if m.has("min_ready") {
		limit.MinReady = new(m.unsigned("min_ready", 0))
	}
	return limit
}

// finish returns an *InvalidError with the problems found, sorted by line and
// column, or nil if there are none.
func (r *reader) finish() error {
	if len(r.problems) == 0 {
		return nil
	}
	for i := range r.problems {
		r.locate(&r.problems[i])
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &InvalidError{Problems: r.problems}
}

// addCompileProblems adds the problems in an error of Compile, except those of
// fields for which a problem was reported when they were read.
func (r *reader) addCompileProblems(err error) {
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		r.addProblem("", "", "%v", err)
		return
	}
	unreadable := map[string]bool{}
	for _, p := range r.problems {
		unreadable[p.Path] = true
	}
	for _, p := range invalid.Problems {
		if p.Path == "preset_in_force" {
			p.Path = "initial_preset"
		}
		if !unreadable[p.Path] {
			r.problems = append(r.problems, p)
		}
	}
}
