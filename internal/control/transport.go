package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/recovery"
	"parsleypulley/internal/wire"
)

const (
	// sendQueueLength bounds the messages queued for one replica. Further messages are
	// dropped; the consensus protocol sends them again.
	sendQueueLength = 1024
	// maxBatchMessages bounds the messages in one call.
	maxBatchMessages = 128
	// maxBatchBytes is the size of the entries from which on a call takes no further messages. The
	// last one may be as large as a command may be; together they fit into a message of a link.
	maxBatchBytes = 1 << 20
	sendTimeout   = 2 * time.Second
	// queueIdleTimeout is the time without a message after which a queue ends.
	queueIdleTimeout = time.Minute
)

// caller makes link calls.
type caller interface {
	Call(ctx context.Context, address string, req *wire.Request) (*wire.Response, error)
}

// Transport sends consensus messages over links. Each replica has its own queue and
// goroutine, so that an unreachable replica does not delay the others.
type Transport struct {
	pool caller
	self *wire.Replica
	ctx  context.Context

	mu     sync.Mutex
	queues map[string]chan *wire.ConsensusMessage
}

// NewTransport returns a transport that sends messages as self until ctx ends.
func NewTransport(ctx context.Context, pool caller, self *wire.Replica) *Transport {
	return &Transport{pool: pool, self: self, ctx: ctx, queues: map[string]chan *wire.ConsensusMessage{}}
}

// Send implements consensus.Transport.
func (t *Transport) Send(to *wire.Replica, messages []*wire.ConsensusMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queue(to.GetAddress())
	for _, m := range messages {
		select {
		case queue <- m:
		default:
			return
		}
	}
}

// queue returns the queue of the replica at address. t.mu must be held until the
// message is in it, so that the queue doesn't end before.
func (t *Transport) queue(address string) chan *wire.ConsensusMessage {
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
		case <-time.After(queueIdleTimeout):
			if t.endQueue(address, queue) {
				return
			}
		case first := <-queue:
			recovery.Run("consensus messages", func() { t.deliver(address, collectBatch(first, queue)) })
		}
	}
}

// endQueue removes an empty queue and reports whether it did.
func (t *Transport) endQueue(address string, queue chan *wire.ConsensusMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(t.queues, address)
	return true
}

// collectBatch returns first and the messages that are already queued, at most
// maxBatchMessages in total. Once they have maxBatchBytes it adds none.
func collectBatch(first *wire.ConsensusMessage, queue chan *wire.ConsensusMessage) []*wire.ConsensusMessage {
	batch, size := []*wire.ConsensusMessage{first}, proto.Size(first)
	for len(batch) < maxBatchMessages && size < maxBatchBytes {
		select {
		case m := <-queue:
			batch = append(batch, m)
			size += proto.Size(m)
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
