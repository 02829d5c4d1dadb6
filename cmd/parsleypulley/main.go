// Command parsleypulley is the command-line tool for operators. It validates and
// applies declarations, switches the preset in force, drains and retires backend
// servers, and shows the state of an installation.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type cli struct {
	connection `embed:""`
	Output     string `help:"Form of the output: table or json." default:"table" enum:"table,json" env:"PARSLEYPULLEY_OUTPUT"`

	Validate validateCommand `cmd:"" help:"Check a declaration without any control replica."`
	Diff     diffCommand     `cmd:"" help:"Show what applying a declaration would change."`
	Apply    applyCommand    `cmd:"" help:"Change the configuration to what a declaration declares."`
	Preset   presetCommand   `cmd:"" help:"List presets or switch the one in force."`
	Backend  backendCommand  `cmd:"" help:"List, drain or retire backend servers."`
	Account  accountCommand  `cmd:"" help:"List client accounts or make keys."`
	Status   statusCommand   `cmd:"" help:"Show the state of the installation."`
	Explain  explainCommand  `cmd:"" help:"Show what the logs of several processes say of one request."`
	Replica  replicaCommand  `cmd:"" name:"control" help:"Bootstrap the control replicas or remove a lost one."`
	Keys     keysCommand     `cmd:"" help:"Make the certificates by which processes know each other."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// exitRequest is the panic value by which kong's exit function passes an exit code
// to run, for example after printing the help.
type exitRequest int

// run executes one command and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case exitRequest:
			code = int(cause)
		default:
			panic(cause)
		}
	}()
	var c cli
	parser, err := kong.New(&c,
		kong.Name("parsleypulley"),
		kong.Description("Operators' tool of parsleypulley. docs/operators/tool.md lists the exit codes."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
	)
	if err != nil {
		return report(stderr, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return report(stderr, usageError{fmt.Errorf("%w\nparsleypulley --help lists the commands and flags", err)})
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	err = parsed.Run(&c.connection, &printer{out: stdout, json: c.Output == "json"})
	return report(stderr, err)
}

// report prints err, if it is not nil, and returns the exit code for it.
func report(stderr io.Writer, err error) int {
	if err != nil && !errors.Is(err, errDiffers) {
		fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}
