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

// StopCounts counts the calls of a router's planned stop. Running and Accepted together are
// those that the router had to finish: they are Complete, Cut, Left or, if their bodies were
// still being read when the stop began, may be Refused.
type StopCounts struct {
	// Running is the number of calls that were running when the stop began.
	Running int
	// Accepted and Refused are the numbers of calls accepted and refused during the stop.
	Accepted, Refused int
	// Complete is the number of calls that ended with a complete response, also an error.
	Complete int
	// Cut is the number of calls that the end of the stop cut.
	Cut int
	// Left is the number of calls whose callers left, or whose responses broke off.
	Left int
}

// PlannedStopEnded logs the end of a planned stop. complete is set if all work in
// progress could finish. counts is nil for roles that don't count calls.
func PlannedStopEnded(role string, complete bool, counts *StopCounts) {
	fields := log.Fields{"role": role, "complete": complete}
	if counts != nil {
		fields["running"], fields["accepted"], fields["refused"] = counts.Running, counts.Accepted, counts.Refused
		fields["answered"], fields["cut"], fields["left"] = counts.Complete, counts.Cut, counts.Left
	}
	log.WithFields(fields).Info("planned stop ends")
}

// SignalInPlannedStop logs a signal that came during a planned stop. ends is set if it ends
// the stop at once.
func SignalInPlannedStop(role, signal string, ends bool) {
	log.WithFields(log.Fields{"role": role, "signal": signal, "ends": ends}).Info("signal during the planned stop")
}

// PlannedStopCutRunning logs how many requests of a listener were running when a planned stop
// closed their connections.
func PlannedStopCutRunning(listener string, requests int) {
	log.WithFields(log.Fields{"listener": listener, "requests": requests}).Warn("requests were cut at the planned stop")
}

// PlannedStopCutRequests logs that a planned stop aborted requests of a listener.
func PlannedStopCutRequests(listener string, err error) {
	log.WithFields(log.Fields{"listener": listener, "error": errorText(err)}).Warn("requests were cut at the planned stop")
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

// SettingsReloadFailed logs that the settings can't be used, or only in part. If usable is false,
// the previous settings stay in force.
func SettingsReloadFailed(trigger string, usable bool, err error) {
	log.WithFields(log.Fields{"reason": trigger, "usable": usable, "error": errorText(err)}).Warn("settings were not reread")
}

// SettingsUsedInPart logs that a process starts with a part of its settings, because the rest is invalid.
func SettingsUsedInPart(err error) {
	log.WithFields(log.Fields{"error": errorText(err)}).Warn("invalid settings were skipped")
}

// DataFolderDamaged logs that a data folder was corrupt and has been moved aside.
func DataFolderDamaged(folder string, damage error) {
	log.WithFields(log.Fields{"data": folder, "damage": errorText(damage)}).Error("data folder was damaged; joining as a new replica")
}

// DiskFull logs that the disk of a data folder is full.
func DiskFull(folder string, err error) {
	log.WithFields(log.Fields{"data": folder, "error": errorText(err)}).Error("the disk is full; waiting for room")
}

// DiskSpaceReclaimed logs that a replica has removed what it can do without from a full disk. err is set if
// that failed.
func DiskSpaceReclaimed(folder string, err error) {
	log.WithFields(log.Fields{"data": folder, "error": errorText(err)}).Warn("space reclaimed on a full disk")
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
