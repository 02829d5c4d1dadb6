package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"parsleypulley/internal/config"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/operator"
	"parsleypulley/internal/wire"
)

// readDeclaration reads and checks the declaration in a file; "-" is the
// standard input.
func readDeclaration(name string) (*wire.Config, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, usageError{fmt.Errorf("read declaration: %w", err)}
	}
	d, err := config.ParseDeclaration(name, data)
	if err != nil {
		return nil, err
	}
	return d.Config(), nil
}

func readFile(name string) ([]byte, error) {
	if name != "-" {
		return os.ReadFile(name)
	}
	return io.ReadAll(io.LimitReader(os.Stdin, config.MaxDeclarationBytes+1))
}

type validateCommand struct {
	File string `arg:"" help:"Declaration in YAML; - is the standard input."`
}

// declarationSummary counts what a valid declaration declares.
type declarationSummary struct {
	File          string `json:"file"`
	Accounts      int    `json:"accounts"`
	Models        int    `json:"models"`
	Services      int    `json:"services"`
	Presets       int    `json:"presets"`
	InitialPreset string `json:"initial_preset"`
}

func (c *validateCommand) Run(p *printer) error {
	want, err := readDeclaration(c.File)
	if err != nil {
		return err
	}
	s := declarationSummary{
		File:          c.File,
		Accounts:      len(want.Accounts),
		Models:        len(want.Models),
		Services:      len(want.Services),
		Presets:       len(want.Presets),
		InitialPreset: want.PresetInForce,
	}
	return p.show(s, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid: %d accounts, %d models, %d services, %d presets; initial preset %s\n",
			s.File, s.Accounts, s.Models, s.Services, s.Presets, s.InitialPreset)
	})
}

// changePlan is what a change would do, based on a revision.
type changePlan struct {
	Revision uint64            `json:"revision"`
	Steps    []config.PlanStep `json:"steps"`
}

func printPlan(w io.Writer, plan changePlan) {
	if len(plan.Steps) == 0 {
		fmt.Fprintf(w, "nothing to change at revision %d\n", plan.Revision)
		return
	}
	fmt.Fprintf(w, "changes to revision %d:\n", plan.Revision)
	for _, s := range plan.Steps {
		line := fmt.Sprintf("  %-6s %-7s %s", s.Action, s.Kind, s.Name)
		if len(s.Fields) > 0 {
			line += " (" + strings.Join(s.Fields, "; ") + ")"
		}
		fmt.Fprintln(w, line)
	}
}

// planFile compares a declaration with the configuration in force.
func planFile(ctx context.Context, client *operator.Client, want *wire.Config) (changePlan, *wire.ConfigChange, error) {
	current, err := client.Config(ctx)
	if err != nil {
		return changePlan{}, nil, err
	}
	change := config.Diff(current, want)
	return changePlan{Revision: current.GetRevision(), Steps: config.Plan(current, change)}, change, nil
}

type diffCommand struct {
	File     string `arg:"" help:"Declaration in YAML; - is the standard input."`
	ExitCode bool   `help:"Exit with code 8 if something would change."`
}

func (c *diffCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	want, err := readDeclaration(c.File)
	if err != nil {
		return err
	}
	client, ctx, done, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	plan, _, err := planFile(ctx, client, want)
	if err != nil {
		return err
	}
	if err := p.show(plan, func(w io.Writer) { printPlan(w, plan) }); err != nil {
		return err
	}
	if c.ExitCode && len(plan.Steps) > 0 {
		return errDiffers
	}
	return nil
}

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	Revision *uint64 `help:"Change only this revision; default is the one in force when the change is planned."`
	ChangeID string  `name:"change-id" help:"ID of the change; default is derived from the change and its revision."`
}

type applyCommand struct {
	changeFlags `embed:""`
	File        string `arg:"" help:"Declaration in YAML; - is the standard input."`
}

// applied is the outcome of a command that changes the configuration.
type applied struct {
	Plan     changePlan             `json:"plan"`
	ChangeID string                 `json:"change_id,omitempty"`
	Result   *operator.ChangeResult `json:"result,omitempty"`
}

func (c *applyCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	want, err := readDeclaration(c.File)
	if err != nil {
		return err
	}
	client, ctx, done, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	plan, change, err := planFile(ctx, client, want)
	if err != nil {
		return err
	}
	return c.send(ctx, client, conn, p, plan, change)
}

// send shows the plan, sends the change and shows the result.
func (f *changeFlags) send(ctx context.Context, client *operator.Client, conn *connection, p *printer, plan changePlan, change *wire.ConfigChange) error {
	if f.Revision != nil {
		change.BaseRevision = *f.Revision
	}
	if !p.json {
		printPlan(p.out, plan)
	}
	resend := f.ChangeID != "" && !config.IsEmpty(change)
	if len(plan.Steps) == 0 && !resend {
		return p.show(applied{Plan: plan}, func(io.Writer) {})
	}
	change.Operator = conn.OperatorName
	change.ChangeId = f.ChangeID
	if change.ChangeId == "" {
		change.ChangeId = operator.DeriveChangeID(change)
	}
	result, err := client.Change(ctx, change)
	if err != nil {
		return resendHint(err, change)
	}
	out := applied{Plan: plan, ChangeID: change.ChangeId, Result: result}
	if err := p.show(out, func(w io.Writer) { printResult(w, result) }); err != nil {
		return err
	}
	return resultError(result, change)
}

func printResult(w io.Writer, r *operator.ChangeResult) {
	if r.Status != operator.Accepted {
		return
	}
	note := ""
	if r.Repeated {
		note = " (had been accepted before)"
	}
	fmt.Fprintf(w, "accepted: revision %d%s\n", r.Revision, note)
}

// resendHint tells how to learn of a change whose outcome is unknown.
func resendHint(err error, change *wire.ConfigChange) error {
	if !fault.Is(err, fault.OutcomeUnknown) {
		return err
	}
	return fmt.Errorf("%w\nthe change has ID %s and builds on revision %d; run the same command again to learn what became of it", err, change.ChangeId, change.BaseRevision)
}

// resultError returns the error of a change that was not accepted.
func resultError(r *operator.ChangeResult, change *wire.ConfigChange) error {
	switch r.Status {
	case operator.Accepted:
		return nil
	case operator.Conflict:
		return fault.New(fault.Conflict, fault.NotRun,
			"the change builds on revision %d but revision %d is in force; look at the new state with diff and apply again", change.BaseRevision, r.Revision)
	}
	invalid := &config.InvalidError{}
	for _, problem := range r.Problems {
		invalid.Problems = append(invalid.Problems, config.Problem{Message: problem})
	}
	return invalid
}
