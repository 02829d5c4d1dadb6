package fault

import (
	"errors"
	"strings"
	"time"

	"parsleypulley/internal/wire"
)

// ToWire converts e to a message of the link protocol; nil stays nil.
func ToWire(e *Error) *wire.Failure {
	if e == nil {
		return nil
	}
	return &wire.Failure{
		Kind:         uint32(e.Kind),
		Message:      strings.ToValidUTF8(e.Text(), "?"), // else the error, and a batch with it, could not be sent
		Outcome:      wire.Outcome(e.Outcome),
		RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
		Leader:       e.Leader,
	}
}

// FromWire converts a message of the link protocol to an Error; nil stays nil.
func FromWire(f *wire.Failure) *Error {
	if f == nil {
		return nil
	}
	return &Error{
		Kind:       Kind(f.Kind),
		Outcome:    Outcome(f.Outcome),
		RetryAfter: time.Duration(f.RetryAfterMs) * time.Millisecond,
		Leader:     f.Leader,
		err:        errors.New(f.Message),
	}
}
