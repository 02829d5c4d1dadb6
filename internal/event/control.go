package event

import (
	"strings"
	"time"

	"github.com/apex/log"
)

// Replica identifies a control replica and its current term.
type Replica struct {
	ID, Term uint64
}

func (r Replica) fields() log.Fields { return log.Fields{"replica": hexID(r.ID), "term": r.Term} }

// RoleChanged logs that a replica became leader, follower or candidate.
func RoleChanged(r Replica, role string, leader, commit uint64) {
	fields := r.fields()
	fields["role"], fields["leader"], fields["commit"] = role, hexID(leader), commit
	log.WithFields(fields).Info("role changed")
}

// NoMajority logs an election without a winner: the voters that granted their vote,
// those that refused it, and those that did not answer.
func NoMajority(r Replica, granted, refused, silent []uint64) {
	fields := r.fields()
	fields["granted"], fields["refused"], fields["silent"] = hexIDs(granted), hexIDs(refused), hexIDs(silent)
	log.WithFields(fields).Warn("no majority of votes")
}

// QuorumLost logs that a leader steps down for lack of contact to a quorum: how long it has led, how long ago
// a quorum was in contact, the longest time in the term for which its own loop stood still, and the voters
// that were silent.
func QuorumLost(r Replica, led, contact, stalled time.Duration, silent []uint64) {
	fields := r.fields()
	fields["led_ms"], fields["contact_ms"], fields["stalled_ms"] = milliseconds(led), milliseconds(contact), milliseconds(stalled)
	fields["silent"] = hexIDs(silent)
	log.WithFields(fields).Warn("leader has lost the quorum")
}

// ReplicaStoodStill logs that a replica ran no timers and handled no messages for at least an election timeout, and
// how much of that time it waited for its disk. The rest is time without a processor, or a command that took long.
func ReplicaStoodStill(r Replica, stalled, disk time.Duration) {
	fields := r.fields()
	fields["stalled_ms"], fields["disk_ms"] = milliseconds(stalled), milliseconds(disk)
	log.WithFields(fields).Warn("the replica stood still")
}

// ReplicaSetChanged logs that the leader promoted, demoted or removed a replica by
// itself. silence is the time since that replica was last heard of.
func ReplicaSetChanged(r Replica, change string, changed uint64, address string, silence time.Duration) {
	fields := r.fields()
	fields["change"], fields["changed"], fields["address"], fields["silent_ms"] = change, hexID(changed), address, milliseconds(silence)
	log.WithFields(fields).Info("control replica changed")
}

// DeclaredLossesExceedBearable logs that fewer voters may be lost before there is no
// majority than the number declared.
func DeclaredLossesExceedBearable(r Replica, bearable, declared int) {
	log.WithFields(r.fields()).WithFields(log.Fields{"bearable": bearable, "declared": declared}).Warn("fewer losses can be borne than declared")
}

// DeclaredLossesBearable logs that as many voters may be lost as declared again.
func DeclaredLossesBearable(r Replica, bearable, declared int) {
	log.WithFields(r.fields()).WithFields(log.Fields{"bearable": bearable, "declared": declared}).Info("the declared losses can be borne")
}

// ClusterFormed logs that a new cluster has the voters that it needs to take commands.
func ClusterFormed(r Replica, voters int) {
	log.WithFields(r.fields()).WithField("voters", voters).Info("the cluster is formed")
}

// CommittedBelowDeclared logs that the leader reported a command as committed while the replica set had
// fewer voters than the declared losses need.
func CommittedBelowDeclared(r Replica, index uint64, voters, needed int) {
	log.WithFields(r.fields()).WithFields(log.Fields{"index": index, "voters": voters, "needed": needed}).Warn("committed with fewer voters than the declared losses need")
}

// FounderGivenUp logs that a replica gave up its identity of a founder of the cluster, since the first voters
// are chosen by agreement.
func FounderGivenUp(id uint64) {
	log.WithField("replica", hexID(id)).Info("no longer a founder; the first voters are chosen by agreement")
}

