//go:build faults

package e2e

// cut cuts the pairs of processes for which pair, asked in both orders, holds.
func (n *network) cut(pair func(a, b string) bool) { n.setCut(false, pair) }

// heal ends all cuts.
func (n *network) heal() { n.setCut(false, nil) }
