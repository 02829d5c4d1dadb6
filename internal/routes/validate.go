package routes

import (
	"fmt"
	"strings"

	"parsleypulley/internal/wire"
)

// Validate returns all that is wrong with a table.
func Validate(t *wire.RouteTable) []string {
	var problems []string
	complain := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if t.GetVersion() == 0 {
		complain("the table has no version")
	}
	services := map[string]bool{}
	for _, s := range t.GetServices() {
		if s.GetName() == "" {
			complain("a service has no name")
		}
		if services[s.GetName()] {
			complain("service %q is declared twice", s.GetName())
		}
		services[s.GetName()] = s.GetStore() == nil
	}
	places := map[string]string{}
	for _, r := range t.GetRoutes() {
		place := NormalizeHost(r.GetHost()) + r.GetPathPrefix()
		if other, taken := places[place]; taken {
			complain("routes %q and %q share host and path %q", other, r.GetName(), place)
		}
		places[place] = r.GetName()
		for _, problem := range checkRoute(r, services) {
			complain("route %q: %s", r.GetName(), problem)
		}
	}
	return append(problems, checkKeys(t.GetAccounts())...)
}

func checkRoute(r *wire.ForwardRoute, services map[string]bool) []string {
	var problems []string
	if !strings.HasPrefix(r.GetPathPrefix(), "/") || !strings.HasSuffix(r.GetPathPrefix(), "/") {
		problems = append(problems, fmt.Sprintf("path prefix %q does not begin and end with a slash", r.GetPathPrefix()))
	}
	if r.GetTimeoutMs() == 0 {
		problems = append(problems, "the timeout is 0")
	}
	if r.GetRepetition() == wire.Repetition_REPETITION_UNSPECIFIED {
		problems = append(problems, "it is not told whether calls may be repeated")
	}
	weight := uint64(0)
	for _, part := range r.GetSplit() {
		weight += uint64(part.GetWeight())
		if !services[part.GetService()] {
			problems = append(problems, fmt.Sprintf("unknown service %q", part.GetService()))
		}
	}
	if weight == 0 {
		problems = append(problems, "the weights of its services add up to 0")
	}
	return problems
}

func checkKeys(accounts []*wire.Account) []string {
	var problems []string
	holders := map[string]string{}
	names := map[string]bool{}
	for _, a := range accounts {
		if a.GetName() == "" || names[a.GetName()] {
			problems = append(problems, fmt.Sprintf("client account %q has no name or is declared twice", a.GetName()))
		}
		names[a.GetName()] = true
		for _, digest := range a.GetKeySha256() {
			if other, taken := holders[string(digest)]; taken && other != a.GetName() {
				problems = append(problems, fmt.Sprintf("client accounts %q and %q share a key", other, a.GetName()))
			}
			holders[string(digest)] = a.GetName()
		}
	}
	return problems
}