// ReplicaFailed logs the error that stopped a replica.
func ReplicaFailed(r Replica, err error) {
	log.WithFields(withError(r.fields(), err)).Error("replica failed")
}

// SnapshotInstalled logs that a replica installed the leader's snapshot up to index.
func SnapshotInstalled(r Replica, index uint64) {
	log.WithFields(r.fields()).WithField("index", index).Info("snapshot installed")
}

// SnapshotSaved logs that a replica saved a snapshot of its state up to index.
func SnapshotSaved(r Replica, index uint64) {
	log.WithFields(r.fields()).WithField("index", index).Info("snapshot saved")
}

// SnapshotNotSaved logs that a snapshot did not fit on the disk. The replica goes on, and tries again.
func SnapshotNotSaved(r Replica, err error) {
	log.WithFields(r.fields()).WithField("error", errorText(err)).Error("snapshot not saved")
}

// ReplicaWaitsForDisk logs that a replica stopped because its disk is full. It
// restarts once the disk accepts writes.
func ReplicaWaitsForDisk(err error) {
	log.WithField("error", errorText(err)).Error("the replica stopped; it starts anew once the disk takes writes")
}

// LeadershipTransferFailed logs that the leader could not hand over its leadership
// before a planned stop.
func LeadershipTransferFailed(err error) {
	log.WithField("error", errorText(err)).Warn("leadership was not handed over")
}

// LeaderTermStarted logs that a new leader starts its duties in a term. recentTerms is the number of
// earlier terms for whose grants its quotas keep a reserve.
func LeaderTermStarted(term uint64, recentTerms int) {
	log.WithFields(log.Fields{"term": term, "recent_terms": recentTerms}).Info("leading")
}

// QuotasResumed logs that a leader, which withheld units of quotas for those of earlier terms, grants them.
func QuotasResumed(term uint64) { log.WithField("term", term).Info("quotas are granted again") }

// LeaderTermStartFailed logs that a new leader could not start its duties.
func LeaderTermStartFailed(term uint64, err error) {
	log.WithFields(log.Fields{"term": term, "error": errorText(err)}).Warn("leader could not start its term")
}

// CommandNotCommitted logs that a command proposed by the leader was not committed.
func CommandNotCommitted(err error) {
	log.WithField("error", errorText(err)).Warn("leader's command was not committed")
}

// BackendChanged logs a committed change of a backend server's state.
func BackendChanged(backend, change string) {
	log.WithFields(log.Fields{"backend": backend, "change": change}).Info("backend server changed")
}

// BackendChangeRefused logs that a change of a backend server's state was rejected.
func BackendChangeRefused(backend, change, problem string) {
	log.WithFields(log.Fields{"backend": backend, "change": change, "problem": problem}).Warn("backend server change refused")
}

// BackendPaced logs that the leader limits a backend server that starts or recovers, in calls a
// second, that it lowers the limit, or that there is none any more (0), and why.
func BackendPaced(backend string, perSecond float64, cause string) {
	log.WithFields(log.Fields{"backend": backend, "per_second": perSecond, "cause": cause}).Info("backend server is paced")
}

// BackendLeaving logs that a backend server announced its own departure.
func BackendLeaving(backend string, incarnation uint64) {
	log.WithFields(log.Fields{"backend": backend, "incarnation": incarnation}).Info("backend server leaves")
}

// Crash describes the end of an engine that is counted against the request that it ran.
type Crash struct {
	// Request is the ID of the request, which is new each time the same request comes.
	Request, Account, Backend string
	Incarnation               uint64
	// Fingerprint identifies the same requests of an account, in hexadecimal.
	Fingerprint string
}

// maxLoggedParts limits the parts of a prompt that a line names.
const maxLoggedParts = 16

func (c Crash) fields() log.Fields {
	return log.Fields{"request": c.Request, "account": c.Account, "backend": c.Backend, "incarnation": c.Incarnation, "fingerprint": c.Fingerprint}
}

