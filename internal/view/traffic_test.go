package view

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/membership"
	"parsleypulley/internal/wire"
)

// maxBytesPerSecond is the maximum control traffic of a router or an agent.
const maxBytesPerSecond = 9000

// changesPerSecond is the rate of view events: 9,000 configuration changes per
// day, and three events for each of 1,283 failures and restarts.
const changesPerSecond = (9000.0 + 3*1283.0) / (24 * 3600)

// announceBytes returns the size of one heartbeat of an agent and its reply,
// including overhead.
func announceBytes() int {
	request := &wire.Request{
		RequestId: "0123456789abcdef", TimeoutMs: 1000, ViewVersion: 1_000_000, FromAddress: "10.1.2.3:7100",
		Body: &wire.Request_Announce{Announce: &wire.Announce{
			Backend: member("assessor-17", 1).GetBackend(),
			Load:    &wire.Load{Running: 16, Waiting: 3, QueuedPrefillTokens: 40_000, CacheBlocksUsed: 20_000, CacheBlocksTotal: 20_750, AgeMs: 200},
		}},
	}
	reply := &wire.Response{ViewVersion: 1_000_000, Body: &wire.Response_AnnounceReply{AnnounceReply: &wire.AnnounceReply{LeaseMs: 16_000}}}
	return proto.Size(request) + proto.Size(reply) + 2*messageOverhead
}

// maxTraffic returns the maximum number of messages and bytes per second at a
// node of the given role.
func (n *network) maxTraffic(role Role, over time.Duration) (messages, bytes float64) {
	for _, p := range n.nodes {
		if p.role == role {
			messages = max(messages, float64(p.messages)/over.Seconds())
			bytes = max(bytes, float64(p.bytes)/over.Seconds())
		}
	}
	return messages, bytes
}

func TestViewTraffic(t *testing.T) {
	for _, row := range []struct{ controls, routers, members int }{
		{3, 4, 18},
		{3, 10, 100},
		{5, 40, 400},
		{7, 400, 4000},
	} {
		n := newNetwork(t, row.controls, row.routers, row.members, largeView(8, 1))
		n.run(15 * time.Second) // all nodes start at once; refused watches have moved to other sources
		const over = 20 * time.Second
		heartbeats := time.Second.Seconds() / membership.NewLeases(membership.DefaultLeaseConfig(), n.now).Interval(row.members).Seconds()
		announces := heartbeats * float64(announceBytes())
		for _, busy := range []bool{false, true} {
			n.resetCounts()
			slowest := time.Duration(0)
			start, changes := n.now, 0
			for n.now.Sub(start) < over {
				if busy && float64(changes) <= n.now.Sub(start).Seconds()*changesPerSecond {
					changes++
					slowest = max(slowest, n.runUntilVersion(n.commit(), 2*time.Second))
				}
				n.run(step)
			}
			checkTraffic(t, n, row.members, busy, over, announces, heartbeats)
			if busy {
				t.Logf("    slowest change in force everywhere after %v", slowest)
			}
		}
		checkFanOut(t, n, 2*row.routers/row.controls+3)
	}
}

func checkTraffic(t *testing.T, n *network, members int, busy bool, over time.Duration, announces, heartbeats float64) {
	t.Helper()
	is := is.New(t)
	controlMessages, controlBytes := n.maxTraffic(RoleControl, over)
	routerMessages, routerBytes := n.maxTraffic(RoleRouter, over)
	agentMessages, agentBytes := n.maxTraffic(RoleAgent, over)
	agentBytes += announces
	agentMessages += 2 * heartbeats
	t.Logf("%4d members, busy %5v: router %4.0f B/s %3.0f msg/s; agent %4.0f B/s %3.0f msg/s; control replica %6.0f B/s %4.0f msg/s, and the leader's heartbeats %7.0f B/s %5.0f msg/s",
		members, busy, routerBytes, routerMessages, agentBytes, agentMessages, controlBytes, controlMessages,
		announces*float64(members), 2*heartbeats*float64(members))
	is.True(routerBytes <= maxBytesPerSecond)
	is.True(agentBytes <= maxBytesPerSecond)
}

// checkFanOut checks that the watches are spread over the sources, that agents do
// not occupy the control replicas, and that all nodes are confirmed.
func checkFanOut(t *testing.T, n *network, mostAtControl int) {
	t.Helper()
	is := is.New(t)
	var most [roleCount]int
	for _, p := range n.nodes {
		most[p.role] = max(most[p.role], p.maxWatches)
		is.True(n.freshness(p).Confirmed)
	}
	t.Logf("    at most %d watches at a control replica, %d at a router, %d at an agent", most[RoleControl], most[RoleRouter], most[RoleAgent])
	is.True(most[RoleControl] <= min(mostAtControl, MaxWatchesControl))
	is.True(most[RoleRouter] <= MaxWatchesOther)
}
