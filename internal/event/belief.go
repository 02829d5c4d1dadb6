package event

import (
	"time"

	"github.com/apex/log"
)

// ViewAdopted tells that a router decides by a newer view.
func ViewAdopted(version, table uint64, backends, ready int) {
	log.WithFields(log.Fields{"view": version, "table": table, "backends": backends, "ready": ready}).Info("view adopted")
}

// ViewUnconfirmed tells that the view can't be shown to be the newest any more.
func ViewUnconfirmed(version uint64, age time.Duration, source string) {
	log.WithFields(log.Fields{"view": version, "view_age_ms": milliseconds(age), "source": source}).Warn("the view is not confirmed")
}

// ViewConfirmed tells that the view is known to be the newest again.
func ViewConfirmed(version uint64, source string) {
	log.WithFields(log.Fields{"view": version, "source": source}).Info("the view is confirmed")
}

// ViewSourceFailed tells that the view could not be followed from a process.
func ViewSourceFailed(address string, err error) {
	if debugLogged() {
		log.WithFields(log.Fields{"address": address, "error": text(err)}).Debug("view source failed")
	}
}

// ControlReplicasChanged tells which control replicas a process calls from now on.
func ControlReplicasChanged(addresses string) {
	log.WithField("control", addresses).Info("control replicas changed")
}

// CacheStoreChanged tells that a store of cached state came or went.
func CacheStoreChanged(address string, up bool, err error) {
	log.WithFields(withError(log.Fields{"store": address, "up": up}, err)).Info("store of cached state changed")
}

// BackendDown tells that an agent's backend server does not answer.
func BackendDown(backend string, err error) {
	log.WithFields(log.Fields{"backend": backend, "error": text(err)}).Warn("backend server is down")
}

// BackendUp tells that an agent's backend server answers, in a new life or anew.
func BackendUp(backend string, incarnation uint64, models int) {
	log.WithFields(log.Fields{"backend": backend, "incarnation": incarnation, "models": models}).Info("backend server is up")
}

// DrainChanged tells that an agent begins or ceases to refuse new work.
func DrainChanged(backend string, draining bool) {
	log.WithFields(log.Fields{"backend": backend, "draining": draining}).Info("drain state changed")
}

// ControlUnreachable tells that an agent can't reach control.
func ControlUnreachable(backend string, err error) {
	log.WithFields(log.Fields{"backend": backend, "error": text(err)}).Warn("control can't be reached")
}

// ControlReachable tells that an agent reaches control again.
func ControlReachable(backend string) {
	log.WithField("backend", backend).Info("control is reached again")
}

// ProbeFailed tells that a backend server's agent did not answer a probe.
func ProbeFailed(backend string, err error) {
	if debugLogged() {
		log.WithFields(log.Fields{"backend": backend, "error": text(err)}).Debug("probe failed")
	}
}

// CacheEventsReadFailed tells that an agent got no cache events from its engine.
func CacheEventsReadFailed(backend string, err error) {
	if debugLogged() {
		log.WithFields(log.Fields{"backend": backend, "error": text(err)}).Debug("cache events not read")
	}
}

// OrderFinished tells how an agent carried out an order of the leader.
func OrderFinished(o Order, err error) {
	log.WithFields(withError(o.fields(), err)).Info("order finished")
}
