// Package kit3 starts a small installation of the deploy file on loopback addresses, with stand-ins for its operator and
// its backend servers, for the cases of the third review.
package kit3

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNoRun  = 2
)

// Bounds of the deployment, those of the sheet of clamp-check.
const (
	RevokeBound  = 5 * time.Second
	ApplyBound   = 2 * time.Second
	VersionBound = 8 * time.Second
	HeartbeatMs  = 1200
	memoryMB     = 134
	diskMB       = 64
	maxFiles     = 4100
	lossesBorne  = 1
	graceTime    = 8 * time.Second
	// The ports for metrics are those of the deploy file.
	controlMetricsPort = 9465
	routerMetricsPort  = 9464
)

// VM is a front VM with a disk, which runs both roles of the deploy file.
type VM struct {
	Name, Zone, IP string
	Front, Control string
	// Disk is set if the VM has a disk.
	Disk      bool
	Processes map[string]*Process
}

// Process is a process of a VM.
type Process struct {
	Role string
	cmd  *exec.Cmd
	done chan struct{}
	// words are the command, settings is the path of the settings file, and log that of the output.
	words         []string
	settings, log string
	// data is the data folder.
	data string
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Installation is a running installation of three VMs in three failure domains.
type Installation struct {
	VMs    []*VM
	Record *Record
	dir    string
	// commands are those of the deploy file by role, and base is the first port for links.
	commands map[string]string
	base     int
	// frozen is the VM that stands still, which the operator has given up on.
	frozen atomic.Pointer[VM]
	// version is the version of the newest configuration that was sent.
	version int
}

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Addf adds a line with the time since the start.
func (r *Record) Addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// runLine matches the command of a role in the deploy file.
var runLine = regexp.MustCompile(`(?m)^\[roles\.(\w+)\]\s*\nrun = "([^"]+)"`)

// deployCommands returns the commands of the roles in the deploy file.
func deployCommands() (map[string]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	commands := map[string]string{}
	for _, match := range runLine.FindAllStringSubmatch(string(text), -1) {
		commands[match[1]] = match[2]
	}
	if len(commands) == 0 {
		return nil, errors.New("the deploy file has no commands")
	}
	return commands, nil
}

// Start starts an installation in a temporary folder and waits until it acknowledges its first configuration. Its seeds are its
// three VMs.
func Start(record *Record, config map[string]any) (*Installation, error) {
	in, err := newInstallation(record)
	if err != nil {
		return nil, err
	}
	if err = in.startVMs(in.VMs); err == nil {
		err = in.PutConfig(config, 30*time.Second)
	}
	if err != nil {
		in.Stop()
		return nil, err
	}
	return in, nil
}

// StartWithRelays starts an installation with a further VM without a disk in each failure domain. These three are the seeds.
func StartWithRelays(record *Record) (*Installation, error) {
	in, err := newInstallation(record)
	if err != nil {
		return nil, err
	}
	disks := in.VMs
	for i, v := range disks {
		ip := v.IP + "0" // above all of the VMs with a disk
		in.VMs = append(in.VMs, in.newVM(fmt.Sprintf("front-%s-2", v.Zone), disks[i].Zone, ip, false))
	}
	if err := in.startVMs(in.VMs[len(disks):]); err != nil {
		in.Stop()
		return nil, err
	}
	return in, nil
}

func newInstallation(record *Record) (*Installation, error) {
	commands, err := deployCommands()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	network, host, base := freeAddresses()
	in := &Installation{Record: record, dir: dir, commands: commands, base: base}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		in.VMs = append(in.VMs, in.newVM("front-"+zone+"-1", zone, fmt.Sprintf("127.%d.%d.%d", network, host, 10+i), true))
	}
	return in, nil
}

func (in *Installation) newVM(name, zone, ip string, disk bool) *VM {
	return &VM{Name: name, Zone: zone, IP: ip, Disk: disk, Processes: map[string]*Process{}, Front: address(ip, in.base+4), Control: address(ip, in.base+6)}
}

// startVMs starts all VMs, with the given ones as seeds.
func (in *Installation) startVMs(seeds []*VM) error {
	var addresses []string
	for _, v := range seeds {
		addresses = append(addresses, v.Control)
	}
	for _, v := range in.VMs {
		for role, command := range in.commands {
			if err := in.startRole(v, role, command, addresses); err != nil {
				return err
			}
		}
	}
	return nil
}

// freeAddresses returns a network of loopback addresses, 127.NETWORK.HOST, and the first of ten free ports.
func freeAddresses() (network, host, base int) {
	for {
		network, host, base = 16+rand.IntN(200), rand.IntN(200), 20000+10*rand.IntN(800)
		free := true
		for port := base; port < base+10 && free; port++ {
			ln, err := net.Listen("tcp", address(fmt.Sprintf("127.%d.%d.10", network, host), port))
			if free = err == nil; free {
				_ = ln.Close() // was not used
			}
		}
		if free {
			return network, host, base
		}
	}
}

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// placeholder matches a placeholder of the deploy file.
var placeholder = regexp.MustCompile(`{{([\w.]+)}}`)

