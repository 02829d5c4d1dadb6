// Package daemon implements what all roles of parsleypulleyd share: settings, logs,
// traces, the administrative listener, links and the planned stop (graceful
// shutdown).
package daemon

import (
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"parsleypulley/internal/event"
	"parsleypulley/internal/link"
)

// Settings are the settings that all roles share.
type Settings struct {
	Name      string `help:"Name of this process, unique in the installation." required:"" env:"PARSLEYPULLEY_NAME"`
	Domain    string `help:"Failure domain of this VM." required:"" env:"PARSLEYPULLEY_DOMAIN"`
	Link      string `help:"Address for links from other processes, ip:port." required:"" env:"PARSLEYPULLEY_LINK"`
	Advertise string `help:"Address at which other processes reach --link; default is --link itself." env:"PARSLEYPULLEY_ADVERTISE"`
	Admin     string `help:"Address for health, readiness and metrics, ip:port; empty is none." env:"PARSLEYPULLEY_ADMIN"`
	// AdminOptional lets the process run without the administrative listener if the
	// --admin address is in use.
	AdminOptional bool `kong:"-"`

	Control      []string      `help:"Link addresses of the control replicas, ip:port,..." required:"" env:"PARSLEYPULLEY_CONTROL"`
	TLSCA        string        `name:"tls-ca" help:"PEM file of the certificate authority; links use TLS when set." env:"PARSLEYPULLEY_TLS_CA"`
	TLSCert      string        `name:"tls-cert" help:"PEM file of this process's certificate." env:"PARSLEYPULLEY_TLS_CERT"`
	TLSKey       string        `name:"tls-key" help:"PEM file of this process's key." env:"PARSLEYPULLEY_TLS_KEY"`
	LogLevel     string        `help:"Log level: debug, info, warn or error." default:"info" enum:"debug,info,warn,error" env:"PARSLEYPULLEY_LOG_LEVEL"`
	Trace        string        `help:"Where finished spans go: off, stderr, or the path of a file." default:"off" env:"PARSLEYPULLEY_TRACE"`
	StopDeadline time.Duration `help:"Longest time that a planned stop waits for requests in progress." default:"10m" env:"PARSLEYPULLEY_STOP_DEADLINE"`
}

// Validate checks the settings. Its error lists all problems, one a line.
func (s *Settings) Validate() error {
	problems := []error{
		checkAddress("--link", s.Link, true),
		checkAddress("--advertise", s.Advertise, false),
		checkReachable(s.Address()),
		checkAddress("--admin", s.Admin, false),
	}
	for _, address := range s.Control {
		problems = append(problems, checkAddress("--control", address, true))
	}
	if n := countSet(s.TLSCA, s.TLSCert, s.TLSKey); n != 0 && n != 3 {
		problems = append(problems, errors.New("--tls-ca, --tls-cert and --tls-key go together: set all three or none"))
	}
	if s.StopDeadline <= 0 {
		problems = append(problems, errors.New("--stop-deadline must be positive"))
	}
	return errors.Join(problems...)
}

func countSet(values ...string) int {
	n := 0
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}

// checkAddress checks that address is an IP address and port. It may be empty unless
// required is set.
func checkAddress(flag, address string, required bool) error {
	if address == "" && !required {
		return nil
	}
	if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
		return fmt.Errorf("%s: %q is not an IP number and port, such as 10.0.0.7:7400", flag, address)
	}
	return nil
}

// checkReachable checks that other processes can call address, the one advertised to
// them.
func checkReachable(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsUnspecified() {
		return nil // checkAddress reports addresses that can't be parsed
	}
	return fmt.Errorf("--advertise: other processes can't call %s: set the IP number and port at which they reach --link", address)
}

// Address returns the link address at which other processes reach this one.
func (s *Settings) Address() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Link
}

// TLS returns the TLS configuration of links; nil for plain TCP.
func (s *Settings) TLS() (*tls.Config, error) {
	if s.TLSCA == "" {
		return nil, nil
	}
	return link.LoadTLS(s.TLSCA, s.TLSCert, s.TLSKey)
}

// standardLog is the log writer that the last StartLog set up; nil before.
var standardLog atomic.Pointer[logWriter]

// StartLog writes log events to standard output, each as a line of key=value pairs.
// The lines are queued; see FlushLog.
func (s *Settings) StartLog() {
	lines := newLogWriter(os.Stdout)
	standardLog.Store(lines)
	log.SetHandler(lines)
	log.SetLevel(log.MustParseLevel(s.LogLevel))
	stdlog.SetFlags(0)
	stdlog.SetOutput(stdlogWriter{})
}

// FlushLog waits for queued log lines to be written, for logFlushTimeout at most.
func FlushLog() {
	if lines := standardLog.Load(); lines != nil {
		lines.flush(logFlushTimeout)
	}
}

// Exit ends the process. If err is not nil, it is logged and the exit status is 1.
func Exit(err error) {
	status := 0
	if err != nil {
		event.ProcessFailed(err)
		status = 1
	}
	FlushLog()
	os.Exit(status)
}

// stdlogWriter converts the messages that libraries such as net/http write to the
// standard logger to events.
type stdlogWriter struct{}

// Write implements io.Writer. The standard logger calls it once for each message.
func (stdlogWriter) Write(p []byte) (int, error) {
	event.LibraryMessage(strings.TrimSpace(string(p)))
	return len(p), nil
}
