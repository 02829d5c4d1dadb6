package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"parsleypulley/internal/wire"
)

type appliedCommand struct {
	index, term uint64
	data        string
}

// call is an unfinished write or read of a client.
type call struct {
	// minPosition is simulation.observedPosition when the call started.
	minPosition int
	// term is the term in which a write was proposed.
	term uint64
	// index is the commit index that a confirmed read must observe.
	index uint64
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// apply checks that all replicas apply the same commands in the same order.
func (sim *simulation) apply(h *host, e *wire.LogEntry) {
	if e.Index != h.index+1 {
		sim.addViolation("replica %d applied %d after %d", h.id, e.Index, h.index)
	}
	h.index = e.Index
	if e.Kind != wire.LogEntry_KIND_COMMAND {
		return
	}
	a := appliedCommand{e.Index, e.Term, string(e.Data)}
	if h.appliedCommands == len(sim.history) {
		sim.history = append(sim.history, a)
	}
	if sim.history[h.appliedCommands] != a {
		sim.addViolation("replica %d applied %v, another %v", h.id, a, sim.history[h.appliedCommands])
	}
	h.appliedCommands++
	if w, ok := h.writes[e.Index]; ok && w.term == e.Term {
		delete(h.writes, e.Index)
		sim.writes++
		sim.acknowledged = append(sim.acknowledged, acknowledged{sim.now, e.Index})
		sim.completeCall(w, h.appliedCommands, h.appliedCommands > w.minPosition, "write")
	}
}

func (sim *simulation) finishReads(h *host, reads []Read) {
	for _, r := range reads {
		if c := h.reads[r.Token]; c != nil && !r.Failed {
			c.index = r.Index
			h.confirmedReads = append(h.confirmedReads, c)
		}
		delete(h.reads, r.Token)
	}
	var unapplied []*call
	for _, c := range h.confirmedReads {
		if c.index > h.index {
			unapplied = append(unapplied, c)
			continue
		}
		sim.reads++
		sim.completeCall(*c, h.appliedCommands, h.appliedCommands >= c.minPosition, "read")
	}
	h.confirmedReads = unapplied
}

// completeCall finishes a call that observed the first position commands of the
// history. ok is the result of the linearizability check: a read must observe at least
// what was observed by every call that finished before it started, and a write must be
// ordered after that.
func (sim *simulation) completeCall(c call, position int, ok bool, kind string) {
	if !ok {
		sim.addViolation("%s saw position %d, earlier calls saw %d", kind, position, c.minPosition)
	}
	sim.observedPosition = max(sim.observedPosition, position)
	sim.addToHash(uint64(position))
}

func (sim *simulation) addToHash(x uint64) {
	sum := fnv.New64a()
	_ = binary.Write(sum, binary.LittleEndian, []uint64{sim.scheduleHash, x})
	sim.scheduleHash = sum.Sum64()
}

// acknowledged is a write that was acknowledged.
type acknowledged struct {
	at    time.Time
	index uint64
}

// checkConfirmation guards against a replica that vouches for a view without what was acknowledged
// before: it checks that a replica has committed all writes that were acknowledged before
// the time at which its view was confirmed as the newest.
func (sim *simulation) checkConfirmation(h *host, confirmedAt time.Time) {
	for _, a := range slices.Backward(sim.acknowledged) {
		if a.at.Before(confirmedAt) {
			if commit := h.replica.log.commitIndex; commit < a.index {
				sim.addViolation("replica %d is confirmed as of %v ago with commit index %d; %d was acknowledged %v ago", h.id, sim.now.Sub(confirmedAt), commit, a.index, sim.now.Sub(a.at))
			}
			return
		}
	}
}

// checkLeadership checks that a term has at most one leader, and that no replica is
// confirmed in an older term when an election timeout has passed since the newest leader
// was elected.
func (sim *simulation) checkLeadership(h *host) {
	s := h.replica.Status(sim.now)
	sim.checkConfirmation(h, s.ConfirmedAt)
	if s.Role == Leader {
		if other, known := sim.leaders[s.Term]; known && other != h.id {
			sim.addViolation("term %d has the leaders %d and %d", s.Term, other, h.id)
		}
		sim.leaders[s.Term] = h.id
		if s.Term > sim.newestTerm {
			sim.newestTerm, sim.electedAt = s.Term, sim.now
			sim.addToHash(s.Term)
		}
	}
	if s.Confirmed && s.Term < sim.newestTerm && sim.now.Sub(sim.electedAt) >= simElectionTimeout {
		sim.addViolation("replica %d is confirmed in term %d, leader of %d since %v", h.id, s.Term, sim.newestTerm, sim.now.Sub(sim.electedAt))
	}
}
