package event

import (
	"strings"

	"github.com/apex/log"
)

// Replica names a control replica and its term.
type Replica struct {
	ID, Term uint64
}

func (r Replica) fields() log.Fields { return log.Fields{"replica": hexID(r.ID), "term": r.Term} }

// RoleChanged tells that a replica leads, follows or stands for election.
func RoleChanged(r Replica, role string, leader, commit uint64) {
	fields := r.fields()
	fields["role"], fields["leader"], fields["commit"] = role, hexID(leader), commit
	log.WithFields(fields).Info("role changed")
}

// ReplicaFailed tells why a replica stopped.
func ReplicaFailed(r Replica, err error) {
	log.WithFields(withError(r.fields(), err)).Error("replica failed")
}

// SnapshotInstalled tells that a replica took the leader's state up to an index.
func SnapshotInstalled(r Replica, index uint64) {
	log.WithFields(r.fields()).WithField("index", index).Info("snapshot installed")
}

// SnapshotSaved tells that a replica wrote its state up to an index.
func SnapshotSaved(r Replica, index uint64) {
	log.WithFields(r.fields()).WithField("index", index).Info("snapshot saved")
}

// ReplicaPaused tells that a replica stopped and starts anew once its disk takes
// writes.
func ReplicaPaused(err error) {
	log.WithField("error", text(err)).Error("the replica stopped; it starts anew once the disk takes writes")
}

// LeadershipKept tells that leadership was not handed over before a planned stop.
func LeadershipKept(err error) {
	log.WithField("error", text(err)).Warn("leadership was not handed over")
}

// Leading tells that the leader's own work begins in a term.
func Leading(term uint64) {
	log.WithField("term", term).Info("leading")
}

// TermNotStarted tells that a leader could not begin its work.
func TermNotStarted(term uint64, err error) {
	log.WithFields(log.Fields{"term": term, "error": text(err)}).Warn("leader could not start its term")
}

// CommandLost tells that a command of the leader was not committed.
func CommandLost(err error) {
	log.WithField("error", text(err)).Warn("leader's command was not committed")
}

// BackendChanged tells of a committed change of a backend server's state.
func BackendChanged(backend, change string) {
	log.WithFields(log.Fields{"backend": backend, "change": change}).Info("backend server changed")
}

// BackendUnchanged tells why a change of a backend server's state was refused.
func BackendUnchanged(backend, change, problem string) {
	log.WithFields(log.Fields{"backend": backend, "change": change, "problem": problem}).Warn("backend server change refused")
}

// BackendLeaves tells that a backend server said it leaves.
func BackendLeaves(backend string, incarnation uint64) {
	log.WithFields(log.Fields{"backend": backend, "incarnation": incarnation}).Info("backend server leaves")
}

// ReportsMissing tells that an engine gave no load reports several times.
func ReportsMissing(backend, address string, err error) {
	log.WithFields(log.Fields{"backend": backend, "address": address, "error": text(err)}).Warn("engine gives no load reports")
}

// ReportMissing tells that an engine gave no report before its weights change.
func ReportMissing(backend string, err error) {
	log.WithFields(log.Fields{"backend": backend, "error": text(err)}).Warn("engine gave no report")
}

// DigestRefused tells that a replica did not take a digest of loads.
func DigestRefused(replica string, err error) {
	if debugLogged() {
		log.WithFields(log.Fields{"replica": replica, "error": text(err)}).Debug("load digest was not taken")
	}
}

// CacheEventsLost tells that a source of cache events can't be followed.
func CacheEventsLost(address string, err error) {
	log.WithFields(log.Fields{"address": address, "error": text(err)}).Info("cache events are out of reach")
}

// Order is an order of the leader to an engine.
type Order struct {
	// ID is 0 for engines whose orders have no numbers.
	ID             uint64
	Backend, Model string
	// Weights is the version to load.
	Weights string
	// Fencing is the token of the leader's term.
	Fencing uint64
	// Orders is the number of orders given in this term.
	Orders uint64
}

