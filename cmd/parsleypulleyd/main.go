// Command parsleypulleyd is the daemon of parsleypulley. It runs in one of three
// roles: router, agent or control.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"parsleypulley/internal/event"
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
	if err := ctx.Run(); err != nil {
		event.ProcessFailed(err)
		os.Exit(1)
	}
}
