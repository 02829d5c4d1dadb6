package follow

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/link"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// Guards against one invalid event or entry of a source's view that ends the process, stops it from following
// the source, or hides the valid members.
func TestInvalidEventsStopNoFollower(t *testing.T) {
	backend := func(name string) *wire.Backend {
		return &wire.Backend{Name: name, Address: "10.0.0.1:80", AgentIncarnation: 1}
	}
	for name, odd := range map[string]*wire.ViewEvent{
		"no body":                     {},
		"member without fields":       {Body: &wire.ViewEvent_Member{Member: &wire.Member{}}},
		"member without a name":       {Body: &wire.ViewEvent_Member{Member: &wire.Member{Backend: &wire.Backend{}}}},
		"member with odd fields":      {Body: &wire.ViewEvent_Member{Member: &wire.Member{State: 99, JoinedVersion: math.MaxUint64, Backend: &wire.Backend{Name: "\r\n", Address: "[fe80::1%eth0]:0", MaxRunning: math.MaxUint32, Models: []*wire.LoadedModel{{}}}}}},
		"removal of an unknown name":  {Body: &wire.ViewEvent_MemberRemoved{MemberRemoved: "none"}},
		"quarantine without fields":   {Body: &wire.ViewEvent_Quarantine{Quarantine: &wire.QuarantineEntry{}}},
		"weights without fields":      {Body: &wire.ViewEvent_Weights{Weights: &wire.WeightsTarget{}}},
		"route table without fields":  {Body: &wire.ViewEvent_RouteTable{RouteTable: &wire.RouteTable{}}},
		"route without a service":     {Body: &wire.ViewEvent_RouteTable{RouteTable: &wire.RouteTable{Routes: []*wire.ForwardRoute{{}}, Services: []*wire.ForwardService{{}}, Accounts: []*wire.Account{{KeySha256: [][]byte{{1}}}}}}},
		"configuration without field": {Body: &wire.ViewEvent_Config{Config: &wire.ConfigChange{}}},
		"greatest fencing token":      {Body: &wire.ViewEvent_Fencing{Fencing: math.MaxUint64}},
	} {
		t.Run(name, func(t *testing.T) {
			first := &wire.ViewEvent{Version: 1, Body: &wire.ViewEvent_Member{Member: &wire.Member{Backend: backend("a")}}}
			odd = proto.CloneOf(odd)
			odd.Version = 2
			last := &wire.ViewEvent{Version: 3, Body: &wire.ViewEvent_Member{Member: &wire.Member{Backend: backend("b")}}}
			members := []*wire.Member{first.GetMember(), last.GetMember()}
			if odd.GetMember() != nil {
				members = append(members, odd.GetMember())
			}
			whole := &wire.ViewUpdate{Confirmed: true, Version: 3, Snapshot: &wire.View{Version: 3, Members: members}}
			address := serveUpdates(t, whole,
				&wire.ViewUpdate{Confirmed: true, Version: 1, Snapshot: &wire.View{Version: 1, Members: []*wire.Member{first.GetMember()}}},
				&wire.ViewUpdate{Confirmed: true, FromVersion: 1, Version: 2, Events: []*wire.ViewEvent{odd}},
				&wire.ViewUpdate{Confirmed: true, FromVersion: 2, Version: 3, Events: []*wire.ViewEvent{last}})
			pool := link.NewPool(nil)
			t.Cleanup(pool.Close)
			log := view.NewLog(view.DefaultLogLimits())
			d := New(Options{Role: view.RoleRouter, Log: log, Pool: pool, Sources: []view.Source{{Address: address, Role: view.RoleControl}}})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			go d.Run(ctx)
			if err := log.Store().WaitForVersion(ctx, 3); err != nil {
				t.Fatalf("the view stands still at version %d", log.Version())
			}
			time.Sleep(2 * tickInterval) // Run uses the members as sources
			s := log.Snapshot()
			if s.Member("a") == nil || s.Member("b") == nil {
				t.Errorf("valid members are missing: %v", s.Members())
			}
			for _, m := range s.Members() {
				if m.GetBackend().GetName() == "" {
					t.Errorf("a member names no backend server: %v", m)
				}
			}
		})
	}
}

// serveUpdates serves a source that sends the given updates to watches, and the whole view to fetches.
func serveUpdates(t *testing.T, whole *wire.ViewUpdate, updates ...*wire.ViewUpdate) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := link.NewServer(link.HandlerFunc(func(ctx context.Context, call *link.Call) error {
		send := func(u *wire.ViewUpdate) error {
			return call.Send(&wire.Response{ViewVersion: u.GetVersion(), Body: &wire.Response_ViewUpdate{ViewUpdate: u}})
		}
		if call.Request.GetWatch() == nil {
			return send(whole)
		}
		for _, u := range updates {
			if err := send(u); err != nil {
				return err
			}
		}
		<-ctx.Done()
		return nil
	}), nil)
	go server.Serve(ln)
	t.Cleanup(server.Close)
	return ln.Addr().String()
}