// CrashCounted logs that the leader has counted a crash, and how many it has counted
// against the same request.
func CrashCounted(c Crash, crashes uint32, quarantined bool) {
	log.WithFields(c.fields()).WithFields(log.Fields{"crashes": crashes, "quarantined": quarantined}).Info("crash counted")
}

// LoadReportsMissing logs that several consecutive requests for an engine's load
// report have failed.
func LoadReportsMissing(backend, address string, err error) {
	log.WithFields(log.Fields{"backend": backend, "address": address, "error": errorText(err)}).Warn("engine gives no load reports")
}

// PreLoadReportMissing logs that the leader could not read an engine's report, which
// it needs before it orders the engine to load other weights.
func PreLoadReportMissing(backend string, err error) {
	log.WithFields(log.Fields{"backend": backend, "error": errorText(err)}).Warn("engine gave no report")
}

// LoadDigestRefused logs that a replica did not accept a digest of load reports.
func LoadDigestRefused(replica string, err error) {
	if debugEnabled() {
		log.WithFields(log.Fields{"replica": replica, "error": errorText(err)}).Debug("load digest was not taken")
	}
}

// LeaderCannotReachBackend logs that the machine of a backend server does not answer the leader,
// which proposes to suspect it.
func LeaderCannotReachBackend(backend, address string) {
	log.WithFields(log.Fields{"backend": backend, "address": address}).Warn("leader can't reach a backend server")
}

// CacheEventsUnreachable logs that the cache events of an engine or store can't be
// read.
func CacheEventsUnreachable(address string, err error) {
	log.WithFields(log.Fields{"address": address, "error": errorText(err)}).Info("cache events are out of reach")
}

// Order describes an order of the leader to an engine.
type Order struct {
	// ID is 0 for engines without an agent: their orders have no ID.
	ID             uint64
	Backend, Model string
	// Weights is the weights version to load.
	Weights string
	// Fencing is the fencing token of the leader's term.
	Fencing uint64
	// Orders is the number of orders that the engine must have accepted before this
	// one.
	Orders uint64
}

func (o Order) fields() log.Fields {
	return log.Fields{"backend": o.Backend, "order": o.ID, "model": o.Model, "weights": o.Weights, "fencing": o.Fencing, "orders": o.Orders}
}

// WeightsLoading logs that an engine accepted an order to load weights.
func WeightsLoading(o Order) {
	log.WithFields(o.fields()).Info("engine loads new weights")
}

// OrderRefused logs that an engine rejected an order or could not be reached.
func OrderRefused(o Order, err error) {
	log.WithFields(withError(o.fields(), err)).Warn("engine did not accept the order")
}

// WeightsTargetSet logs the weights version that the engines of a model are to load.
func WeightsTargetSet(model string, version uint64) {
	log.WithFields(log.Fields{"model": model, "weights": version}).Info("weights named")
}

// RouteTableDecision describes the decision on a route table that an operator sent.
type RouteTableDecision struct {
	// OfferedVersion is the version of the table that was sent.
	OfferedVersion uint64
	// VersionInForce is the version in force after the decision.
	VersionInForce uint64
	Status         string
}

func (d RouteTableDecision) fields() log.Fields {
	return log.Fields{"offered": d.OfferedVersion, "in_force": d.VersionInForce, "status": d.Status}
}

// RouteTableAcknowledged logs that a route table was accepted or superseded.
func RouteTableAcknowledged(d RouteTableDecision) {
	log.WithFields(d.fields()).Info("route table acknowledged")
}

// RouteTableRefused logs the problems of an invalid route table.
func RouteTableRefused(d RouteTableDecision, problems []string) {
	log.WithFields(d.fields()).WithField("problems", strings.Join(problems, "; ")).Warn("route table refused")
}

// ControlCallFailed logs that a call from an operator or a backend server to control
// failed.
func ControlCallFailed(call string, status int, kind string, err error) {
	log.WithFields(log.Fields{"call": call, "status": status, "kind": kind, "error": errorText(err)}).Warn("call to control refused")
}

