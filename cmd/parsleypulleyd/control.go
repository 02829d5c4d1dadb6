package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"parsleypulley/internal/account"
	"parsleypulley/internal/consensus"
	"parsleypulley/internal/control"
	"parsleypulley/internal/daemon"
	"parsleypulley/internal/link"
	"parsleypulley/internal/node"
	"parsleypulley/internal/operator"
	"parsleypulley/internal/storage"
)

type controlCommand struct {
	daemon.Settings `embed:""`
	Data            string   `help:"Data folder." required:"" type:"path" env:"PARSLEYPULLEY_DATA"`
	DiskMB          int64    `name:"disk-mb" help:"Size of the disk with the data folder, in MiB, which bounds the log and the snapshots; at least 64." default:"256" env:"PARSLEYPULLEY_DISK_MB"`
	ToleratedLosses int      `help:"Number of control VMs whose loss at the same time must be borne; 0 is what the replicas in --control bear, at least 1." default:"0" env:"PARSLEYPULLEY_TOLERATED_LOSSES"`
	Operator        string   `help:"Address for operators, ip:port." required:"" env:"PARSLEYPULLEY_OPERATOR"`
	OperatorKeys    []string `name:"operator-key-digest" help:"Digests of the operators' keys, sha256:HEX,..." required:"" env:"PARSLEYPULLEY_OPERATOR_KEY_DIGEST"`
}

// Run runs a control replica until the process is stopped.
func (c *controlCommand) Run() error {
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if c.ToleratedLosses < 0 || c.ToleratedLosses > consensus.MaxDeclaredLosses {
		return fmt.Errorf("--tolerated-losses: %d is not between 0 and %d", c.ToleratedLosses, consensus.MaxDeclaredLosses)
	}
	if c.DiskMB < minDiskMB {
		return fmt.Errorf("--disk-mb: %d is less than %d", c.DiskMB, minDiskMB)
	}
	keys, err := parseKeys(c.OperatorKeys)
	if err != nil {
		return err
	}
	p, err := daemon.NewProcess(&c.Settings, link.RoleControl)
	if err != nil {
		return err
	}
	replica, err := node.StartReplica(p, node.ReplicaOptions{
		Data: c.Data, Storage: storage.Options{Budget: storage.NewBudget(c.DiskMB<<20, 0)},
		Peers: addressesExcept(c.Control, c.Address()), DeclaredLosses: c.ToleratedLosses,
	})
	if err != nil {
		return err
	}
	defer replica.Close()
	service := control.NewService(replica.Node, replica.Machine, control.DefaultOptions())
	daemon.PublishView(replica.Machine.Log(), nil)
	daemon.PublishReplica(replica.Status)
	if err := p.Serve(link.Handler(service), func() error { return node.ReplicaReady(replica.Node) }); err != nil {
		return err
	}
	operatorAPI := &control.OperatorAPI{Name: c.Name, Node: replica.Node, Machine: replica.Machine, Pool: p.Pool, Peers: addressesExcept(c.Control, c.Address())}
	stopOperatorAPI, err := node.ServeHTTP(p, c.Operator, "operator", maxOperatorConnections, &http.Server{
		Handler: operator.Handler(operatorAPI, keys), ReadTimeout: operatorReadTimeout, WriteTimeout: operatorWriteTimeout, MaxHeaderBytes: operatorHeaderBytes,
	}, nil)
	if err != nil {
		return err
	}
	go service.Run(p.Context)
	p.Go(func() error {
		<-replica.Done()
		return replica.Err()
	})
	return p.Wait(func(ctx context.Context) {
		stopOperatorAPI(ctx)
		service.StopWatches()
		node.HandOver(ctx, replica.Node)
	})
}

// minDiskMB is the smallest disk that has room for the log and the snapshots of the largest command
// (docs/CAPACITY.md).
const minDiskMB = 64

func parseKeys(texts []string) (account.Keyring, error) {
	var ring account.Keyring
	for _, text := range texts {
		digest, err := account.ParseDigest(text)
		if err != nil {
			return nil, fmt.Errorf("--operator-key-digest: %w", err)
		}
		ring = append(ring, digest)
	}
	return ring, nil
}

// Limits of the listener of the operator API.
const (
	operatorReadTimeout    = 30 * time.Second
	operatorWriteTimeout   = time.Minute
	operatorHeaderBytes    = 16 << 10
	maxOperatorConnections = 256
)

// addressesExcept returns addresses without self.
func addressesExcept(addresses []string, self string) []string {
	var out []string
	for _, a := range addresses {
		if a != self {
			out = append(out, a)
		}
	}
	return out
}
