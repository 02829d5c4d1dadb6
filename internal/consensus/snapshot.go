package consensus

import (
	"time"

	"parsleypulley/internal/storage"
	"parsleypulley/internal/wire"
)

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	id   storage.EntryID
	from uint64
	// data holds the chunks received so far.
	data []byte
}

func (r *Replica) startSnapshotTransfer(id uint64, p *progress) {
	p.probe()
	if r.snapshot == nil {
		return
	}
	p.mode = sendingSnapshot
	p.snapshot = r.snapshot
	r.sendChunk(id, p)
}

// sendChunk sends the chunk at p.offset, unless an earlier one is unanswered.
func (r *Replica) sendChunk(id uint64, p *progress) {
	if p.awaitingReply {
		return
	}
	p.awaitingReply = true
	total := uint64(len(p.snapshot.Data))
	end := min(total, p.offset+uint64(r.options.SnapshotChunkBytes))
	r.send(&wire.ConsensusMessage{
		Type: wire.ConsensusMessage_TYPE_SNAPSHOT, To: id,
		ReadContext: r.leading.round, EchoUs: p.followerClock,
		Snapshot: &wire.SnapshotChunk{
			Index: p.snapshot.ID.Index, Term: p.snapshot.ID.Term, Replicas: p.snapshot.Replicas,
			Offset: p.offset, Total: total, Data: p.snapshot.Data[p.offset:end], Last: end == total,
		},
	})
}

// handleSnapshotReply sends the chunk at the offset that the follower requests.
func (r *Replica) handleSnapshotReply(p *progress, m *wire.ConsensusMessage) {
	if p.mode != sendingSnapshot || m.LogIndex != p.snapshot.ID.Index {
		return
	}
	if m.RejectHint > uint64(len(p.snapshot.Data)) || p.awaitingReply && m.RejectHint == p.offset {
		return
	}
	p.offset = m.RejectHint
	p.awaitingReply = false
	p.idleReplies = 0
	r.sendChunk(m.From, p)
}

// handleSnapshot collects the chunks of a snapshot and installs it once it is complete.
// It skips the transfer if the log already contains the last entry of the snapshot.
func (r *Replica) handleSnapshot(now time.Time, m *wire.ConsensusMessage) {
	chunk := m.Snapshot
	id := storage.EntryID{Index: chunk.GetIndex(), Term: chunk.GetTerm()}
	if id.Index <= r.log.commitIndex {
		r.acknowledge(now, m, r.log.commitIndex)
		return
	}
	if r.log.contains(id) {
		r.commitTo(id.Index)
		r.acknowledge(now, m, id.Index)
		return
	}
	transfer := r.incoming
	if transfer == nil || transfer.id != id || transfer.from != m.From {
		transfer = &incomingSnapshot{id: id, from: m.From}
		r.incoming = transfer
	}
	if chunk.Offset == uint64(len(transfer.data)) {
		transfer.data = append(transfer.data, chunk.Data...)
	}
	if uint64(len(transfer.data)) < chunk.Total {
		r.reply(now, m, &wire.ConsensusMessage{
			Type: wire.ConsensusMessage_TYPE_SNAPSHOT_REPLY, LogIndex: id.Index, RejectHint: uint64(len(transfer.data)),
		})
		return
	}
	r.installSnapshot(&storage.Snapshot{ID: id, Replicas: chunk.Replicas, Data: transfer.data})
	r.acknowledge(now, m, id.Index)
}

func (r *Replica) installSnapshot(s *storage.Snapshot) {
	r.incoming = nil
	r.log.reset(s.ID)
	r.set = replicaSets{}
	r.set.add(s.ID.Index, s.Replicas)
	r.snapshot = s
	r.installedSnapshot = s
}
