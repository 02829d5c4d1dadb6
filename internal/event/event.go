// Package event defines all log events: one function for each event, with its
// message and typed fields. Processes log nothing else. In the log lines, times are
// in milliseconds and prompt sizes in tokens; versions are those of the replicated
// state unless a field says otherwise.
package event

import (
	"fmt"
	"strings"

	"github.com/apex/log"
)

// Class is the importance of an event. When there are too many events to log, those
// of class Routine are dropped first and those of class Failure last.
type Class int

// The classes, in the order in which their events are dropped.
const (
	// Routine is for calls that succeed, and for all debug events.
	Routine Class = iota
	// StateChange is for changes of a process's state, of its lifecycle, or of what
	// it knows of other processes.
	StateChange
	// Failure is for calls that were rejected or failed, and for failed components.
	Failure
)

// ClassOf returns the class of the event that e logs.
func ClassOf(e *log.Entry) Class {
	switch {
	case e.Level >= log.WarnLevel || e.Message == messageCallFailed || e.Message == messageAttemptFailed:
		return Failure
	case e.Message == messageCallServed || e.Message == messageCallAnswered || e.Level == log.DebugLevel:
		return Routine
	}
	return StateChange
}

// debugEnabled reports whether debug events are logged. Debug events check it first,
// to avoid building fields that are not used.
func debugEnabled() bool {
	logger, ok := log.Log.(*log.Logger)
	return !ok || logger.Level <= log.DebugLevel
}

// errorText returns the text of err; empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// withError adds the text of err to fields if err is not nil.
func withError(fields log.Fields, err error) log.Fields {
	if err != nil {
		fields["error"] = err.Error()
	}
	return fields
}

func hexID(id uint64) string { return fmt.Sprintf("%x", id) }

func hexIDs(ids []uint64) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = hexID(id)
	}
	return strings.Join(texts, ",")
}
