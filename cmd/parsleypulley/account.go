package main

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"parsleypulley/internal/account"
	"parsleypulley/internal/wire"
)

type accountCommand struct {
	List accountListCommand `cmd:"" help:"List the client accounts."`
	Key  accountKeyCommand  `cmd:"" help:"Make a key for a client account or an operator. It is shown this once."`
}

type accountListCommand struct{}

// accountRow is one client account in the output of "account list".
type accountRow struct {
	Name          string `json:"name"`
	Keys          int    `json:"keys"`
	Weight        uint32 `json:"weight"`
	Priority      int32  `json:"priority"`
	MaxConcurrent uint32 `json:"max_concurrent"`
	// Quota is the quota in the form RATE/s, burst BURST UNIT; empty for none.
	Quota     string `json:"quota"`
	Suspended bool   `json:"suspended"`
}

func (c *accountListCommand) Run(ctx context.Context, conn *connection, p *printer) error {
	client, ctx, done, err := conn.connect(ctx)
	if err != nil {
		return err
	}
	defer done()
	current, err := client.Config(ctx)
	if err != nil {
		return err
	}
	list := accountRows(current)
	return p.printValue(list, func(w io.Writer) { printAccounts(w, list) })
}

func accountRows(c *wire.Config) []accountRow {
	out := make([]accountRow, 0, len(c.Accounts))
	for _, a := range c.Accounts {
		out = append(out, accountRow{
			Name:          a.Name,
			Keys:          len(a.KeySha256),
			Weight:        a.Weight,
			Priority:      a.Priority,
			MaxConcurrent: a.MaxConcurrent,
			Quota:         quotaText(a.Quota),
			Suspended:     a.Suspended,
		})
	}
	return out
}

// quotaText returns a quota in one line.
func quotaText(q *wire.Quota) string {
	if q == nil {
		return ""
	}
	unit := "requests"
	if q.Unit == wire.QuotaUnit_QUOTA_UNIT_TOKENS {
		unit = "tokens"
	}
	number := func(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }
	return fmt.Sprintf("%s/s, burst %s %s", number(q.PerSecond), number(q.Burst), unit)
}

func printAccounts(w io.Writer, list []accountRow) {
	var lines [][]string
	for _, a := range list {
		lines = append(lines, []string{
			a.Name, strconv.Itoa(a.Keys), strconv.Itoa(int(a.Weight)), strconv.Itoa(int(a.Priority)),
			strconv.Itoa(int(a.MaxConcurrent)), a.Quota, yesNo(a.Suspended),
		})
	}
	printTable(w, []string{"NAME", "KEYS", "WEIGHT", "PRIORITY", "MAX CONCURRENT", "QUOTA", "SUSPENDED"}, lines)
}

type accountKeyCommand struct{}

// newKey is the output of "account key": a key and its digest.
type newKey struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

func (c *accountKeyCommand) Run(p *printer) error {
	plain, digest := account.NewKey()
	k := newKey{Key: plain, Digest: digest.String()}
	return p.printValue(k, func(w io.Writer) {
		fmt.Fprintf(w, "key, for its holder only; it is not stored and not shown again:\n  %s\n", k.Key)
		fmt.Fprintf(w, "line for the account's keys in the declaration:\n  - %s\n", k.Digest)
	})
}
