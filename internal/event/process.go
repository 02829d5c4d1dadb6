package event

import (
	"time"

	"github.com/apex/log"
)

// Process describes a process at its start.
type Process struct {
	Role, Name, Domain string
	// Link and Admin are the addresses where it listens.
	Link, Admin string
	TLS         bool
	// StartReason tells what kind of start it is, such as one on an empty data folder.
	StartReason string
}

// ProcessStarted tells that a process has its links and begins its work.
func ProcessStarted(p Process) {
	log.WithFields(log.Fields{"role": p.Role, "name": p.Name, "domain": p.Domain, "link": p.Link, "admin": p.Admin,
		"tls": p.TLS, "reason": p.StartReason}).Info("process started")
}

// ProcessFailed tells why a process ends by itself.
func ProcessFailed(err error) {
	log.WithField("error", text(err)).Error("process failed")
}

// PlannedStopStarted tells that a planned stop begins.
func PlannedStopStarted(role string) {
	log.WithField("role", role).Info("planned stop begins")
}

// PlannedStopEnded tells whether a planned stop has let all work finish.
func PlannedStopEnded(role string, complete bool) {
	log.WithFields(log.Fields{"role": role, "complete": complete}).Info("planned stop ends")
}

// PlannedStopCutRequests tells that a planned stop has cut requests of a listener.
func PlannedStopCutRequests(listener string, err error) {
	log.WithFields(log.Fields{"listener": listener, "error": text(err)}).Warn("requests were cut at the planned stop")
}

// ComponentEnded tells that a part of a process ended.
func ComponentEnded(part string, err error) {
	log.WithFields(log.Fields{"part": part, "error": text(err)}).Error("part of the process ended")
}

// TraceFlushFailed tells that finished spans were not written.
func TraceFlushFailed(err error) {
	log.WithField("error", text(err)).Warn("traces were not flushed")
}

// LibraryMessage carries what a library writes to the standard logger.
func LibraryMessage(message string) {
	log.WithField("text", message).Warn("message of a library")
}

// Listening tells where a process serves, and whom.
func Listening(address, callers string) {
	log.WithFields(log.Fields{"address": address, "callers": callers}).Info("listening")
}

// ReadinessChanged tells that a process begins or ceases to take calls.
func ReadinessChanged(err error) {
	log.WithFields(log.Fields{"ready": err == nil, "reason": text(err)}).Info("readiness changed")
}

// SettingsReloaded tells what a reload of the settings found. Trigger is what led to
// it: a signal or a change of the file.
func SettingsReloaded(trigger, control string, changed bool) {
	log.WithFields(log.Fields{"reason": trigger, "control": control, "changed": changed}).Info("settings reread")
}

// SettingsReloadFailed tells that a reload failed; the settings stay as they were.
func SettingsReloadFailed(trigger string, err error) {
	log.WithFields(log.Fields{"reason": trigger, "error": text(err)}).Warn("settings were not reread")
}

// DataFolderDamaged tells that a data folder could not be trusted and was set aside.
func DataFolderDamaged(folder string, damage error) {
	log.WithFields(log.Fields{"data": folder, "damage": text(damage)}).Error("data folder was damaged; joining as a new replica")
}

// DiskFull tells that a disk takes no writes.
func DiskFull(folder string, err error) {
	log.WithFields(log.Fields{"data": folder, "error": text(err)}).Error("the disk is full; waiting for room")
}

// DiskWritable tells that a disk takes writes again.
func DiskWritable(folder string) {
	log.WithField("data", folder).Info("the disk takes writes again")
}

// StandinStarted tells where a stand-in listens.
func StandinStarted(address, kind string) {
	log.WithFields(log.Fields{"address": address, "kind": kind}).Info("stand-in listening")
}

// StandinCrashed tells that a stand-in plays a crash.
func StandinCrashed(incarnation uint64) {
	log.WithField("incarnation", incarnation).Info("stand-in crashed")
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
