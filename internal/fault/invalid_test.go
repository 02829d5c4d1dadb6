package fault_test

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/fault"
)

// Guards against an error with the bytes of a peer in its text that can't be sent: the caller then learnt
// neither its kind nor whether the call had run.
func TestErrorsWithForeignBytesAreSent(t *testing.T) {
	is := is.New(t)
	data, err := proto.Marshal(fault.ToWire(fault.New(fault.BackendRefused, fault.NotRun, "the engine answered \xff\xfe")))
	is.NoErr(err)
	is.True(len(data) > 0)
}
