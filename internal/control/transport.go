package control

import (
	"context"
	"sync"
	"time"

	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

const (
	// sendQueueLength bounds the messages queued for one replica. Further messages are
	// dropped; the consensus protocol sends them again.
	sendQueueLength = 1024
	// maxBatchMessages bounds the messages in one call.
	maxBatchMessages = 128
	sendTimeout      = 2 * time.Second
)

// Transport sends consensus messages over links. Each replica has its own queue and
// goroutine, so that an unreachable replica does not delay the others.
type Transport struct {
	pool *link.Pool
	self *wire.Replica
	ctx  context.Context

	mu     sync.Mutex
	queues map[string]chan *wire.ConsensusMessage
}

// NewTransport returns a transport that sends messages as self until ctx ends.
func NewTransport(ctx context.Context, pool *link.Pool, self *wire.Replica) *Transport {
	return &Transport{pool: pool, self: self, ctx: ctx, queues: map[string]chan *wire.ConsensusMessage{}}
}

// Send implements consensus.Transport.
func (t *Transport) Send(to *wire.Replica, messages []*wire.ConsensusMessage) {
	queue := t.queue(to.GetAddress())
	for _, m := range messages {
		select {
		case queue <- m:
		default:
			return
		}
	}
}

func (t *Transport) queue(address string) chan *wire.ConsensusMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[address]
	if queue == nil {
		queue = make(chan *wire.ConsensusMessage, sendQueueLength)
		t.queues[address] = queue
		go t.run(address, queue)
	}
	return queue
}

func (t *Transport) run(address string, queue chan *wire.ConsensusMessage) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case first := <-queue:
			t.deliver(address, collectBatch(first, queue))
		}
	}
}

// collectBatch returns first and the messages that are already queued, at most
// maxBatchMessages in total.
func collectBatch(first *wire.ConsensusMessage, queue chan *wire.ConsensusMessage) []*wire.ConsensusMessage {
	batch := []*wire.ConsensusMessage{first}
	for len(batch) < maxBatchMessages {
		select {
		case m := <-queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends a batch and waits for the reply. Errors are ignored, because the
// consensus protocol recovers from lost messages.
func (t *Transport) deliver(address string, batch []*wire.ConsensusMessage) {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	_, _ = t.pool.Call(ctx, address, &wire.Request{
		Body: &wire.Request_Consensus{Consensus: &wire.ConsensusBatch{Messages: batch, Sender: t.self}},
	})
}
