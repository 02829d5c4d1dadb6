package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"parsleypulley/internal/config"
	"parsleypulley/internal/wire"
)

type presetCommand struct {
	List presetListCommand `cmd:"" help:"List the presets and the one in force."`
	Use  presetUseCommand  `cmd:"" help:"Put a preset in force."`
}

type presetListCommand struct{}

// presetRow is one preset in the output of "preset list".
type presetRow struct {
	Name            string  `json:"name"`
	InForce         bool    `json:"in_force"`
	RecomputeWeight float64 `json:"recompute_weight"`
	WaitWeight      float64 `json:"wait_weight"`
	DefaultDeadline string  `json:"default_deadline"`
	MaxQueue        uint32  `json:"max_queue"`
	RetryBudget     string  `json:"retry_budget"`
	Hedge           bool    `json:"hedge"`
}

func presetRows(c *wire.Config) []presetRow {
	out := make([]presetRow, 0, len(c.Presets))
	for _, p := range c.Presets {
		out = append(out, presetRow{
			Name:            p.Name,
			InForce:         p.Name == c.PresetInForce,
			RecomputeWeight: p.RecomputeWeight,
			WaitWeight:      p.WaitWeight,
			DefaultDeadline: (time.Duration(p.DefaultDeadlineMs) * time.Millisecond).String(),
			MaxQueue:        p.MaxQueue,
			RetryBudget:     fmt.Sprintf("%d%%", p.RetryBudgetPercent),
			Hedge:           p.Hedge,
		})
	}
	return out
}

func (c *presetListCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	client, ctx, done, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	current, err := client.Config(ctx)
	if err != nil {
		return err
	}
	list := presetRows(current)
	return p.printValue(list, func(w io.Writer) { printPresets(w, list) })
}

func printPresets(w io.Writer, list []presetRow) {
	var lines [][]string
	for _, r := range list {
		lines = append(lines, []string{
			r.Name, yesNo(r.InForce), formatFloat(r.RecomputeWeight), formatFloat(r.WaitWeight),
			r.DefaultDeadline, strconv.Itoa(int(r.MaxQueue)), r.RetryBudget, yesNo(r.Hedge),
		})
	}
	printTable(w, []string{"NAME", "IN FORCE", "RECOMPUTE", "WAIT", "DEADLINE", "QUEUE", "RETRIES", "HEDGE"}, lines)
}

type presetUseCommand struct {
	changeFlags `embed:""`
	Name        string `arg:"" help:"Preset to put in force."`
}

func (c *presetUseCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	client, ctx, done, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	current, err := client.Config(ctx)
	if err != nil {
		return err
	}
	change := &wire.ConfigChange{BaseRevision: current.GetRevision(), PresetInForce: c.Name}
	plan := changePlan{Revision: current.GetRevision()}
	if current.GetPresetInForce() != c.Name {
		plan.Steps = config.Plan(current, change)
	}
	return c.sendChange(ctx, client, conn, p, plan, change)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