func (o Order) fields() log.Fields {
	return log.Fields{"backend": o.Backend, "order": o.ID, "model": o.Model, "weights": o.Weights, "fencing": o.Fencing, "orders": o.Orders}
}

// WeightsLoading tells that an engine accepted the order to load weights.
func WeightsLoading(o Order) {
	log.WithFields(o.fields()).Info("engine loads new weights")
}

// OrderRefused tells that an engine did not accept an order.
func OrderRefused(o Order, err error) {
	log.WithFields(withError(o.fields(), err)).Warn("engine did not accept the order")
}

// WeightsNamed tells which version of a model's weights is wanted.
func WeightsNamed(model string, version uint64) {
	log.WithFields(log.Fields{"model": model, "weights": version}).Info("weights named")
}

// Table is the outcome of an offered route table.
type Table struct {
	Offered, InForce uint64
	Status           string
}

func (t Table) fields() log.Fields {
	return log.Fields{"offered": t.Offered, "in_force": t.InForce, "status": t.Status}
}

// TableAcknowledged tells that an offered route table was decided on.
func TableAcknowledged(t Table) {
	log.WithFields(t.fields()).Info("route table acknowledged")
}

// TableRefused tells why an offered route table is not valid.
func TableRefused(t Table, problems []string) {
	log.WithFields(t.fields()).WithField("problems", strings.Join(problems, "; ")).Warn("route table refused")
}

// ControlCallFailed tells why a call of an operator or a backend server to control
// failed.
func ControlCallFailed(call string, status int, kind string, err error) {
	log.WithFields(log.Fields{"call": call, "status": status, "kind": kind, "error": text(err)}).Warn("call to control refused")
}

// ControlAnswerLost tells that an answer of control did not reach its reader.
func ControlAnswerLost(call string, err error) {
	log.WithFields(log.Fields{"call": call, "error": text(err)}).Warn("the reader of an answer has left")
}

// OperatorCall is a request of an operator. Key is the start of the key's digest.
type OperatorCall struct {
	Key, Method, Path, Peer string
}

func (c OperatorCall) fields() log.Fields {
	return log.Fields{"operator_key": c.Key, "method": c.Method, "path": c.Path, "peer": c.Peer}
}

// OperatorFailed tells why a request of an operator failed.
func OperatorFailed(c OperatorCall, err error) {
	log.WithFields(withError(c.fields(), err)).Warn("operator request failed")
}

// OperatorUnknown tells that a request with an unknown key was refused.
func OperatorUnknown(path, peer string) {
	log.WithFields(log.Fields{"path": path, "peer": peer}).Warn("operator request refused: unknown key")
}

// Change is a decided change of the configuration.
type Change struct {
	ID, Operator           string
	BaseRevision, Revision uint64
	Status                 string
	Repeated               bool
}

// ChangeDecided tells how a change of the configuration was decided.
func ChangeDecided(c OperatorCall, change Change) {
	log.WithFields(c.fields()).WithFields(log.Fields{
		"change_id": change.ID, "operator": change.Operator, "base_revision": change.BaseRevision,
		"status": change.Status, "revision": change.Revision, "repeated": change.Repeated,
	}).Info("configuration change decided")
}

// OperatorBackendChange tells how an operator's change of a backend server was
// decided.
func OperatorBackendChange(c OperatorCall, backend string, accepted bool, problem string) {
	log.WithFields(c.fields()).WithFields(log.Fields{"backend": backend, "accepted": accepted, "problem": problem}).
		Info("backend server change decided")
}

// Bootstrapped tells that an operator began the installation.
func Bootstrapped(c OperatorCall) {
	log.WithFields(c.fields()).Info("installation bootstrapped")
}

// ReplicaRemoved tells that a control replica was removed.
func ReplicaRemoved(c OperatorCall, id string) {
	log.WithFields(c.fields()).WithField("replica", id).Info("control replica removed")
}
