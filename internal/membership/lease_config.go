package membership

import "time"

// LeaseConfig configures the failure detector. DefaultLeaseConfig returns the
// default values.
type LeaseConfig struct {
	// The time between heartbeats is IntervalPerMember times the number of members,
	// but at least MinInterval and at most MaxInterval.
	MinInterval, MaxInterval, IntervalPerMember time.Duration
	// SuspectIntervals is the number of intervals without a heartbeat after which a
	// member is suspected.
	SuspectIntervals int
	// LeaseIntervals is the number of intervals without a heartbeat after which a
	// member's lease expires.
	LeaseIntervals int
	// CorrelatedFraction is the fraction of a region's members, or of all members,
	// that must be silent at the same time for their leases to be extended.
	CorrelatedFraction float64
	// CorrelatedMinMembers is the number of silent members below which no common cause
	// is assumed, whatever fraction they are.
	CorrelatedMinMembers int
	// CorrelatedLeaseExtension is the time by which the leases of members that went
	// silent together are extended.
	CorrelatedLeaseExtension time.Duration
	// Flap limits how often a member may leave and return.
	Flap FlapConfig
	// ProposalRetryInterval is the time after which a change that has not taken
	// effect is proposed again.
	ProposalRetryInterval time.Duration
	// RefusedRetryDelay is the additional delay before a refused change is proposed
	// again.
	RefusedRetryDelay time.Duration
	// MaxProposalsPerTick bounds the changes that one Tick proposes.
	MaxProposalsPerTick int
}

// DefaultLeaseConfig returns the default configuration.
func DefaultLeaseConfig() LeaseConfig {
	return LeaseConfig{
		MinInterval:              500 * time.Millisecond,
		MaxInterval:              2 * time.Second,
		IntervalPerMember:        500 * time.Microsecond,
		SuspectIntervals:         3,
		LeaseIntervals:           8,
		CorrelatedFraction:       0.5,
		CorrelatedMinMembers:     4,
		CorrelatedLeaseExtension: 10 * time.Minute,
		Flap:                     DefaultFlapConfig(),
		ProposalRetryInterval:    time.Second,
		RefusedRetryDelay:        30 * time.Second,
		MaxProposalsPerTick:      256,
	}
}

// heartbeatSlack covers the way of a heartbeat to the leader, the commit of a suspicion, and a pause of the
// leader, which extends all leases. A pause of 1.5 s shows at those who follow its view.
const heartbeatSlack = 1500 * time.Millisecond

// HeartbeatBound returns how long ago the last heartbeat of a member was sent at most, if it is ready in
// a view of a leader that has led for as long.
func (c LeaseConfig) HeartbeatBound(members int) time.Duration {
	interval := c.interval(members)
	return time.Duration(c.SuspectIntervals)*interval + interval/scansPerInterval + heartbeatSlack
}

func (c LeaseConfig) interval(members int) time.Duration {
	return min(max(time.Duration(members)*c.IntervalPerMember, c.MinInterval), c.MaxInterval)
}
