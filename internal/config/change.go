package config

import (
	"maps"

	"parsleypulley/internal/account"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// Names of the top-level lists of a configuration, as used in the paths of
// problems.
const (
	listAccounts = "accounts"
	listModels   = "models"
	listServices = "services"
	listPresets  = "presets"
)

// With returns a new configuration at the next revision, with change applied.
// c is not modified. The new configuration shares unchanged data with c, so the
// cost depends on the size of the change rather than that of the configuration.
// The caller must not modify change afterwards.
//
// With returns a fault.Conflict error if change is based on a revision other
// than that of c, and an *InvalidError with all problems if the result would
// be invalid.
func (c *Compiled) With(change *wire.ConfigChange) (*Compiled, error) {
	if change.BaseRevision != c.Revision {
		return nil, fault.New(fault.Conflict, fault.NotRun, "the change builds on revision %d but revision %d is in force", change.BaseRevision, c.Revision)
	}
	e := &edit{
		next:     *c,
		change:   change,
		accounts: c.accounts.edit(),
		keys:     c.keys.edit(),
		salts:    c.salts.edit(),
	}
	e.checkStructure()
	e.editAccounts()
	e.editModels()
	e.editServices()
	e.editPresets()
	e.checkReferences()
	e.choosePreset()
	if err := e.err(); err != nil {
		return nil, err
	}
	e.next.Revision++
	e.next.accounts = e.accounts.m
	e.next.keys = e.keys.m
	e.next.salts = e.salts.m
	return &e.next, nil
}

func isEmptyChange(ch *wire.ConfigChange) bool {
	objects := len(ch.PutAccounts) + len(ch.PutModels) + len(ch.PutServices) + len(ch.PutPresets)
	objects += len(ch.DeleteAccounts) + len(ch.DeleteModels) + len(ch.DeleteServices) + len(ch.DeletePresets)
	return objects == 0 && ch.PresetInForce == ""
}

// edit validates one change and builds the configuration that results from it.
type edit struct {
	reporter
	next     Compiled
	change   *wire.ConfigChange
	accounts *shardedEdit[string, *Account]
	keys     *shardedEdit[account.KeyDigest, *Account]
	salts    *shardedEdit[string, string]
}

// checkStructure checks that the change is not empty and names each object at
// most once.
func (e *edit) checkStructure() {
	if isEmptyChange(e.change) {
		e.addProblem("", "declare at least one preset and put it in force", "the change is empty")
	}
	checkDuplicates(&e.reporter, listAccounts, e.change.PutAccounts, e.change.DeleteAccounts)
	checkDuplicates(&e.reporter, listModels, e.change.PutModels, e.change.DeleteModels)
	checkDuplicates(&e.reporter, listServices, e.change.PutServices, e.change.DeleteServices)
	checkDuplicates(&e.reporter, listPresets, e.change.PutPresets, e.change.DeletePresets)
}

// checkDuplicates reports the objects of one list that a change puts or deletes
// more than once.
func checkDuplicates[T named](r *reporter, list string, put []T, deleted []string) {
	seen := make(map[string]bool, len(put)+len(deleted))
	for i, object := range put {
		name := object.GetName()
		if seen[name] {
			r.addProblem(objectPath{list, i}.field("name").String(), "rename or remove one of them", "%q is declared twice", truncate(name))
		}
		seen[name] = true
	}
	for _, name := range deleted {
		if seen[name] {
			r.addProblem(list, "name it once", "%q is both put and deleted, or deleted twice", truncate(name))
		}
		seen[name] = true
	}
}

func (e *edit) addUnknownDeletion(list, name string) {
	e.addProblem(list, "leave it out of the change", "%q can't be deleted: it does not exist", truncate(name))
}

// editAccounts deletes and puts accounts. It first removes the keys and salts
// of all changed accounts, so that a key can move from one account to another
// within one change.
func (e *edit) editAccounts() {
	for _, name := range e.change.DeleteAccounts {
		if _, ok := e.accounts.get(name); !ok {
			e.addUnknownDeletion(listAccounts, name)
		}
		e.removeAccount(name)
	}
	for _, a := range e.change.PutAccounts {
		e.removeAccount(a.Name)
	}
	for i, a := range e.change.PutAccounts {
		at := objectPath{listAccounts, i}
		before := len(e.problems)
		e.checkAccount(at, a)
		if len(e.problems) == before {
			e.putAccount(at, compileAccount(a))
		}
	}
}

// removeAccount removes an account and its entries in the indexes of keys and
// salts.
func (e *edit) removeAccount(name string) {
	old, ok := e.accounts.get(name)
	if !ok {
		return
	}
	e.accounts.delete(name)
	for _, key := range old.Keys {
		e.keys.delete(key)
	}
	if old.declaredSalt != "" {
		e.salts.delete(old.declaredSalt)
	}
}

// putAccount adds an account. It reports keys and declared salts that belong to
// another account.
func (e *edit) putAccount(at objectPath, a *Account) {
	e.accounts.put(a.Name, a)
	for i, key := range a.Keys {
		if other, taken := e.keys.get(key); taken {
			e.addProblem(at.field("keys").item(i).String(), "give each account its own keys", "the key is already a key of account %q", other.Name)
			continue
		}
		e.keys.put(key, a)
	}
	if a.declaredSalt == "" {
		return
	}
	if other, taken := e.salts.get(a.declaredSalt); taken {
		e.addProblem(at.field("cache_salt").String(), "give each account its own salt", "account %q has the same salt", other)
		return
	}
	e.salts.put(a.declaredSalt, a.Name)
}

func (e *edit) editModels() {
	e.next.models = editNamed(e, listModels, e.next.models, e.change.DeleteModels, e.change.PutModels,
		func(at objectPath, m *wire.Model) *Model {
			e.checkModel(at, m)
			return compileModel(m)
		})
}

func (e *edit) editServices() {
	e.next.services = editNamed(e, listServices, e.next.services, e.change.DeleteServices, e.change.PutServices,
		func(at objectPath, s *wire.Service) *Service {
			e.checkService(at, s)
			return compileService(s)
		})
}

func (e *edit) editPresets() {
	e.next.presets = editNamed(e, listPresets, e.next.presets, e.change.DeletePresets, e.change.PutPresets,
		func(at objectPath, p *wire.Preset) *Preset {
			compiled := compilePreset(p)
			e.checkPreset(at, compiled)
			return compiled
		})
}

// named is a declared object that has a name.
type named interface{ GetName() string }

// editNamed returns a copy of current without the deleted objects and with the
// objects in put. The function add checks and compiles one object of put. If
// there is nothing to delete or put, editNamed returns current itself.
func editNamed[W named, T any](e *edit, list string, current map[string]T, deleted []string, put []W, add func(objectPath, W) T) map[string]T {
	if len(deleted)+len(put) == 0 {
		return current
	}
	next := cloneMap(current)
	for _, name := range deleted {
		if _, ok := next[name]; !ok {
			e.addUnknownDeletion(list, name)
		}
		delete(next, name)
	}
	for i, w := range put {
		next[w.GetName()] = add(objectPath{list, i}, w)
	}
	return next
}

// checkReferences checks that the presets in the change refer only to existing
// accounts and models, and that no preset refers to a deleted account or model.
func (e *edit) checkReferences() {
	for i, p := range e.change.PutPresets {
		e.checkPresetReferences(objectPath{listPresets, i}, p)
	}
	for _, p := range sortedValues(e.next.presets) {
		for _, name := range e.change.DeleteAccounts {
			if _, used := p.accounts[name]; used {
				e.addProblem(listAccounts, "remove it from the preset first", "account %q can't be deleted: preset %q limits it", name, p.Name)
			}
		}
		for _, name := range e.change.DeleteModels {
			if _, used := p.models[name]; used {
				e.addProblem(listModels, "remove it from the preset first", "model %q can't be deleted: preset %q limits it", name, p.Name)
			}
		}
	}
}

func (e *edit) checkPresetReferences(at objectPath, p *wire.Preset) {
	for i, limit := range p.Accounts {
		if !e.accountExists(limit.Account) {
			e.addProblem(at.field("accounts").item(i).field("account").String(), "declare it or remove the limit", "there is no account %q", truncate(limit.Account))
		}
	}
	for i, limit := range p.Models {
		if _, ok := e.next.models[limit.Model]; !ok {
			e.addProblem(at.field("models").item(i).field("model").String(), "declare it or remove the limit", "there is no model %q", truncate(limit.Model))
		}
	}
}

// accountExists reports whether the resulting configuration has an account
// called name. An account in the change that was rejected because of its own
// problems counts as existing, so that the missing reference is not reported
// as a second problem.
func (e *edit) accountExists(name string) bool {
	if _, ok := e.accounts.get(name); ok {
		return true
	}
	if len(e.problems) == 0 {
		return false
	}
	for _, a := range e.change.PutAccounts {
		if a.Name == name {
			return true
		}
	}
	return false
}

// choosePreset puts in force the preset that the change names or, if it names
// none, the preset of the current configuration. It reports a problem if this
// preset does not exist.
func (e *edit) choosePreset() {
	name := e.change.PresetInForce
	if name == "" {
		name = e.next.Preset.Name
	}
	if name == "" {
		e.addProblem("preset_in_force", "put one of the presets in force", "no preset is in force")
		return
	}
	preset, ok := e.next.presets[name]
	if !ok {
		e.addProblem("preset_in_force", "put a preset in force that exists", "there is no preset %q", truncate(name))
		return
	}
	e.next.Preset = preset
}

// cloneMap returns a copy of m that is never nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}
