package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestExplainSortsLinesOfRequestByTime(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	a := write("router-a.log", "timestamp=2026-01-01T00:00:02Z level=warn message=\"attempt failed\" request=abc1 backend=i-1\n"+
		"timestamp=2026-01-01T00:00:03Z level=info message=\"call served\" request=abc1\n"+
		"timestamp=2026-01-01T00:00:03Z level=info message=\"call served\" request=abc12\n")
	b := write("router-b.log", "timestamp=2026-01-01T00:00:01Z level=warn message=\"call failed\" request=abc1 kind=overloaded\n")
	var out bytes.Buffer
	is.NoErr((&explainCommand{Request: "abc1", Files: []string{a, b}}).Run(&printer{out: &out}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.HasPrefix(lines[0], "2026-01-01T00:00:01Z router-b level=warn"))
	is.True(strings.Contains(lines[1], "attempt failed"))
	is.True(strings.Contains(lines[2], "call served"))
	is.True((&explainCommand{Request: "none", Files: []string{a}}).Run(&printer{out: &out}) != nil)
}
