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

// ReplicaWaitsForDisk tells that a replica stopped and starts anew once its disk takes
// writes.
func ReplicaWaitsForDisk(err error) {
	log.WithField("error", text(err)).Error("the replica stopped; it starts anew once the disk takes writes")
}

// LeadershipTransferFailed tells that leadership was not handed over before a planned stop.
func LeadershipTransferFailed(err error) {
	log.WithField("error", text(err)).Warn("leadership was not handed over")
}

// LeaderTermStarted tells that the leader's own work begins in a term.
func LeaderTermStarted(term uint64) {
	log.WithField("term", term).Info("leading")
}

// LeaderTermStartFailed tells that a leader could not begin its work.
func LeaderTermStartFailed(term uint64, err error) {
	log.WithFields(log.Fields{"term": term, "error": text(err)}).Warn("leader could not start its term")
}

// CommandNotCommitted tells that a command of the leader was not committed.
func CommandNotCommitted(err error) {
	log.WithField("error", text(err)).Warn("leader's command was not committed")
}

// BackendChanged tells of a committed change of a backend server's state.
func BackendChanged(backend, change string) {
	log.WithFields(log.Fields{"backend": backend, "change": change}).Info("backend server changed")
}

// BackendChangeRefused tells why a change of a backend server's state was refused.
func BackendChangeRefused(backend, change, problem string) {
	log.WithFields(log.Fields{"backend": backend, "change": change, "problem": problem}).Warn("backend server change refused")
}

// BackendLeaving tells that a backend server said it leaves.
func BackendLeaving(backend string, incarnation uint64) {
	log.WithFields(log.Fields{"backend": backend, "incarnation": incarnation}).Info("backend server leaves")
}

// LoadReportsMissing tells that an engine gave no load reports several times.
func LoadReportsMissing(backend, address string, err error) {
	log.WithFields(log.Fields{"backend": backend, "address": address, "error": text(err)}).Warn("engine gives no load reports")
}

// PreLoadReportMissing tells that an engine gave no report before its weights change.
func PreLoadReportMissing(backend string, err error) {
	log.WithFields(log.Fields{"backend": backend, "error": text(err)}).Warn("engine gave no report")
}

// LoadDigestRefused tells that a replica did not take a digest of loads.
func LoadDigestRefused(replica string, err error) {
	if debugLogged() {
		log.WithFields(log.Fields{"replica": replica, "error": text(err)}).Debug("load digest was not taken")
	}
}

// CacheEventsUnreachable tells that a source of cache events can't be followed.
func CacheEventsUnreachable(address string, err error) {
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

// WeightsTargetSet tells which version of a model's weights is wanted.
func WeightsTargetSet(model string, version uint64) {
	log.WithFields(log.Fields{"model": model, "weights": version}).Info("weights named")
}

// Table is the outcome of an offered route table.
type Table struct {
	OfferedVersion, VersionInForce uint64
	Status                         string
}

func (t Table) fields() log.Fields {
	return log.Fields{"offered": t.OfferedVersion, "in_force": t.VersionInForce, "status": t.Status}
}

// RouteTableAcknowledged tells that an offered route table was decided on.
func RouteTableAcknowledged(t Table) {
	log.WithFields(t.fields()).Info("route table acknowledged")
}

// RouteTableRefused tells why an offered route table is not valid.
func RouteTableRefused(t Table, problems []string) {
	log.WithFields(t.fields()).WithField("problems", strings.Join(problems, "; ")).Warn("route table refused")
}

// ControlCallFailed tells why a call of an operator or a backend server to control
// failed.
func ControlCallFailed(call string, status int, kind string, err error) {
	log.WithFields(log.Fields{"call": call, "status": status, "kind": kind, "error": text(err)}).Warn("call to control refused")
}

// ControlResponseUndelivered tells that an answer of control did not reach its reader.
func ControlResponseUndelivered(call string, err error) {
	log.WithFields(log.Fields{"call": call, "error": text(err)}).Warn("the reader of an answer has left")
}

// OperatorRequest is a request of an operator. Key is the start of the key's digest.
type OperatorRequest struct {
	KeyDigestPrefix, Method, Path, Peer string
}

func (c OperatorRequest) fields() log.Fields {
	return log.Fields{"operator_key": c.KeyDigestPrefix, "method": c.Method, "path": c.Path, "peer": c.Peer}
}

// OperatorRequestFailed tells why a request of an operator failed.
func OperatorRequestFailed(c OperatorRequest, err error) {
	log.WithFields(withError(c.fields(), err)).Warn("operator request failed")
}

// OperatorKeyUnknown tells that a request with an unknown key was refused.
func OperatorKeyUnknown(path, peer string) {
	log.WithFields(log.Fields{"path": path, "peer": peer}).Warn("operator request refused: unknown key")
}

// Change is a decided change of the configuration.
type Change struct {
	ID, Operator           string
	BaseRevision, Revision uint64
	Status                 string
	Repeated               bool
}

// ConfigChangeDecided tells how a change of the configuration was decided.
func ConfigChangeDecided(c OperatorRequest, change Change) {
	log.WithFields(c.fields()).WithFields(log.Fields{
		"change_id": change.ID, "operator": change.Operator, "base_revision": change.BaseRevision,
		"status": change.Status, "revision": change.Revision, "repeated": change.Repeated,
	}).Info("configuration change decided")
}

// BackendChangeDecided tells how an operator's change of a backend server was
// decided.
func BackendChangeDecided(c OperatorRequest, backend string, accepted bool, problem string) {
	log.WithFields(c.fields()).WithFields(log.Fields{"backend": backend, "accepted": accepted, "problem": problem}).
		Info("backend server change decided")
}

// Bootstrapped tells that an operator began the installation.
func Bootstrapped(c OperatorRequest) {
	log.WithFields(c.fields()).Info("installation bootstrapped")
}

// ReplicaRemoved tells that a control replica was removed.
func ReplicaRemoved(c OperatorRequest, id string) {
	log.WithFields(c.fields()).WithField("replica", id).Info("control replica removed")
}