// HeartbeatsShed logs how many heartbeats of backend servers were refused since the last such line
// because this process is behind.
func HeartbeatsShed(shed int, behind time.Duration) {
	log.WithFields(log.Fields{"shed": shed, "behind_ms": behind.Milliseconds()}).Warn("heartbeats shed")
}

// HeartbeatsFailed logs how many heartbeats of backend servers were refused since the last such line
// because no leader has decided about them, with the error of the newest one.
func HeartbeatsFailed(failed int, kind string, err error) {
	log.WithFields(log.Fields{"failed": failed, "kind": kind, "error": errorText(err)}).Warn("heartbeats not passed on")
}

// maxForeignText limits the parts of an invalid message that are logged.
const maxForeignText = 160

// HeartbeatsRefused logs how many heartbeats were refused since the last such line because they
// name no usable backend server, with the name and the error of the newest one.
func HeartbeatsRefused(refused int, backend string, err error) {
	text := errorText(err)
	log.WithFields(log.Fields{"refused": refused, "backend": backend[:min(len(backend), maxForeignText)],
		"error": text[:min(len(text), maxForeignText)]}).Warn("heartbeats of backend servers refused")
}

// ControlResponseUndelivered logs that control could not write a response to its
// caller.
func ControlResponseUndelivered(call string, err error) {
	log.WithFields(log.Fields{"call": call, "error": errorText(err)}).Warn("the reader of an answer has left")
}

// OperatorRequest describes an HTTP request of an operator.
type OperatorRequest struct {
	// KeyDigestPrefix is the start of the digest of the operator's key, in
	// hexadecimal.
	KeyDigestPrefix string
	Method, Path    string
	// Peer is the remote address of the request.
	Peer string
}

func (c OperatorRequest) fields() log.Fields {
	return log.Fields{"operator_key": c.KeyDigestPrefix, "method": c.Method, "path": c.Path, "peer": c.Peer}
}

// OperatorRequestFailed logs that a request of an operator failed.
func OperatorRequestFailed(c OperatorRequest, err error) {
	log.WithFields(withError(c.fields(), err)).Warn("operator request failed")
}

// OperatorKeyUnknown logs that a request with an unknown operator key was rejected.
func OperatorKeyUnknown(path, peer string) {
	log.WithFields(log.Fields{"path": path, "peer": peer}).Warn("operator request refused: unknown key")
}

// ConfigChangeDecision describes the decision on a change of the configuration.
type ConfigChangeDecision struct {
	ID, Operator string
	// BaseRevision is the revision that the change was made for.
	BaseRevision uint64
	// Revision is the revision in force after the decision.
	Revision uint64
	Status   string
	// Repeated is set when the same change was decided before.
	Repeated bool
}

// ConfigChangeDecided logs the decision on a change of the configuration.
func ConfigChangeDecided(c OperatorRequest, change ConfigChangeDecision) {
	log.WithFields(c.fields()).WithFields(log.Fields{
		"change_id": change.ID, "operator": change.Operator, "base_revision": change.BaseRevision,
		"status": change.Status, "revision": change.Revision, "repeated": change.Repeated,
	}).Info("configuration change decided")
}

// BackendChangeDecided logs the decision on an operator's change of a backend
// server.
func BackendChangeDecided(c OperatorRequest, backend string, accepted bool, problem string) {
	log.WithFields(c.fields()).WithFields(log.Fields{"backend": backend, "accepted": accepted, "problem": problem}).
		Info("backend server change decided")
}

// Bootstrapped logs that an operator bootstrapped the installation.
func Bootstrapped(c OperatorRequest) {
	log.WithFields(c.fields()).Info("installation bootstrapped")
}

// ReplicaRemoved logs that an operator removed a control replica.
func ReplicaRemoved(c OperatorRequest, id string) {
	log.WithFields(c.fields()).WithField("replica", id).Info("control replica removed")
}

// EngineSpeedChanged logs that an engine is clearly faster or slower than the median one of its
// service, in percent of that; 100 if it no longer is.
func EngineSpeedChanged(backend string, percent uint32) {
	log.WithFields(log.Fields{"backend": backend, "percent": percent}).Info("engine differs in speed")
}
