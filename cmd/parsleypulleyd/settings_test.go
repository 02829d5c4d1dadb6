package main

import (
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"parsleypulley/internal/fault"
)

// TestOperatorPagesDocumentSettingsAndErrorCodes checks that the pages for
// operators list every flag with its environment variable, and every error code
// that callers may receive.
func TestOperatorPagesDocumentSettingsAndErrorCodes(t *testing.T) {
	is := is.New(t)
	settings, err := os.ReadFile("../../docs/operators/settings.md")
	is.NoErr(err)
	parser, err := kong.New(&cli{})
	is.NoErr(err)
	for _, command := range parser.Model.Children {
		for _, flag := range command.Flags {
			if !strings.Contains(string(settings), "`--"+flag.Name+"`") {
				t.Errorf("settings.md does not list --%s of %s", flag.Name, command.Name)
			}
			for _, env := range flag.Envs {
				if !strings.Contains(string(settings), "`"+env+"`") {
					t.Errorf("settings.md does not list %s of %s", env, command.Name)
				}
			}
			is.True(len(flag.Envs) > 0) // each flag has an environment variable
		}
	}
	watching, err := os.ReadFile("../../docs/operators/watching.md")
	is.NoErr(err)
	internalOnly := map[fault.Kind]bool{fault.Internal: true, fault.Forbidden: true, fault.StaleFencing: true,
		fault.ClaimRefused: true, fault.Cancelled: true, fault.Conflict: true}
	for _, kind := range fault.Kinds() {
		if !internalOnly[kind] && !strings.Contains(string(watching), "`"+kind.String()+"`") {
			t.Errorf("watching.md does not explain %s", kind)
		}
	}
}

// TestSettingsReportAllProblems checks that one error names all invalid settings.
func TestSettingsReportAllProblems(t *testing.T) {
	is := is.New(t)
	parser, err := kong.New(&cli{}, kong.Exit(func(int) {}))
	is.NoErr(err)
	_, err = parser.Parse([]string{"router", "--name", "r", "--domain", "d", "--link", "localhost:1", "--admin", "nowhere",
		"--control", "10.0.0.1:1,bad", "--tls-ca", "ca.pem", "--stop-deadline=-1s", "--listen", "127.0.0.1:1"})
	is.True(err != nil)
	for _, want := range []string{"--link", "--admin", `"bad"`, "--tls-ca", "--stop-deadline"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not name %s: %v", want, err)
		}
	}
}