// startRole starts a role with the command of the deploy file.
func (in *Installation) startRole(v *VM, role, command string, seeds []string) error {
	data := filepath.Join(in.dir, v.Name, "data-"+role)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	diskSize := diskMB
	if !v.Disk {
		data, diskSize = "", 0
	}
	settings := map[string]string{
		"NodeName": v.Name, "Zone": v.Zone, "Ip": v.IP, "Seeds": strings.Join(seeds, ","), "PortRange.0": fmt.Sprint(in.base),
		"Limits.MemoryMb": fmt.Sprint(memoryMB), "Limits.DiskMb": fmt.Sprint(diskSize), "Limits.MaxFds": fmt.Sprint(maxFiles),
		"Listen.Control": v.Control, "Listen.Front": v.Front, "Listen.Ready": address(v.IP, in.base+5),
		"DataDir": data, "Bootstrap": "true", "FaultTolerance.Machines": fmt.Sprint(lossesBorne), "HeartbeatMs": fmt.Sprint(HeartbeatMs),
		"Bounds.GraceS": "8", "Bounds.LeaseMs": "3000", "Bounds.VersionMs": fmt.Sprint(VersionBound.Milliseconds()), "Bounds.RevokeMs": fmt.Sprint(RevokeBound.Milliseconds()),
		"Bounds.BudgetRatio": "0.2", "Bounds.ExtraRetries": "116", "Bounds.BudgetWindowS": "10",
	}
	words := strings.Fields(command)
	for i := range words {
		words[i] = placeholder.ReplaceAllStringFunc(words[i], func(p string) string { return settings[strings.Trim(p, "{}")] })
	}
	file := filepath.Join(in.dir, v.Name, role+".json")
	text, err := json.Marshal(map[string]any{"NodeName": v.Name, "Role": role, "Ip": v.IP, "Zone": v.Zone, "Seeds": seeds, "Bootstrap": true})
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	p := &Process{Role: role, data: data, words: words, settings: file, log: filepath.Join(in.dir, v.Name, role+".log")}
	v.Processes[role] = p
	return in.start(v, p)
}

// start starts a process, or starts it anew.
func (in *Installation) start(v *VM, p *Process) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.words[0], p.words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "PARSLEYPULLEY_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
	in.Record.Addf("platform: started %s on %s, process %d", p.Role, v.Name, cmd.Process.Pid)
	return nil
}

// Restart sends SIGTERM to a process, SIGKILL after the grace period, and starts it anew, with Bootstrap false.
func (in *Installation) Restart(v *VM, role string) error {
	p := v.Processes[role]
	in.Record.Addf("platform: SIGTERM to %s on %s", role, v.Name)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(graceTime):
		in.Record.Addf("platform: SIGKILL to %s on %s", role, v.Name)
		_ = p.Signal(syscall.SIGKILL) // fails only if it has ended
		<-p.done
	}
	return in.StartAgain(v, role)
}

// Kill ends a process with SIGKILL.
func (in *Installation) Kill(v *VM, role string) {
	in.Record.Addf("platform: SIGKILL to %s on %s", role, v.Name)
	_ = v.Processes[role].Signal(syscall.SIGKILL) // fails only if it has ended
	<-v.Processes[role].done
}

// Wipe empties the data folder of a process that has ended.
func (in *Installation) Wipe(v *VM, role string) error {
	in.Record.Addf("platform: %s on %s loses its disk", role, v.Name)
	data := v.Processes[role].data
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	return os.MkdirAll(data, 0o700)
}

// StartAgain starts a process that has ended, with Bootstrap false.
func (in *Installation) StartAgain(v *VM, role string) error {
	p := v.Processes[role]
	for i, word := range p.words {
		if word == "--bootstrap=true" {
			p.words[i] = "--bootstrap=false"
		}
	}
	return in.start(v, p)
}

// LogsOf returns the lines of the log of a role at a VM that contain a text.
func (in *Installation) LogsOf(v *VM, role, text string) []string {
	log, _ := os.ReadFile(filepath.Join(in.dir, v.Name, role+".log"))
	var out []string
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, text) {
			out = append(out, strings.TrimSpace(line))
		}
	}
	return out
}

