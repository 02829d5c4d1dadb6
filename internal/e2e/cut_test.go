//go:build faults

package e2e

// cut blocks the traffic between processes a and b, in both directions, if pair
// returns true for (a, b) or for (b, a). It replaces an earlier cut.
func (n *network) cut(pair func(a, b string) bool) { n.setCut(false, pair) }

// heal ends the cut.
func (n *network) heal() { n.setCut(false, nil) }
