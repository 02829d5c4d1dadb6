package routes

import (
	"fmt"
	"strings"

	"parsleypulley/internal/account"
	"parsleypulley/internal/wire"
)

// maxProblems bounds the problems that are described. Each may name an entry of its own, and a table may
// have hundreds of thousands.
const maxProblems = 100

// problemList holds the descriptions of problems. Names in them are cut: one of a MiB that was
// repeated in each problem would take more memory than a replica has, at all replicas.
type problemList []string

func (p *problemList) add(format string, args ...any) {
	if len(*p) < maxProblems {
		*p = append(*p, fmt.Sprintf(format, args...))
	}
}

// Validate returns the descriptions of the problems of a table, at most maxProblems.
func Validate(t *wire.RouteTable) []string {
	var problems problemList
	if t.GetVersion() == 0 {
		problems.add("the table has no version")
	}
	if t.GetKeysRequired() && t.GetKeysOptional() {
		problems.add("the table states both that calls need API keys and that they need none")
	}
	// services says for each service whether routes may send calls to it.
	services := map[string]bool{}
	for _, s := range t.GetServices() {
		if s.GetName() == "" {
			problems.add("a service has no name")
		}
		if _, declared := services[s.GetName()]; declared {
			problems.add("service %.60q is declared twice", s.GetName())
		}
		services[s.GetName()] = s.GetStore() == nil
	}
	routeNames := map[string]string{}
	for _, r := range t.GetRoutes() {
		hostAndPath := NormalizeHost(r.GetHost()) + r.GetPathPrefix()
		if other, taken := routeNames[hostAndPath]; taken {
			problems.add("routes %.60q and %.60q share host and path %.60q", other, r.GetName(), hostAndPath)
		}
		routeNames[hostAndPath] = r.GetName()
		checkRoute(&problems, r, services)
	}
	checkAccounts(&problems, t.GetAccounts())
	return problems
}

func checkRoute(problems *problemList, r *wire.ForwardRoute, services map[string]bool) {
	if !strings.HasPrefix(r.GetPathPrefix(), "/") || !strings.HasSuffix(r.GetPathPrefix(), "/") {
		problems.add("route %.60q: path prefix %.60q does not begin and end with a slash", r.GetName(), r.GetPathPrefix())
	}
	if r.GetTimeoutMs() == 0 {
		problems.add("route %.60q: the timeout is 0", r.GetName())
	}
	if r.GetRepetition() == wire.Repetition_REPETITION_UNSPECIFIED {
		problems.add("route %.60q: it is not told whether calls may be repeated", r.GetName())
	}
	weight := uint64(0)
	for _, part := range r.GetSplit() {
		weight += uint64(part.GetWeight())
		if !services[part.GetService()] {
			problems.add("route %.60q: unknown service %.60q", r.GetName(), part.GetService())
		}
	}
	if weight == 0 {
		problems.add("route %.60q: the weights of its services add up to 0", r.GetName())
	}
}

func checkAccounts(problems *problemList, accounts []*wire.Account) {
	keyOwners := map[string]string{}
	names := map[string]bool{}
	for _, a := range accounts {
		if a.GetName() == "" || names[a.GetName()] {
			problems.add("client account %.60q has no name or is declared twice", a.GetName())
		}
		names[a.GetName()] = true
		for _, p := range account.CheckQuota(a.GetQuota()) {
			problems.add("client account %.60q: quota.%s: %s", a.GetName(), p.Field, p.Reason)
		}
		for _, digest := range a.GetKeySha256() {
			if other, taken := keyOwners[string(digest)]; taken && other != a.GetName() {
				problems.add("client accounts %.60q and %.60q share a key", other, a.GetName())
			}
			keyOwners[string(digest)] = a.GetName()
		}
	}
}
