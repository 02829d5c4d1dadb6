// Command parsleypulleyd is the daemon of parsleypulley. It runs in one of three
// roles: router, agent or control.
package main

import (
	"github.com/alecthomas/kong"

	"parsleypulley/internal/daemon"
)

type cli struct {
	Router  routerCommand  `cmd:"" help:"Serve callers on an entry VM."`
	Agent   agentCommand   `cmd:"" help:"Stand beside one backend server."`
	Control controlCommand `cmd:"" help:"Keep the replicated state on a VM with a disk."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("parsleypulleyd"),
		kong.Description("Router for language-model traffic with long shared prompts."))
	daemon.Exit(ctx.Run())
}
