package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"parsleypulley/internal/operator"
)

type statusCommand struct{}

func (c *statusCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	client, ctx, done, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return p.printValue(status, func(w io.Writer) { printStatus(w, status) })
}

func printStatus(w io.Writer, s *operator.Status) {
	quorum := "in contact"
	if !s.Confirmed {
		quorum = "NOT in contact; what follows may be old"
	}
	printTable(w, []string{"FIELD", "VALUE"}, [][]string{
		{"answered by", fmt.Sprintf("%s, %s in term %d", s.Node, s.Role, s.Term)},
		{"quorum", quorum},
		{"leader", fmt.Sprintf("%v at %s", s.Leader, s.LeaderAddress)},
		{"losses", losses(s)},
		{"log", fmt.Sprintf("committed %d, applied %d", s.Commit, s.Applied)},
		{"revision", strconv.FormatUint(s.Revision, 10)},
		{"preset in force", s.PresetInForce},
		{"view version", strconv.FormatUint(s.ViewVersion, 10)},
		{"backend servers", countStates(s.Backends)},
		{"quarantined requests", strconv.Itoa(s.Quarantined)},
	})
	fmt.Fprintln(w)
	printReplicas(w, s)
}

// losses tells how many control replicas may be lost. Only the leader knows it.
func losses(s *operator.Status) string {
	if s.ID != s.Leader {
		return fmt.Sprintf("%d declared; ask the leader how many can be borne now", s.DeclaredLosses)
	}
	text := fmt.Sprintf("%d can be borne now, %d declared", s.BearableLosses, s.DeclaredLosses)
	if s.BearableLosses < s.DeclaredLosses {
		text += ": START A SUCCESSOR"
	}
	return text
}

func printReplicas(w io.Writer, s *operator.Status) {
	var lines [][]string
	for _, r := range s.Replicas {
		role := "voter"
		if r.Learner {
			role = "learner"
		}
		if r.ID == s.Leader {
			role = "leader"
		}
		lines = append(lines, []string{r.ID.String(), r.Address, role})
	}
	printTable(w, []string{"CONTROL REPLICA", "ADDRESS", "ROLE"}, lines)
}

func countStates(states map[string]int) string {
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(states)) {
		parts = append(parts, fmt.Sprintf("%d %s", states[state], state))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
