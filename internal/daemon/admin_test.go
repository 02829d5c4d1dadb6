package daemon

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// If the administrative port is in use, the process fails to start unless
// AdminOptional is set.
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
