package main

import (
	"context"
	"fmt"
	"io"

	"parsleypulley/internal/operator"
)

type replicaCommand struct {
	Bootstrap     bootstrapCommand     `cmd:"" help:"Make the one replica at --control the first of a new installation. The others join it."`
	RemoveReplica removeReplicaCommand `cmd:"" help:"Remove a control replica that is lost, by its identity in status."`
}

type bootstrapCommand struct{}

// doneMessage is the output of a command that returns no data.
type doneMessage struct {
	Done string `json:"done"`
}

func (d doneMessage) printValue(p *printer) error {
	return p.printValue(d, func(w io.Writer) { fmt.Fprintln(w, d.Done) })
}

func (c *bootstrapCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	if len(conn.Control) != 1 {
		return usageError{fmt.Errorf("bootstrap needs exactly one --control address, not %d: a second one would start a second installation", len(conn.Control))}
	}
	client, ctx, cancel, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	if err := client.Bootstrap(ctx); err != nil {
		return err
	}
	return doneMessage{"control replica bootstrapped"}.printValue(p)
}

type removeReplicaCommand struct {
	ID operator.ReplicaID `arg:"" help:"Identity of the control replica."`
}

func (c *removeReplicaCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	client, ctx, cancel, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	if err := client.RemoveReplica(ctx, c.ID); err != nil {
		return err
	}
	return doneMessage{fmt.Sprintf("control replica %v removed", c.ID)}.printValue(p)
}
