package control

import (
	"context"
	"encoding/hex"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/consensus"
	"parsleypulley/internal/controlclient"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/follow"
	"parsleypulley/internal/link"
	"parsleypulley/internal/membership"
	"parsleypulley/internal/quota"
	"parsleypulley/internal/reach"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// Service is the link handler of a control replica.
type Service struct {
	node    *consensus.Node
	machine *Machine
	views   *follow.Server
	leader  *leader
	// client forwards calls to the leader while this replica does not lead. It may be
	// nil.
	client *controlclient.Client
	// forwarder forwards announcements through client.
	forwarder *announceBatcher
	// peers, formation and joining are those of Options.
	peers     *Peers
	formation *Formation
	joining   *JoinQueue
}

// Options holds the settings that differ between deployments.
type Options struct {
	// Leases configures the failure detector.
	Leases membership.LeaseConfig
	// Engines calls engines without an agent. If it is nil, they get no orders
	// and are not queried for their load or cache contents.
	Engines EngineClient
	// PreviousOrderLease is the time after an election during which the previous leader
	// may still issue orders to engines without an agent.
	PreviousOrderLease time.Duration
	// WeightsBound is the time within which calls must have begun on new weights, by which the
	// rollout of engines without an agent paces itself. 0 selects fleet.DefaultWeightsBound.
	WeightsBound time.Duration
	// Quotas is what requests of client accounts may use beyond their quotas. The zero value
	// selects the default of package quota.
	Quotas quota.Tolerance
	// SendToReplica calls another replica. If it is nil, load digests are not sent to
	// other replicas.
	SendToReplica func(ctx context.Context, address string, req *wire.Request) error
	// Pace makes the leader limit engines without an agent that start or recover.
	Pace bool
	// CheckDialer opens the connections that check whether a backend server's machine answers;
	// nil stands for a *net.Dialer.
	CheckDialer reach.Dialer
	// Behind returns how far this process is behind its work for lack of processor time; nil
	// stands for a process that never is.
	Behind func() time.Duration
	// LeaderClient forwards calls of operators and backend servers that only the leader
	// can handle. If it is nil, a replica that does not lead refuses them.
	LeaderClient *controlclient.Client
	// Peers is how a replica that starts learns when weights were named. If it is nil, those
	// named before the start count as named long ago.
	Peers *Peers
	// Formation is the part of the process in the formation of a new cluster; it may be nil.
	Formation *Formation
	// Joining receives the replicas that ask to join; it may be nil.
	Joining *JoinQueue
}

// DefaultOptions returns the options for deployments in which every backend
// server has an agent.
func DefaultOptions() Options {
	return Options{Leases: membership.DefaultLeaseConfig(), PreviousOrderLease: consensus.DefaultElectionTimeout}
}

// NewService returns the service of one control replica. It acts as leader only while
// Run is running.
func NewService(node *consensus.Node, machine *Machine, options Options) *Service {
	s := &Service{node: node, machine: machine, leader: newLeader(node, machine, options)}
	machine.Log().SetNewestAt(func() time.Time { return node.Status().ConfirmedAt })
	s.peers, s.formation, s.joining = options.Peers, options.Formation, options.Joining
	s.views = follow.NewServer(machine.Log(), s.freshness, view.MaxWatchesControl)
	s.views.WithholdUnconfirmed = true
	s.views.ControlAddresses = s.replicas
	s.views.LoadDigest = s.leader.tracker.Digest
	s.client = options.LeaderClient
	s.forwarder = &announceBatcher{
		one: func(ctx context.Context, announce *wire.Announce) error {
			_, err := s.leaderClient().Announce(ctx, announce)
			return err
		},
		many: func(ctx context.Context, batch *wire.AnnounceBatch) (*wire.AnnounceBatchReply, error) {
			return s.leaderClient().AnnounceBatch(ctx, batch)
		},
		snapshot: machine.Log().Snapshot,
	}
	return s
}

// StopWatches ends the view watches of other processes before a planned stop.
func (s *Service) StopWatches() { s.views.Close() }

// Run performs the leader's tasks whenever the replica leads, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	go s.leader.pollLoads(ctx)
	if s.peers != nil {
		go recovery.Run("weights ages", func() { s.fetchAges(ctx) })
	}
	s.leader.run(ctx)
}

// freshness returns how recently the view was confirmed to be the newest. It is
// confirmed by each quorum contact of this replica or of the leader that it follows.
func (s *Service) freshness() view.Freshness {
	status := s.node.Status()
	return view.Freshness{Confirmed: status.Confirmed, Age: steady.Since(status.ConfirmedAt)}
}

