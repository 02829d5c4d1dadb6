package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"parsleypulley/internal/account"
)

func parseExample(t testing.TB, name string) *Declaration {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("../../examples", name))
	if err != nil {
		t.Fatal(err)
	}
	d, err := ParseDeclaration(name, data)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func compileExample(t testing.TB, name string) *Compiled {
	t.Helper()
	c, err := Compile(parseExample(t, name).Config())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestExampleConfigurationsMatchUserRequirements(t *testing.T) {
	is := is.New(t)
	punjab := compileExample(t, "punjab.yaml")
	kathmandu := compileExample(t, "kathmandu.yaml")
	for _, c := range []*Compiled{punjab, kathmandu} {
		is.Equal(c.AccountCount(), 8)
		is.Equal(len(c.Presets()), 3)
		is.Equal(c.Preset.Name, "ordinary")
	}
	for _, p := range punjab.Presets() {
		is.True(p.RecomputeWeight > p.WaitWeight) // recomputed tokens cost more than waiting
	}
	for _, p := range kathmandu.Presets() {
		is.True(p.WaitWeight > p.RecomputeWeight) // waiting costs more than recomputed tokens, for the tail time to first token
	}
	farmdesk, ok := punjab.Service("farmdesk")
	is.True(ok)
	is.True(farmdesk.AtMostOnce("POST", "/bookings"))
	is.True(!farmdesk.AtMostOnce("POST", "/results/search"))
	yatra, ok := kathmandu.Service("yatra-app")
	is.True(ok)
	is.True(yatra.AtMostOnce("POST", "/departures/7"))
	is.True(yatra.AtMostOnce("POST", "/cancellations"))
}

func TestQuickstartKeysAreTheDocumentedOnes(t *testing.T) {
	is := is.New(t)
	c := compileExample(t, "quickstart.yaml")
	for _, name := range []string{"indus", "sajha"} {
		a, ok := c.AccountByKey(account.Digest("demo-key-" + name))
		is.True(ok)
		is.Equal(a.Name, name)
	}
}
