// Package recovery ends the work that panics, and not the process: a call of a peer, a message, or
// one round of a periodic task. The panic is logged and counted. It is not for the state machine of
// consensus, whose state would be unknown afterwards.
package recovery

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
)

// panics counts the panics by the part of the process.
var panics = expvar.NewMap("panics")

// Call calls f and returns its error. If f panics, the error says so, and what f was to do may
// be done in part.
func Call(part string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			panics.Add(part, 1)
			event.PanicRecovered(part, fmt.Sprint(cause), string(debug.Stack()))
			err = fault.New(fault.Internal, fault.Unknown, "panic in %s: %v", part, cause)
		}
	}()
	return f()
}

// Run calls f and reports whether it returned without a panic.
func Run(part string, f func()) (ok bool) {
	return Call(part, func() error { f(); return nil }) == nil
}
