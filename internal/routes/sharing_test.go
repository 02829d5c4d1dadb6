package routes

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// sharingTable returns a table with accounts that share cached state and isolated ones. It is not valid
// without a route, as Apply checks.
func sharingTable(version uint64, sharing, isolated []string) *wire.RouteTable {
	t := table(version)
	t.Accounts = nil
	for _, name := range sharing {
		t.Accounts = append(t.Accounts, &wire.Account{Name: name, SharesCache: true})
	}
	for _, name := range isolated {
		t.Accounts = append(t.Accounts, &wire.Account{Name: name})
	}
	return t
}

// Guards against cached state of an isolated account that others can still find, since the state names
// no account: the shared salt has to change then, and only then, since the others lose their state too.
func TestGenerationOfSharedState(t *testing.T) {
	type step struct {
		sharing, isolated []string
		// generation is the one expected after the step, whose table has the version 10 times its number.
		generation uint64
	}
	both, one, two := []string{"a", "b"}, []string{"a"}, []string{"b"}
	for name, steps := range map[string][]step{
		"nobody is isolated":                {{both, nil, 0}, {both, nil, 0}, {append(both, "c"), nil, 0}},
		"isolated from the start":           {{one, two, 0}, {one, two, 0}},
		"isolated":                          {{both, nil, 0}, {one, two, 20}, {one, two, 20}},
		"isolated, shares, isolated":        {{both, nil, 0}, {one, two, 20}, {both, nil, 20}, {one, two, 40}},
		"shares, isolated":                  {{one, two, 0}, {both, nil, 0}, {one, two, 30}},
		"two at once":                       {{append(both, "c"), nil, 0}, {[]string{"c"}, both, 20}, {[]string{"c"}, both, 20}},
		"removed":                           {{both, nil, 0}, {one, nil, 0}, {both, nil, 0}},
		"removed, then isolated":            {{both, nil, 0}, {one, nil, 0}, {one, nil, 0}, {one, two, 40}, {one, two, 40}},
		"removed, shares again, isolated":   {{both, nil, 0}, {one, nil, 0}, {both, nil, 0}, {one, two, 40}},
		"removed in an earlier generation":  {{append(both, "c"), nil, 0}, {[]string{"a", "c"}, nil, 0}, {one, []string{"c"}, 30}, {one, two, 30}},
		"all accounts removed and isolated": {{both, nil, 0}, {nil, nil, 0}, {nil, both, 30}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			for i, step := range steps {
				sent := sharingTable(uint64(10*(i+1)), step.sharing, step.isolated)
				sent.SharedCacheGeneration, sent.FormerSharers = 12345, []uint64{1} // not the sender's to set
				result, changed := s.Apply(&wire.RouteTableChange{Table: sent})
				is.True(changed)
				is.Equal(result.GetStatus(), wire.RouteTableResult_STATUS_ACCEPTED)
				is.Equal(s.Table().GetSharedCacheGeneration(), step.generation)
				_, changed = s.Apply(&wire.RouteTableChange{Table: sent}) // sent again
				is.True(!changed)
				restored := NewState() // from a snapshot
				restored.Restore(proto.CloneOf(s.Table()), nil, nil)
				s = restored
			}
		})
	}
}

// Guards against a table that grows with each account that was ever declared.
func TestFormerSharersAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	generations := map[uint64]bool{}
	for i := range uint64(3 * maxFormerSharers) {
		s.Apply(&wire.RouteTableChange{Table: sharingTable(i+1, []string{"a", fmt.Sprint("account ", i)}, nil)})
		is.True(len(s.Table().GetFormerSharers()) <= maxFormerSharers)
		generations[s.Table().GetSharedCacheGeneration()] = true
	}
	is.Equal(len(generations), 3) // a new one for each maxFormerSharers accounts
}
