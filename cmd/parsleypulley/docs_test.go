package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestToolPageDocumentsExitCodesCommandsAndSettings(t *testing.T) {
	is := is.New(t)
	page := readPage(t, "tool.md")
	for code := exitOK; code <= exitDiffers; code++ {
		is.True(strings.Contains(page, fmt.Sprintf("\n| %d | ", code))) // each exit code has a row in the table
	}
	parser, err := kong.New(&cli{})
	is.NoErr(err)
	for _, leaf := range parser.Model.Leaves(true) {
		if !strings.Contains(page, "`"+strings.TrimPrefix(leaf.FullPath(), parser.Model.Name+" ")) {
			t.Errorf("tool.md does not document command %q", leaf.FullPath())
		}
	}
	for _, flag := range parser.Model.Flags {
		if flag.Name != "help" && !strings.Contains(page, "`--"+flag.Name+"`") {
			t.Errorf("tool.md does not document flag --%s", flag.Name)
		}
		for _, variable := range flag.Envs {
			if !strings.Contains(page, "`"+variable+"`") {
				t.Errorf("tool.md does not document variable %s", variable)
			}
		}
	}
}
