package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/link"
	"parsleypulley/internal/wire"
)

// countingCaller counts calls and answers none of them.
type countingCaller struct{ calls atomic.Int64 }

func (c *countingCaller) Call(context.Context, string, *wire.Request) (*wire.Response, error) {
	c.calls.Add(1)
	return nil, context.DeadlineExceeded
}

// Queues of replicas that were replaced at new addresses stayed for ever.
func TestQueuesOfReplacedReplicasEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		caller := &countingCaller{}
		transport := NewTransport(ctx, caller, &wire.Replica{Id: 1})
		message := []*wire.ConsensusMessage{{To: 2}}
		for i := range 100 {
			transport.Send(&wire.Replica{Address: fmt.Sprintf("10.0.0.%d:7400", i)}, message)
		}
		kept := &wire.Replica{Address: "10.0.1.1:7400"}
		for range 4 {
			time.Sleep(queueIdleTimeout / 2)
			transport.Send(kept, message)
		}
		synctest.Wait()
		transport.mu.Lock()
		queues := len(transport.queues)
		transport.mu.Unlock()
		is.Equal(queues, 1)
		is.Equal(caller.calls.Load(), int64(104))
		time.Sleep(2 * queueIdleTimeout)
		transport.Send(kept, message) // starts the queue again
		synctest.Wait()
		is.Equal(caller.calls.Load(), int64(105))
	})
}

// Guards against messages that are collected into a call that no link takes: all of them are lost then,
// and the replication begins anew with the same ones.
func TestCollectedMessagesFitIntoACall(t *testing.T) {
	is := is.New(t)
	queue := make(chan *wire.ConsensusMessage, sendQueueLength)
	message := func(size int) *wire.ConsensusMessage {
		return &wire.ConsensusMessage{Entries: []*wire.LogEntry{{Data: make([]byte, size)}}}
	}
	for range 127 {
		queue <- message(consensus.DefaultMaxMessageBytes)
	}
	queue <- message(maxCommandBytes)
	sent := 0
	for len(queue) > 0 {
		batch := collectBatch(<-queue, queue)
		sent += len(batch)
		is.True(proto.Size(&wire.ConsensusBatch{Messages: batch}) < link.MaxMessageBytes)
	}
	is.Equal(sent, 128)
}