// ServeLink implements link.Handler.
func (s *Service) ServeLink(ctx context.Context, call *link.Call) error {
	if ok, err := s.views.Serve(ctx, call); ok {
		return err
	}
	switch body := call.Request.Body.(type) {
	case *wire.Request_Consensus:
		return s.consensus(call, body.Consensus)
	case *wire.Request_Propose:
		return s.propose(ctx, call, body.Propose.GetCommand())
	case *wire.Request_ClaimLookup:
		return s.lookup(ctx, call, body.ClaimLookup)
	case *wire.Request_Announce:
		return s.announce(ctx, call, body.Announce)
	case *wire.Request_AnnounceBatch:
		return s.announceBatch(ctx, call, body.AnnounceBatch)
	case *wire.Request_PushLoads:
		if err := call.RequireRole(link.RoleControl); err != nil {
			return err
		}
		s.leader.tracker.Put(body.PushLoads)
		return s.answer(call, &wire.Response{})
	case *wire.Request_Permits:
		return s.permits(call, body.Permits)
	case *wire.Request_RouterHello:
		return s.hello(call)
	case *wire.Request_Unreachable:
		return s.unreachable(call, body.Unreachable)
	case *wire.Request_ReadRoutes:
		return s.readRoutes(ctx, call)
	case *wire.Request_Ping:
		pong := &wire.Pong{Role: link.RoleControl, InCluster: inCluster(s.node.Status()), ChosenVoters: s.formation.ChosenVoters(), FoundersExcluded: s.formation.FoundersExcluded()}
		return s.answer(call, &wire.Response{Body: &wire.Response_Pong{Pong: pong}})
	case *wire.Request_Formation:
		return s.formation.serve(call, body.Formation)
	}
	return fault.New(fault.BadRequest, fault.NotRun, "control replicas don't take this call")
}

func (s *Service) answer(call *link.Call, resp *wire.Response) error {
	resp.ViewVersion = s.machine.Log().Version()
	return call.Send(resp)
}

func (s *Service) consensus(call *link.Call, batch *wire.ConsensusBatch) error {
	if err := call.RequireRole(link.RoleControl); err != nil {
		return err
	}
	if joins := joinRequests(batch); s.joining != nil && len(joins) > 0 {
		s.joining.Add(time.Now(), &wire.Replica{Id: joins[0].GetFrom(), Address: joins[0].GetFromAddress()})
	}
	s.node.Step(batch)
	return s.answer(call, &wire.Response{})
}

// propose proposes a command received over a link. Routers and control processes may
// propose only the kinds listed here. Operators use the operator API instead, and
// backend servers use Announce.
func (s *Service) propose(ctx context.Context, call *link.Call, command *wire.Command) error {
	if err := requireEitherRole(call, link.RoleRouter, link.RoleControl); err != nil {
		return err
	}
	switch command.GetBody().(type) {
	case *wire.Command_OnceClaim, *wire.Command_OnceFinish, *wire.Command_Crash, *wire.Command_Crashes:
	case *wire.Command_RouteTable, *wire.Command_Weights:
		if err := call.RequireRole(link.RoleControl); err != nil {
			return err
		}
	default:
		return fault.New(fault.Forbidden, fault.NotRun, "this command may not be proposed over a link")
	}
	result, err := Propose(ctx, s.node, command)
	if err != nil {
		return err
	}
	logCrashes(command, result)
	return s.answer(call, &wire.Response{Body: &wire.Response_ProposeReply{ProposeReply: &wire.ProposeReply{Result: result}}})
}

// logCrashes logs the crashes that a command has counted.
func logCrashes(command *wire.Command, result *wire.CommandResult) {
	reports, results := command.GetCrashes().GetReports(), result.GetCrashes().GetResults()
	if report := command.GetCrash(); report != nil {
		reports, results = []*wire.CrashReport{report}, []*wire.CrashResult{result.GetCrash()}
	}
	for i, report := range reports[:min(len(reports), len(results))] {
		if report.GetBackend() == "" {
			continue // nothing has crashed
		}
		event.CrashCounted(event.Crash{Request: report.GetRequestId(), Account: report.GetAccount(), Backend: report.GetBackend(),
			Incarnation: report.GetEngineIncarnation(), Fingerprint: hex.EncodeToString(report.GetFingerprint())}, results[i].GetCrashes(), results[i].GetQuarantined())
	}
}