// Stop ends all processes and removes the folder.
func (in *Installation) Stop() {
	for _, v := range in.VMs {
		for _, p := range v.Processes {
			_ = p.Signal(syscall.SIGKILL) // fails only if it has ended
			<-p.done
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(in.dir) // a temporary folder
	}
}

// call sends a call of the operator or of a backend server to the control VMs in turn, until one answers with a status
// below 500.
func (in *Installation) call(ctx context.Context, method, path string, body any) (status int, by string, err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, "", err
	}
	for i := rand.IntN(len(in.VMs)); ; i++ {
		v := in.VMs[i%len(in.VMs)]
		if v == in.frozen.Load() {
			continue
		}
		if status, err = send(ctx, method, v.Control, path, text); err == nil && status < 500 {
			return status, v.Name, nil
		}
		select {
		case <-ctx.Done():
			return 0, "", fmt.Errorf("%s %s: no clear answer: %d, %w", method, path, status, errors.Join(err, ctx.Err()))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// callClient calls control processes.
var callClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func send(ctx context.Context, method, at, path string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := callClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// PutConfig sends a configuration under the next version until it is acknowledged.
func (in *Installation) PutConfig(config map[string]any, within time.Duration) error {
	in.version += 3
	config["Version"] = in.version
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	status, by, err := in.call(ctx, http.MethodPut, "/parsleypulley/config", config)
	if err != nil {
		return err
	}
	in.Record.Addf("operator: configuration %d answered %d by %s", in.version, status, by)
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d: status %d", in.version, status)
	}
	return nil
}

// PutWeights names a version of a model's weights until it is acknowledged.
func (in *Installation) PutWeights(model string, version int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	status, by, err := in.call(ctx, http.MethodPost, "/parsleypulley/version-put", map[string]any{"Model": model, "Version": version})
	if err != nil {
		return err
	}
	in.Record.Addf("operator: version %d of %s answered %d by %s", version, model, status, by)
	if status != http.StatusOK {
		return fmt.Errorf("version %d: status %d", version, status)
	}
	return nil
}

// Heartbeat sends a heartbeat, or what another writer sends as one, and returns the status.
func (in *Installation) Heartbeat(id string, body map[string]any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, _, err := in.call(ctx, http.MethodPut, "/parsleypulley/instances/"+id, body)
	return status, err
}

// Limits returns the limits for callers of a configuration.
func Limits() map[string]any {
	return map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

// Main runs a case: run returns whether the rule was broken, or an error if the case could not run.
func Main(run func(record *Record, trouble bool) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		os.Exit(ExitNoRun)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNoRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.Addf("case: disruption %v", trouble)
	broken, err := run(record, trouble)
	switch {
	case err != nil:
		record.Addf("case: could not run: %v", err)
		os.Exit(ExitNoRun)
	case broken:
		record.Addf("case: the rule was broken")
		os.Exit(ExitBroken)
	}
	record.Addf("case: the rule held")
	os.Exit(ExitHeld)
}

// FollowerVM returns a VM whose control process does not lead. If there is one whose router follows the view of that
// control process, it returns that.
func (in *Installation) FollowerVM() (*VM, error) {
	var found *VM
	for _, v := range in.VMs {
		var control struct {
			Role string `json:"consensus_role"`
		}
		var router struct {
			Source string `json:"view_source"`
		}
		if err := errors.Join(metrics(v, controlMetricsPort, &control), metrics(v, routerMetricsPort, &router)); err != nil {
			return nil, err
		}
		in.Record.Addf("platform: the control process of %s is a %s, its router follows %s", v.Name, control.Role, router.Source)
		own := strings.HasPrefix(router.Source, v.IP+":")
		if control.Role == "follower" && (found == nil || own) {
			found = v
		}
	}
	if found == nil {
		return nil, errors.New("no control process follows a leader")
	}
	return found, nil
}

// LeaderVM returns the VM whose control process leads; nil if none is known to.
func (in *Installation) LeaderVM() *VM {
	for _, v := range in.VMs {
		var control struct {
			Role string `json:"consensus_role"`
		}
		if metrics(v, controlMetricsPort, &control) == nil && control.Role == "leader" {
			return v
		}
	}
	return nil
}

// metrics reads metrics of a role of a VM.
func metrics(v *VM, port int, into any) error {
	resp, err := callClient.Get("http://" + address(v.IP, port) + "/debug/vars")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// Freeze stops all processes of a VM until Wake.
func (in *Installation) Freeze(v *VM) {
	in.Record.Addf("platform: %s freezes", v.Name)
	in.frozen.Store(v)
	v.signalAll(syscall.SIGSTOP)
}

// Wake continues all processes of a VM.
func (in *Installation) Wake(v *VM) {
	in.Record.Addf("platform: %s wakes", v.Name)
	in.frozen.Store(nil)
	v.signalAll(syscall.SIGCONT)
}

func (v *VM) signalAll(s syscall.Signal) {
	for _, p := range v.Processes {
		_ = p.Signal(s) // fails only if it has ended
	}
}

// Pid returns the ID of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// FirstLeader waits until the control process of one of the VMs leads and returns that VM, with the number of voters
// then; nil if none leads within the time.
func (in *Installation) FirstLeader(vms []*VM, within time.Duration) (leader *VM, voters int) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, v := range vms {
			var control struct {
				Role   string `json:"consensus_role"`
				Voters int    `json:"consensus_voters"`
			}
			if metrics(v, controlMetricsPort, &control) == nil && control.Role == "leader" {
				return v, control.Voters
			}
		}
	}
	return nil, 0
}
