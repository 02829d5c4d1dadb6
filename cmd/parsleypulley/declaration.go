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

// readDeclaration reads and validates the declaration in a file. The name "-"
// stands for the standard input.
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

// declarationSummary is the output of "validate". It holds the number of objects
// of each kind in a valid declaration.
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
	return p.printValue(s, func(w io.Writer) {
		fmt.Fprintf(w, "%s is valid: %d accounts, %d models, %d services, %d presets; initial preset %s\n",
			s.File, s.Accounts, s.Models, s.Services, s.Presets, s.InitialPreset)
	})
}

// changePlan lists what a change would do to the configuration at a revision.
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

// planDeclaration compares a declared configuration with the one in force. It
// returns the change that would apply the declaration, and the plan of the change.
func planDeclaration(ctx context.Context, client *operator.Client, want *wire.Config) (changePlan, *wire.ConfigChange, error) {
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
	plan, _, err := planDeclaration(ctx, client, want)
	if err != nil {
		return err
	}
	if err := p.printValue(plan, func(w io.Writer) { printPlan(w, plan) }); err != nil {
		return err
	}
	if c.ExitCode && len(plan.Steps) > 0 {
		return errDiffers
	}
	return nil
}

// changeFlags are the flags of all commands that change the configuration.
type changeFlags struct {
	Revision *uint64 `help:"Change only this revision; default is the one in force when the change is planned."`
	ChangeID string  `name:"change-id" help:"ID of the change; default is derived from the change and its revision."`
}

type applyCommand struct {
	changeFlags `embed:""`
	File        string `arg:"" help:"Declaration in YAML; - is the standard input."`
}

// changeOutput is the output of a command that changes the configuration. ChangeID
// and Result are empty if there was nothing to change.
type changeOutput struct {
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
	plan, change, err := planDeclaration(ctx, client, want)
	if err != nil {
		return err
	}
	return c.sendChange(ctx, client, conn, p, plan, change)
}

// sendChange prints the plan, sends the change and prints the result. If the plan
// is empty, it sends the change only if the operator gave a change ID: the change
// may then have been sent before, and the first result is printed.
func (f *changeFlags) sendChange(ctx context.Context, client *operator.Client, conn *connection, p *printer, plan changePlan, change *wire.ConfigChange) error {
	if f.Revision != nil {
		change.BaseRevision = *f.Revision
	}
	if !p.json {
		printPlan(p.out, plan)
	}
	resend := f.ChangeID != "" && !config.IsEmpty(change)
	if len(plan.Steps) == 0 && !resend {
		return p.printValue(changeOutput{Plan: plan}, func(io.Writer) {})
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
	out := changeOutput{Plan: plan, ChangeID: change.ChangeId, Result: result}
	if err := p.printValue(out, func(w io.Writer) { printResult(w, result) }); err != nil {
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

// resendHint adds to an error of kind OutcomeUnknown how the operator can find out
// whether the change was applied. It returns any other error as it is.
func resendHint(err error, change *wire.ConfigChange) error {
	if !fault.Is(err, fault.OutcomeUnknown) {
		return err
	}
	return fmt.Errorf("%w\nthe change has ID %s and builds on revision %d; run the same command again to learn what became of it", err, change.ChangeId, change.BaseRevision)
}

// resultError returns the error for a change that was not accepted, or nil if it
// was accepted.
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
