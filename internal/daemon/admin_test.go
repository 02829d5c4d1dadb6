package daemon

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// A process whose administrative port is taken goes on where that is allowed, and
// fails otherwise.
func TestAdminPortInUse(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	p := &Process{Settings: &Settings{Admin: ln.Addr().String()}}
	is.True(p.serveAdmin() != nil)
	p.Settings.AdminOptional = true
	is.NoErr(p.serveAdmin())
}
