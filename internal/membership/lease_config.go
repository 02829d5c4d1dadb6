package membership

import "time"

// LeaseConfig holds the times and limits of the failure detector;
// DefaultLeaseConfig gives the usual ones.
type LeaseConfig struct {
	// MinInterval is the time between heartbeats in a small system. It grows by
	// IntervalPerMember for each member, up to MaxInterval.
	MinInterval, MaxInterval, IntervalPerMember time.Duration
	// SuspectIntervals and LeaseIntervals are the numbers of intervals without
	// a heartbeat after which a member is suspected, and its lease is over.
	SuspectIntervals, LeaseIntervals int
	// CorrelatedFraction is the fraction of a region's members, or of all members,
	// that must be silent at once for their leases to be held open.
	CorrelatedFraction float64
	// CorrelatedMinMembers is the least number of silent members that counts as one
	// common cause.
	CorrelatedMinMembers int
	// CorrelatedLeaseExtension is how much longer the leases of members that went silent
	// together are held open.
	CorrelatedLeaseExtension time.Duration
	// Flap bounds how often a member may come and go.
	Flap FlapConfig
	// ProposalRetryInterval is the time after which a change that has not taken effect
	// is proposed again.
	ProposalRetryInterval time.Duration
	// RefusedRetryDelay is the extra time before a refused change is proposed again.
	RefusedRetryDelay time.Duration
	// MaxProposalsPerTick bounds the changes that one Tick proposes.
	MaxProposalsPerTick int
}

// DefaultLeaseConfig returns the configuration for all deployments.
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
