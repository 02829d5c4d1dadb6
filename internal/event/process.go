package event

import (
	"time"

	"github.com/apex/log"
)

// Process describes a process that has started.
type Process struct {
	Role, Name string
	// Domain is the failure domain.
	Domain string
	// Link is the listen address for links from other processes.
	Link string
	// Admin is the listen address for health and metrics.
	Admin string
	// TLS is set when links use TLS.
	TLS bool
	// StartReason is the kind of start, for example one with an empty data folder.
	StartReason string
}

// ProcessStarted logs that a process listens for links and starts its work.
func ProcessStarted(p Process) {
	log.WithFields(log.Fields{"role": p.Role, "name": p.Name, "domain": p.Domain, "link": p.Link, "admin": p.Admin,
		"tls": p.TLS, "reason": p.StartReason}).Info("process started")
}

// ProcessFailed logs the error that ends a process.
func ProcessFailed(err error) {
	log.WithField("error", errorText(err)).Error("process failed")
}

// PlannedStopStarted logs that a planned stop (graceful shutdown) begins.
func PlannedStopStarted(role string) {
	log.WithField("role", role).Info("planned stop begins")
}

// PlannedStopEnded logs the end of a planned stop. complete is set if all work in
// progress could finish.
func PlannedStopEnded(role string, complete bool) {
	log.WithFields(log.Fields{"role": role, "complete": complete}).Info("planned stop ends")
}

// PlannedStopCutRequests logs that a planned stop aborted requests of a listener.
func PlannedStopCutRequests(listener string, err error) {
	log.WithFields(log.Fields{"listener": listener, "error": errorText(err)}).Warn("requests were cut at the planned stop")
}

// StopCounts are numbers of calls in one planned stop.
type StopCounts struct {
	// Running is the number of calls that were running at its beginning.
	Running int
	// Accepted and Refused are the numbers of calls that came later.
	Accepted, Refused int
	// Ended is the number of calls that got an error because the stop ended, before
	// their response had begun.
	Ended int
	// Cut is the number of calls whose connection was closed before their response
	// was complete.
	Cut int
}

// PlannedStopCalls logs what became of the calls of a listener in a planned stop.
func PlannedStopCalls(listener string, c StopCounts) {
	log.WithFields(log.Fields{"listener": listener, "running": c.Running, "accepted": c.Accepted, "refused": c.Refused,
		"ended": c.Ended, "cut": c.Cut}).Info("calls of the planned stop")
}

// ComponentEnded logs that a component of the process ended with an error.
func ComponentEnded(part string, err error) {
	log.WithFields(log.Fields{"part": part, "error": errorText(err)}).Error("part of the process ended")
}

// PanicRecovered logs a panic that ended a call, a message or one round of a task.
func PanicRecovered(part, cause, stack string) {
	log.WithFields(log.Fields{"part": part, "error": cause, "stack": stack[:min(len(stack), maxStackBytes)]}).Error("panic recovered")
}

// maxStackBytes limits the stack in a log line. The functions that panicked are at its beginning.
const maxStackBytes = 4 << 10

// TraceFlushFailed logs that finished spans could not be written.
func TraceFlushFailed(err error) {
	log.WithField("error", errorText(err)).Warn("traces were not flushed")
}

// LibraryMessage logs a message that a library wrote to the standard logger.
func LibraryMessage(message string) {
	log.WithField("text", message).Warn("message of a library")
}

// Listening logs the address at which a process serves requests, and the kind of
// callers that it serves there.
func Listening(address, callers string) {
	log.WithFields(log.Fields{"address": address, "callers": callers}).Info("listening")
}

// ReadinessChanged logs that a process became ready, or not ready because of err.
func ReadinessChanged(err error) {
	log.WithFields(log.Fields{"ready": err == nil, "reason": errorText(err)}).Info("readiness changed")
}

// SettingsReloaded logs the control addresses found by a reload of the settings.
// trigger is the cause of the reload: a signal or the periodic check of the file.
func SettingsReloaded(trigger, control string, changed bool) {
	log.WithFields(log.Fields{"reason": trigger, "control": control, "changed": changed}).Info("settings reread")
}

// SettingsReloadFailed logs that a reload failed; the previous settings stay in
// force.
func SettingsReloadFailed(trigger string, err error) {
	log.WithFields(log.Fields{"reason": trigger, "error": errorText(err)}).Warn("settings were not reread")
}

// DataFolderDamaged logs that a data folder was corrupt and has been moved aside.
func DataFolderDamaged(folder string, damage error) {
	log.WithFields(log.Fields{"data": folder, "damage": errorText(damage)}).Error("data folder was damaged; joining as a new replica")
}

// DiskFull logs that the disk of a data folder is full.
func DiskFull(folder string, err error) {
	log.WithFields(log.Fields{"data": folder, "error": errorText(err)}).Error("the disk is full; waiting for room")
}

// DiskWritable logs that the disk of a data folder accepts writes again.
func DiskWritable(folder string) {
	log.WithField("data", folder).Info("the disk takes writes again")
}

// StandinStarted logs the address at which a stand-in backend server listens.
func StandinStarted(address, kind string) {
	log.WithFields(log.Fields{"address": address, "kind": kind}).Info("stand-in listening")
}

// StandinCrashed logs that a stand-in backend server simulates a crash.
func StandinCrashed(incarnation uint64) {
	log.WithField("incarnation", incarnation).Info("stand-in crashed")
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
