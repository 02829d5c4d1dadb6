package link

import "parsleypulley/internal/fault"

// Roles of processes, as named in their certificates.
const (
	RoleControl = "control"
	RoleRouter  = "router"
	RoleAgent   = "agent"
)

// RequireRole returns an error if the peer has another role. The error has kind
// fault.Forbidden and outcome NotRun. Without TLS the role is empty and every call
// is allowed.
func (c *Call) RequireRole(role string) error {
	if c.PeerRole == "" || c.PeerRole == role {
		return nil
	}
	return fault.New(fault.Forbidden, fault.NotRun, "%s %q may not make this call; it is for processes of role %s", c.PeerRole, c.PeerName, role)
}