// maxCommandBytes bounds a command. A log entry that fits into no message stops the replication: the
// leader sends it again and again, and nothing after it is committed. The view holds most of a command
// too, beside the members. The difference to the limit of a message is left for them.
const maxCommandBytes = link.MaxMessageBytes - 4<<20

// checkSize returns an error if a command is too large to be replicated.
func checkSize(command *wire.Command) error {
	if n := proto.Size(command); n > maxCommandBytes {
		return fault.New(fault.BodyTooLarge, fault.NotRun, "command of %d bytes is over the limit of %d", n, maxCommandBytes)
	}
	return nil
}

// Propose commits command through node and returns its result.
func Propose(ctx context.Context, node *consensus.Node, command *wire.Command) (*wire.CommandResult, error) {
	if err := checkSize(command); err != nil {
		return nil, err
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "encode command: %w", err)
	}
	value, err := node.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result, ok := value.(*wire.CommandResult)
	if !ok {
		return nil, fault.New(fault.Internal, fault.Unknown, "command gave a result of type %T", value)
	}
	if result.Problem != "" {
		return nil, fault.New(fault.Internal, fault.Unknown, "command was not applied: %s", result.Problem)
	}
	return result, nil
}

// lookup answers with the at-most-once record of an account's key, or with an empty
// response if there is none.
func (s *Service) lookup(ctx context.Context, call *link.Call, lookup *wire.ClaimLookup) error {
	if err := call.RequireRole(link.RoleRouter); err != nil {
		return err
	}
	if err := s.node.ReadBarrier(ctx); err != nil {
		return err
	}
	record := s.machine.LookupClaim(lookup.GetAccount(), lookup.GetKey())
	if record == nil {
		return s.answer(call, &wire.Response{})
	}
	return s.answer(call, &wire.Response{Body: &wire.Response_OnceRecord{OnceRecord: record}})
}

// permits answers a router's request for permits.
func (s *Service) permits(call *link.Call, req *wire.PermitRequest) error {
	if err := call.RequireRole(link.RoleRouter); err != nil {
		return err
	}
	reply, err := s.leader.grantPermits(req)
	if err != nil {
		return err
	}
	return s.answer(call, &wire.Response{Body: &wire.Response_PermitReply{PermitReply: reply}})
}

// hello records that a router runs.
func (s *Service) hello(call *link.Call) error {
	if err := call.RequireRole(link.RoleRouter); err != nil {
		return err
	}
	if err := s.leader.hello(call.Request.GetFromAddress()); err != nil {
		return err
	}
	return s.answer(call, &wire.Response{})
}

// unreachable takes a router's message that it can't reach a backend server.
func (s *Service) unreachable(call *link.Call, server *wire.UnreachableServer) error {
	if err := call.RequireRole(link.RoleRouter); err != nil {
		return err
	}
	if err := s.leader.unreachable(server); err != nil {
		return err
	}
	return s.answer(call, &wire.Response{})
}

// requireEitherRole returns an error unless the peer has one of two roles.
func requireEitherRole(call *link.Call, role, other string) error {
	if err := call.RequireRole(role); err == nil {
		return nil
	}
	return call.RequireRole(other)
}

func (s *Service) readRoutes(ctx context.Context, call *link.Call) error {
	if err := call.RequireRole(link.RoleControl); err != nil {
		return err
	}
	document, err := s.readLocalRoutes(ctx)
	if err != nil {
		return err
	}
	return s.answer(call, &wire.Response{Body: &wire.Response_RouteDocument{RouteDocument: document}})
}

func (s *Service) announce(ctx context.Context, call *link.Call, announce *wire.Announce) error {
	role := link.RoleAgent
	if isForwarded(announce) {
		role = link.RoleControl
	}
	if err := call.RequireRole(role); err != nil {
		return err
	}
	reply, err := s.leader.announce(ctx, announce)
	if err != nil {
		return err
	}
	return s.answer(call, &wire.Response{Body: &wire.Response_AnnounceReply{AnnounceReply: reply}})
}

// announceBatch renews the leases of backend servers whose announcements another control
// process has collected.
func (s *Service) announceBatch(ctx context.Context, call *link.Call, batch *wire.AnnounceBatch) error {
	if err := call.RequireRole(link.RoleControl); err != nil {
		return err
	}
	reply, err := s.leader.announceBatch(ctx, batch)
	if err != nil {
		return err
	}
	return s.answer(call, &wire.Response{Body: &wire.Response_AnnounceBatchReply{AnnounceBatchReply: reply}})
}
