package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

// parse reads settings as parsleypulleyd does.
func parse(t *testing.T, args ...string) (*Settings, error) {
	t.Helper()
	var s Settings
	parser, err := kong.New(&s, kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	_, err = parser.Parse(args)
	return &s, err
}

func requiredFlags(more ...string) []string {
	return append([]string{"--name=r1", "--domain=punjab-a", "--link=127.0.0.1:7400", "--control=127.0.0.1:7401"}, more...)
}

func TestSettingsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := parse(t, requiredFlags()...)
	is.NoErr(err)
	is.NoErr(s.Validate())
	is.Equal(s.Address(), "127.0.0.1:7400")
	is.Equal(s.Admin, "")
	is.Equal(s.LogLevel, "info")
	is.Equal(s.Trace, "off")
	is.Equal(s.StopDeadline, 10*time.Minute)
	tlsConfig, err := s.TLS()
	is.NoErr(err)
	is.True(tlsConfig == nil)
}

func TestSettingsFromTheEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("PARSLEYPULLEY_NAME", "r1")
	t.Setenv("PARSLEYPULLEY_DOMAIN", "thamel")
	t.Setenv("PARSLEYPULLEY_LINK", "0.0.0.0:7400")
	t.Setenv("PARSLEYPULLEY_ADVERTISE", "10.0.0.7:7400")
	t.Setenv("PARSLEYPULLEY_CONTROL", "10.0.0.1:7401,10.0.0.2:7401")
	t.Setenv("PARSLEYPULLEY_STOP_DEADLINE", "3s")
	s, err := parse(t, "--domain=patan") // a flag wins over the environment
	is.NoErr(err)
	is.NoErr(s.Validate())
	is.Equal(s.Domain, "patan")
	is.Equal(s.Address(), "10.0.0.7:7400")
	is.Equal(s.Control, []string{"10.0.0.1:7401", "10.0.0.2:7401"})
	is.Equal(s.StopDeadline, 3*time.Second)
}

func TestValidateReportsEveryProblem(t *testing.T) {
	const incompleteTLS = "set all three or none"
	tests := []struct {
		name  string
		flags []string
		want  []string
	}{
		{"none", nil, nil},
		{"IPv6", []string{"--link=[::1]:7400"}, nil},
		{"host name", []string{"--link=localhost:7400"}, []string{"--link"}},
		{"no port", []string{"--link=127.0.0.1"}, []string{"--link"}},
		{"port 0", []string{"--admin=127.0.0.1:0"}, []string{"--admin"}},
		{"port out of range", []string{"--admin=127.0.0.1:70000"}, []string{"--admin"}},
		{"named port", []string{"--admin=127.0.0.1:http"}, []string{"--admin"}},
		{"advertised everywhere", []string{"--advertise=0.0.0.0:7400"}, []string{"--advertise"}},
		{"link everywhere, not advertised", []string{"--link=0.0.0.0:7400"}, []string{"--advertise"}},
		{"one control address", []string{"--control=10.0.0.1:1,nowhere"}, []string{"--control"}},
		{"only CA", []string{"--tls-ca=ca.pem"}, []string{incompleteTLS}},
		{"only certificate", []string{"--tls-cert=c.pem"}, []string{incompleteTLS}},
		{"no key", []string{"--tls-ca=ca.pem", "--tls-cert=c.pem"}, []string{incompleteTLS}},
		{"no CA", []string{"--tls-cert=c.pem", "--tls-key=k.pem"}, []string{incompleteTLS}},
		{"all three", []string{"--tls-ca=ca.pem", "--tls-cert=c.pem", "--tls-key=k.pem"}, nil},
		{"stop deadline", []string{"--stop-deadline=-1s"}, []string{"--stop-deadline"}},
		{"all at once", []string{"--link=x", "--admin=y", "--advertise=z", "--tls-key=k.pem", "--stop-deadline=0s"},
			[]string{"--link", "--advertise", "--admin", incompleteTLS, "--stop-deadline"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, err := parse(t, requiredFlags(test.flags...)...)
			is.Equal(err != nil, len(test.want) > 0) // parsing validates
			err = s.Validate()
			if len(test.want) == 0 {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			lines := strings.Split(err.Error(), "\n")
			is.Equal(len(lines), len(test.want)) // one line for each fault
			for i, want := range test.want {
				is.True(strings.Contains(lines[i], want))
			}
		})
	}
}

func TestTLSErrorNamesTheMissingFile(t *testing.T) {
	is := is.New(t)
	s, err := parse(t, requiredFlags("--tls-ca=/nonexistent/ca.pem", "--tls-cert=c.pem", "--tls-key=k.pem")...)
	is.NoErr(err)
	_, err = s.TLS()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "/nonexistent/ca.pem"))
}
