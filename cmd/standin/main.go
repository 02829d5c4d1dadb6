// Command standin simulates a model engine or a plain service, for tests and
// trials on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"parsleypulley/internal/engine/dialect"
	"parsleypulley/internal/event"
	"parsleypulley/internal/standin"
)

type settings struct {
	Listen        string        `help:"Address to listen on, ip:port." default:"127.0.0.1:9000" env:"STANDIN_LISTEN"`
	Kind          string        `help:"Kind of backend server." enum:"engine,service" default:"engine" env:"STANDIN_KIND"`
	Model         []string      `help:"Models loaded at start, NAME:VERSION or NAME:VERSION:ADAPTER+ADAPTER." env:"STANDIN_MODEL"`
	MaxRunning    int           `help:"Requests decoded together." default:"16" env:"STANDIN_MAX_RUNNING"`
	CacheBlocks   int           `help:"Blocks of the prefix cache." default:"4096" env:"STANDIN_CACHE_BLOCKS"`
	BlockTokens   int           `help:"Tokens of one block." default:"16" env:"STANDIN_BLOCK_TOKENS"`
	OutputTokens  int           `help:"Tokens of an answer without max_tokens." default:"16" env:"STANDIN_OUTPUT_TOKENS"`
	PrefillCost   time.Duration `help:"Time for one prompt token that is not cached." default:"20us" env:"STANDIN_PREFILL_COST"`
	DecodeCost    time.Duration `help:"Time of one decoding step." default:"2ms" env:"STANDIN_DECODE_COST"`
	LoadLag       time.Duration `help:"Age of the load report." default:"100ms" env:"STANDIN_LOAD_LAG"`
	EventDelay    time.Duration `help:"Delay of cache events." default:"100ms" env:"STANDIN_EVENT_DELAY"`
	EventLoss     float64       `help:"Probability that a cache event is lost at first." default:"0" env:"STANDIN_EVENT_LOSS"`
	WeightLoad    time.Duration `help:"Time to load new weights." default:"500ms" env:"STANDIN_WEIGHT_LOAD"`
	RestartDelay  time.Duration `help:"Time between a crash and the next life." default:"500ms" env:"STANDIN_RESTART_DELAY"`
	ChecksFencing bool          `help:"Refuse orders with an old fencing token." env:"STANDIN_CHECKS_FENCING"`
	Latency       time.Duration `help:"Time of a plain service's answer." default:"1ms" env:"STANDIN_LATENCY"`
	Seed          uint64        `help:"Seed of the event losses." default:"1" env:"STANDIN_SEED"`
}

func main() {
	log.SetHandler(logfmt.New(os.Stderr))
	var s settings
	kong.Parse(&s, kong.Name("standin"), kong.Description("Stand-in for a model engine or a plain service."))
	if err := run(s); err != nil {
		event.ProcessFailed(err)
		os.Exit(1)
	}
}

func run(s settings) error {
	models, err := parseModels(s.Model)
	if err != nil {
		return err
	}
	server, err := standin.Start(standin.Options{
		Address: s.Listen, Kind: s.Kind, Models: models,
		MaxRunning: s.MaxRunning, CacheBlocks: s.CacheBlocks, BlockTokens: s.BlockTokens, OutputTokens: s.OutputTokens,
		PrefillPerToken: s.PrefillCost, DecodePerToken: s.DecodeCost,
		LoadLag: s.LoadLag, EventDelay: s.EventDelay, EventLoss: s.EventLoss,
		WeightLoad: s.WeightLoad, RestartDelay: s.RestartDelay,
		ChecksFencing: s.ChecksFencing, Latency: s.Latency, Seed: s.Seed,
	})
	if err != nil {
		return err
	}
	defer server.Close()
	event.StandinStarted(server.Address(), s.Kind)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func parseModels(specs []string) ([]dialect.Model, error) {
	models := make([]dialect.Model, 0, len(specs))
	for _, spec := range specs {
		parts := strings.Split(spec, ":")
		if len(parts) < 2 || len(parts) > 3 || parts[0] == "" || parts[1] == "" {
			return nil, fmt.Errorf("model %q: want NAME:VERSION or NAME:VERSION:ADAPTER+ADAPTER", spec)
		}
		m := dialect.Model{Model: parts[0], WeightsVersion: parts[1]}
		if len(parts) == 3 {
			m.Adapters = strings.Split(parts[2], "+")
		}
		models = append(models, m)
	}
	return models, nil
}
