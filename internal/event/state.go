package event

import (
	"time"

	"github.com/apex/log"
)

// ViewAdopted logs that a router has started to use a newer view. table is the
// version of the view's route table, cacheGeneration that of the cached state that
// accounts share; backends and ready count all backend servers and the ready ones.
func ViewAdopted(version, table, cacheGeneration uint64, backends, ready int) {
	log.WithFields(log.Fields{"view": version, "table": table, "cache_generation": cacheGeneration, "backends": backends, "ready": ready}).Info("view adopted")
}

// ViewUnconfirmed logs that the process can no longer confirm that its view is the
// newest one. age is the time since the last confirmation, source the process that
// the view comes from.
func ViewUnconfirmed(version uint64, age time.Duration, source string) {
	log.WithFields(log.Fields{"view": version, "view_age_ms": milliseconds(age), "source": source}).Warn("the view is not confirmed")
}

// ViewConfirmed logs that the view is confirmed as the newest one again.
func ViewConfirmed(version uint64, source string) {
	log.WithFields(log.Fields{"view": version, "source": source}).Info("the view is confirmed")
}

// ViewSourceFailed logs that view updates could not be read from the process at
// address.
func ViewSourceFailed(address string, err error) {
	if debugEnabled() {
		log.WithFields(log.Fields{"address": address, "error": errorText(err)}).Debug("view source failed")
	}
}

// ControlReplicasChanged logs the new list of control replicas that a process
// calls.
func ControlReplicasChanged(addresses string) {
	log.WithField("control", addresses).Info("control replicas changed")
}

// BackendSaysItLeaves logs that a backend server has said in a response that it leaves.
func BackendSaysItLeaves(backend, address string) {
	log.WithFields(log.Fields{"backend": backend, "address": address}).Info("backend server says it leaves")
}

// BackendWantsNoCalls logs that a backend server turned a call away and wants no more
// for a time.
func BackendWantsNoCalls(backend, address string, quiet time.Duration) {
	log.WithFields(log.Fields{"backend": backend, "address": address, "for_ms": milliseconds(quiet)}).Info("backend server wants no calls")
}

// BackendLimitsCalls logs that a backend server names a limit for the calls of all routers
// together, or that it names it no longer (0).
func BackendLimitsCalls(backend, address string, perSecond float64) {
	log.WithFields(log.Fields{"backend": backend, "address": address, "per_second": perSecond}).Info("backend server limits its calls")
}

// BackendLimitInvalid logs that a backend server named a limit that can't be used.
func BackendLimitInvalid(backend, address, text string) {
	log.WithFields(log.Fields{"backend": backend, "address": address, "text": text}).Warn("the limit can't be read")
}

// RouterNotListed logs that the leader can't be told that a router runs.
func RouterNotListed(err error) {
	log.WithFields(log.Fields{"error": err}).Warn("router not listed")
}

// PermitsNotReceived logs that a router gets no permits for backend servers that limit
// their calls. Log lines of one router are at least a second apart.
func PermitsNotReceived(err error) {
	log.WithFields(log.Fields{"error": err}).Warn("permits not received")
}

// PermitsReceivedAgain logs that a router gets permits again.
func PermitsReceivedAgain(missing time.Duration) {
	log.WithFields(log.Fields{"for_ms": milliseconds(missing)}).Info("permits received again")
}

// Quota describes the quota of a client account at a process. Amounts are in units of the quota.
type Quota struct {
	Account string
	// PerSecond and Burst are the quota, and Demand is what requests ask for a second.
	PerSecond, Burst, Demand float64
	// Level is what can be used or granted, and Held what was given out and is not known to be
	// used.
	Level, Held float64
}

func (q *Quota) fields() log.Fields {
	return log.Fields{"account": q.Account, "per_second": q.PerSecond, "burst": q.Burst, "demand": q.Demand, "level": q.Level, "held": q.Held}
}

// QuotaRefusals logs that a router has refused calls of an account within a time, since its quota
// is used up.
func QuotaRefusals(q Quota, refused int64, within time.Duration) {
	fields := q.fields()
	fields["refused"], fields["for_ms"] = refused, milliseconds(within)
	log.WithFields(fields).Warn("calls refused by quota")
}

// QuotaShared logs how the leader shares out the quota of an account.
func QuotaShared(q Quota, routers int) {
	fields := q.fields()
	fields["routers"] = routers
	log.WithFields(fields).Info("quota shared out")
}

// BackendRetryAfterInvalid logs that a backend server named a time to come back that
// can't be used.
func BackendRetryAfterInvalid(backend, address, text string) {
	log.WithFields(log.Fields{"backend": backend, "address": address, "text": text}).Warn("the time to come back can't be read")
}

// CacheStoreChanged logs that a store of cached state has become reachable or
// unreachable.
func CacheStoreChanged(address string, up bool, err error) {
	log.WithFields(withError(log.Fields{"store": address, "up": up}, err)).Info("store of cached state changed")
}

// BackendDown logs that an agent's backend server does not respond.
func BackendDown(backend string, err error) {
	log.WithFields(log.Fields{"backend": backend, "error": errorText(err)}).Warn("backend server is down")
}

// BackendUp logs that an agent's backend server responds again, has restarted, or
// offers other models than before. models is the number of its models.
func BackendUp(backend string, incarnation uint64, models int) {
	log.WithFields(log.Fields{"backend": backend, "incarnation": incarnation, "models": models}).Info("backend server is up")
}

// DrainChanged logs that an agent starts or stops refusing new work.
func DrainChanged(backend string, draining bool) {
	log.WithFields(log.Fields{"backend": backend, "draining": draining}).Info("drain state changed")
}

// ControlUnreachable logs that an agent can't reach any control replica.
func ControlUnreachable(backend string, err error) {
	log.WithFields(log.Fields{"backend": backend, "error": errorText(err)}).Warn("control can't be reached")
}

// ControlReachable logs that an agent can reach a control replica again.
func ControlReachable(backend string) {
	log.WithField("backend", backend).Info("control is reached again")
}

// ProbeFailed logs that a backend server's agent did not answer a probe.
func ProbeFailed(backend string, err error) {
	if debugEnabled() {
		log.WithFields(log.Fields{"backend": backend, "error": errorText(err)}).Debug("probe failed")
	}
}

// CacheEventsReadFailed logs that an agent could not read the cache events of its
// engine.
func CacheEventsReadFailed(backend string, err error) {
	if debugEnabled() {
		log.WithFields(log.Fields{"backend": backend, "error": errorText(err)}).Debug("cache events not read")
	}
}

// OrderFinished logs that an agent has finished an order from the control leader,
// with the error if it failed.
func OrderFinished(o Order, err error) {
	log.WithFields(withError(o.fields(), err)).Info("order finished")
}
