// Package event is the closed vocabulary of log events: a function for each, with
// its name and typed fields. Processes write no other lines. Times are in
// milliseconds, sizes of prompts in tokens; versions are those of the replicated
// state unless a field says otherwise.
package event

import (
	"fmt"

	"github.com/apex/log"
)

// Class tells what becomes of an event when there are too many: Routine ones are
// dropped first, Failures last.
type Class int

// The classes, in the order in which their lines are dropped.
const (
	// Routine is a decision on a call that goes well.
	Routine Class = iota
	// StateChange is a change of what a process believes, or of its own life.
	StateChange
	// Failure is a call refused or failed, or a part that fails.
	Failure
)

// ClassOf returns the class of an entry.
func ClassOf(e *log.Entry) Class {
	switch {
	case e.Level >= log.WarnLevel || e.Message == callFailed || e.Message == attemptFailed:
		return Failure
	case e.Message == callServed || e.Message == callAnswered || e.Level == log.DebugLevel:
		return Routine
	}
	return StateChange
}

// debugLogged reports whether events at level debug are logged, so that an event
// which is not builds no fields.
func debugLogged() bool {
	logger, ok := log.Log.(*log.Logger)
	return !ok || logger.Level <= log.DebugLevel
}

// text returns the text of an error; empty for none.
func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// withError adds an error to fields, if there is one.
func withError(fields log.Fields, err error) log.Fields {
	if err != nil {
		fields["error"] = err.Error()
	}
	return fields
}

func hexID(id uint64) string { return fmt.Sprintf("%x", id) }
