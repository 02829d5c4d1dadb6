package quarantine

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"parsleypulley/internal/wire"
)

// crashes is a table with a short way to write crashes.
type crashes struct {
	*Table
	t *testing.T
	// known is what routers know of each part; nil lets them know everything.
	known map[string]uint32
}

func newCrashes(t *testing.T) *crashes { return &crashes{Table: NewTable(DefaultLimits()), t: t} }

// key returns the key of a part, "0/opening" with its depth, or of a request, "call 1".
func (c *crashes) key(name string) (key Key, depth uint32) {
	if _, err := fmt.Sscanf(name, "%d/", &depth); err == nil {
		return PromptParts("a", []string{name, "last"})[0], depth
	}
	return Key{"a", string(SharedFingerprint(sha256.Sum256([]byte(name))))}, 0
}

// crash reports the crash of an engine under requests and parts.
func (c *crashes) crash(engine int, names ...string) {
	var reports []*wire.CrashReport
	for _, name := range names {
		key, depth := c.key(name)
		known := c.entries[key].GetCrashes()
		if c.known != nil {
			known = c.known[name]
		}
		reports = append(reports, &wire.CrashReport{Account: key.Account, Fingerprint: []byte(key.Fingerprint), Backend: fmt.Sprint("b", engine), EngineIncarnation: 1,
			Depth: depth, KnownCrashes: known})
	}
	c.ReportAll(0, reports)
}

func (c *crashes) say(name string, report *wire.CrashReport) {
	key, _ := c.key(name)
	report.Account, report.Fingerprint = key.Account, []byte(key.Fingerprint)
	c.Report(0, report)
}

func (c *crashes) served(name string)       { c.say(name, &wire.CrashReport{Cleared: true}) }
func (c *crashes) servedBefore(name string) { c.say(name, &wire.CrashReport{ServedBefore: true}) }

func (c *crashes) quarantined(name string) bool {
	key, _ := c.key(name)
	return isQuarantined(c.entries[key])
}

func TestCausesOfCrashes(t *testing.T) {
	for name, test := range map[string]struct {
		play func(c *crashes)
		// causes are quarantined, innocent ones are not.
		causes, innocent []string
	}{
		"a part that is at four crashes": {func(c *crashes) {
			for i := range 4 {
				c.crash(i, fmt.Sprint("call ", i), "0/opening", "1/x")
				c.served("0/opening")
			}
		}, []string{"1/x"}, []string{"0/opening", "call 0"}},
		"a part that is at three crashes": {func(c *crashes) {
			for i := range 3 {
				c.crash(i, fmt.Sprint("call ", i), "1/x")
			}
		}, nil, []string{"1/x"}},
		"crashes under attempts that overlapped": {func(c *crashes) {
			c.known = map[string]uint32{}
			for i := range 10 {
				c.crash(i, fmt.Sprint("call ", i), "1/x")
			}
		}, nil, []string{"1/x"}},
		"parts that are always together, the deeper one first": {func(c *crashes) {
			for i := range 4 {
				c.crash(i, fmt.Sprint("call ", i), "1/context", "2/x")
			}
		}, []string{"2/x"}, []string{"1/context"}},
		"parts that are always together, and then the other one alone": {func(c *crashes) {
			for i := range 4 {
				c.crash(i, "1/x", "2/context")
			}
			c.crash(4, "1/x", "2/another")
		}, []string{"1/x"}, []string{"2/context", "2/another"}},
		"two parts of the same depth wait for another crash": {func(c *crashes) {
			for i := range 4 {
				c.crash(i, "1/x", "1/bystander")
			}
		}, nil, []string{"1/x", "1/bystander"}},
		"two parts of the same depth, told apart by one crash": {func(c *crashes) {
			for i := range 4 {
				c.crash(i, "1/x", "1/bystander")
			}
			c.crash(4, "1/x")
		}, []string{"1/x"}, []string{"1/bystander"}},
		"two parts of the same depth that nothing tells apart": {func(c *crashes) {
			for i := range 6 {
				c.crash(i, "1/x", "1/y")
			}
		}, []string{"1/x", "1/y"}, nil},
		"a part that was served before needs more crashes": {func(c *crashes) {
			c.crash(0, "1/x")
			c.servedBefore("1/x")
			for i := range 6 {
				c.crash(1+i, "1/x")
			}
		}, nil, []string{"1/x"}},
		"a part that was served before and is not any more": {func(c *crashes) {
			c.crash(0, "1/x")
			c.servedBefore("1/x")
			for i := range 7 {
				c.crash(1+i, "1/x")
			}
		}, []string{"1/x"}, nil},
		"an opening that is at the crashes of two causes": {func(c *crashes) {
			for i := range 3 {
				c.crash(i, "call x", "0/opening", fmt.Sprint("1/context ", i))
				c.crash(10+i, fmt.Sprint("call ", i), "0/opening", "1/y")
			}
			c.crash(20, "0/opening", "1/y")
			c.crash(21, "0/opening", "1/y")
		}, []string{"call x", "1/y"}, []string{"0/opening"}},
		"an opening that is the cause": {func(c *crashes) {
			for i := range 4 {
				c.crash(i, fmt.Sprint("call ", i), "0/opening", fmt.Sprint("1/context ", i%2))
			}
		}, []string{"0/opening"}, []string{"1/context 0", "1/context 1"}},
		"a part that was served before explains nothing that another one does": {func(c *crashes) {
			for i := range 8 {
				c.crash(i, "0/opening", "1/x")
				c.servedBefore("0/opening")
			}
		}, []string{"1/x"}, []string{"0/opening"}},
		"a part at some of the crashes of other causes": {func(c *crashes) {
			for i := range 12 {
				if i%3 == 0 {
					c.crash(i, "1/x")
				} else {
					c.crash(i, "1/other", "call")
					c.served("1/other")
					c.served("call")
				}
			}
		}, nil, []string{"1/x"}},
		"a request that was at the crashes of another": {func(c *crashes) {
			for i := range 3 {
				c.crash(i, "call x", "call bystander")
			}
			c.crash(3, "call x")
		}, []string{"call x"}, []string{"call bystander"}},
		"a request alone": {func(c *crashes) {
			for i := range 3 {
				c.crash(i, "call x", "0/opening", "1/context")
				c.served("0/opening")
			}
		}, []string{"call x"}, []string{"0/opening", "1/context"}},
		"a request whose crashes turn out to be those of a part": {func(c *crashes) {
			for i := range 3 {
				c.crash(i, "call", "1/x")
			}
			is.New(c.t).True(c.quarantined("call"))
			c.crash(3, "call of another", "1/x")
		}, []string{"1/x"}, []string{"call", "call of another"}},
		"a bystander before the reports of the cause": {func(c *crashes) {
			for i := range 3 {
				c.crash(i, "call bystander")
				c.crash(i, "call x")
			}
			c.crash(3, "call x")
		}, []string{"call x"}, []string{"call bystander"}},
		"a quarantined part beside later crashes of other causes": {func(c *crashes) {
			for i := range 4 {
				c.crash(i, "1/x")
			}
			for i := range 40 {
				c.crash(4+i, "1/other")
				c.served("1/other")
			}
		}, []string{"1/x"}, nil},
		"a quarantined part that is served": {func(c *crashes) {
			for i := range 4 {
				c.crash(i, "1/x")
			}
			c.served("1/x")
		}, nil, []string{"1/x"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCrashes(t)
			test.play(c)
			for _, name := range test.causes {
				t.Log(name)
				is.True(c.quarantined(name))
			}
			for _, name := range test.innocent {
				t.Log(name)
				is.True(!c.quarantined(name))
			}
			restored := NewTable(DefaultLimits())
			restored.Restore(c.Entries(), c.Recent())
			other := &crashes{Table: restored, t: t, known: c.known}
			for _, table := range []*crashes{c, other} {
				table.crash(99, "1/x", "call x")
			}
			is.Equal(len(c.Entries()), len(other.Entries()))
			for i, entry := range c.Entries() {
				is.True(proto.Equal(entry, other.Entries()[i])) // a snapshot has all that decides
			}
		})
	}
}

