package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"parsleypulley/internal/operator"
)

type backendCommand struct {
	List    backendListCommand    `cmd:"" help:"List the backend servers that have announced themselves."`
	Drain   backendDrainCommand   `cmd:"" help:"Give a backend server no new work; what runs there finishes."`
	Undrain backendUndrainCommand `cmd:"" help:"Give a drained backend server work again."`
	Retire  backendRetireCommand  `cmd:"" help:"Drain a backend server and refuse it when it announces itself again."`
}

type backendListCommand struct{}

func (c *backendListCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	client, ctx, done, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	list, err := client.Backends(ctx)
	if err != nil {
		return err
	}
	return p.printValue(list, func(w io.Writer) { printBackends(w, list) })
}

func printBackends(w io.Writer, list []operator.Backend) {
	var lines [][]string
	for _, b := range list {
		state := b.State
		if b.Retired {
			state += ",retired"
		}
		lines = append(lines, []string{b.Name, state, b.FailureDomain, b.AgentAddress, servedNames(b)})
	}
	printTable(w, []string{"NAME", "STATE", "FAILURE DOMAIN", "AGENT", "SERVES"}, lines)
}

// servedNames returns the name of the plain service of b, or the names of its
// loaded models with their weights versions.
func servedNames(b operator.Backend) string {
	if b.Service != "" {
		return b.Service
	}
	var models []string
	for _, m := range b.Models {
		models = append(models, m.Model+":"+m.WeightsVersion)
	}
	return strings.Join(models, ",")
}

type backendName struct {
	Name string `arg:"" help:"Name of the backend server."`
}

type backendDrainCommand struct{ backendName }
type backendUndrainCommand struct{ backendName }
type backendRetireCommand struct{ backendName }

func (c *backendDrainCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	return changeBackend(ctx, conn, p, c.Name, operator.Drain)
}

func (c *backendUndrainCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	return changeBackend(ctx, conn, p, c.Name, operator.Undrain)
}

func (c *backendRetireCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	return changeBackend(ctx, conn, p, c.Name, operator.Retire)
}

func changeBackend(ctx context.Context, conn *connection, p *printer, name string, action operator.Action) error {
	client, ctx, done, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	result, err := client.ChangeBackend(ctx, name, action)
	if err != nil {
		return err
	}
	if !result.Accepted {
		return refusedError{fmt.Errorf("%s of backend server %q was refused: %s", action, name, result.Problem)}
	}
	return p.printValue(result, func(w io.Writer) { fmt.Fprintf(w, "accepted: %s backend server %s\n", action, name) })
}