// A flood of distinct parts must not displace requests, nor the parts of other accounts.
func TestPartsAreLimited(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultLimits())
	request := string(SharedFingerprint(sha256.Sum256([]byte("r"))))
	table.Report(0, newReport("noisy", request, "b0", 1))
	quiet := PromptParts("quiet", []string{"x", ""})[0]
	table.Report(0, &wire.CrashReport{Account: quiet.Account, Fingerprint: []byte(quiet.Fingerprint), Backend: "b0", EngineIncarnation: 1})
	x := PromptParts("noisy", []string{"x", ""})[0]
	for crash := range 20 {
		reports := []*wire.CrashReport{{Account: x.Account, Fingerprint: []byte(x.Fingerprint), KnownCrashes: uint32(crash)}}
		for i := range 200 {
			for _, key := range PromptParts("noisy", []string{fmt.Sprint(crash, i), ""}) {
				reports = append(reports, &wire.CrashReport{Account: key.Account, Fingerprint: []byte(key.Fingerprint)})
			}
		}
		for _, report := range reports {
			report.Backend, report.EngineIncarnation = fmt.Sprint("b", crash), 2
		}
		table.ReportAll(int64(crash), reports)
	}
	is.True(isQuarantined(table.entries[x]))
	is.True(table.entries[quiet] != nil)
	is.True(table.entries[Key{"noisy", request}] != nil)
	is.True(len(table.Entries()) <= DefaultLimits().PartsPerAccount+2)
	is.True(len(PromptParts("a", make([]string, 1000))) <= maxPromptParts)
}

// Two accounts that don't share cached state don't share the fate of a part.
func TestPartsBelongToTheirAccount(t *testing.T) {
	is := is.New(t)
	is.True(PromptParts("a", []string{"x", ""})[0].Fingerprint != PromptParts("b", []string{"x", ""})[0].Fingerprint)
	is.Equal(len(PromptParts("a", []string{"last"})), 0) // the last part is that of the request alone
	is.Equal(len(PromptParts("a", nil)), 0)
}

// Parts expire sooner than requests, since many requests have them.
func TestPartsExpire(t *testing.T) {
	is := is.New(t)
	c := newCrashes(t)
	for i := range 4 {
		c.crash(i, "1/x")
	}
	ttl := DefaultLimits().PartTTL.Milliseconds()
	is.Equal(len(c.Expire(ttl-1)), 0)
	events := c.Expire(ttl)
	is.Equal(len(events), 1)
	is.Equal(events[0].GetCrashes(), uint32(0))
}
