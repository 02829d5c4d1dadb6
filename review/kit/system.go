// Package kit runs a small installation of the platform's program as separate processes on
// loopback, and plays the platform around it: operators, backend servers and callers. It is
// used by the cases of the review only.
package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site clamp-check, as its settings file names them.
const (
	HeartbeatInterval = 1200 * time.Millisecond
	Contact           = 3 * time.Second
	Drain             = 2 * time.Second
	Apply             = 2 * time.Second
	Recover           = 12 * time.Second
)

// Ports, the same on all VMs.
const (
	frontPort, readyPort, controlPort = 8782, 8789, 8783
	linkPort                          = 7340
	controlAdminPort                  = 9465
	routerAdminPort                   = 9464
)

// maxRun bounds the run of a case.
const maxRun = 110 * time.Second

// Record is the protocol of a run: what was sent, answered and run.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

// Log writes one line with the time since the start of the run.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// System is an installation.
type System struct {
	*Record
	// Trouble is false if the run must do without the disruption.
	Trouble bool
	VMs     []*VM

	dir, subnet, program string
	reserved             net.Listener

	mu        sync.Mutex
	processes []*Process
}

// VM is a VM with a router and a control process.
type VM struct {
	Name, Zone, IP string
	// Disk is set if the control process has a data folder, and so keeps a replica.
	Disk            bool
	Control, Router *Process

	data string
}

// Process is one process of the installation.
type Process struct {
	system *System
	name   string
	args   []string
	env    []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Open prepares an installation with the given numbers of VMs with and without a disk, and
// starts nothing. The record is written to record.txt in the folder of the case.
func Open(caseDir string, disks, thin int) *System {
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		Unable("%v", err)
	}
	s := &System{Record: &Record{start: time.Now(), file: file}, Trouble: os.Getenv("TROUBLE") != "0"}
	s.program = os.Getenv("PARSLEYPULLEY_VM")
	if _, err := os.Stat(s.program); err != nil {
		Unable("the program of the deploy file is missing: %v", err)
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		Unable("%v", err)
	}
	s.reserve()
	zones := []string{"punjab-a", "punjab-b", "punjab-c", "punjab-d"}
	for i := range disks + thin {
		n := i
		if i >= disks {
			n = i - disks
		}
		vm := &VM{Zone: zones[n%len(zones)], IP: fmt.Sprint(s.subnet, 10+i), Disk: i < disks}
		vm.Name = fmt.Sprintf("front-%s-%d", vm.Zone, i+1)
		if vm.Disk {
			vm.data = filepath.Join(s.dir, vm.Name)
		}
		s.VMs = append(s.VMs, vm)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; s.Finish(2, "the run was ended from outside") }()
	time.AfterFunc(maxRun, func() { s.Finish(2, "the run took too long") })
	s.Log("trouble: %v", s.Trouble)
	return s
}

// reserve finds addresses on loopback that nobody else uses, and keeps them by a listener.
func (s *System) reserve() {
	for range 200 {
		subnet := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
		ln, err := net.Listen("tcp", fmt.Sprint(subnet, 2, ":", linkPort))
		if err != nil {
			continue
		}
		probe, err := net.Listen("tcp", fmt.Sprint(subnet, 10, ":", linkPort))
		if err != nil {
			ln.Close()
			continue
		}
		probe.Close()
		s.subnet, s.reserved = subnet, ln
		return
	}
	Unable("no free addresses")
}

// Seeds returns the control addresses of the first three VMs with a disk.
func (s *System) Seeds() []string {
	var out []string
	for _, vm := range s.VMs {
		if vm.Disk && len(out) < 3 {
			out = append(out, fmt.Sprint(vm.IP, ":", controlPort))
		}
	}
	return out
}

// StartVM starts the processes of a VM with the commands of deploy/system.toml.
func (s *System) StartVM(vm *VM, bootstrap bool) {
	settings := filepath.Join(s.dir, vm.Name+".json")
	body, _ := json.Marshal(map[string]any{"NodeName": vm.Name, "Ip": vm.IP, "Zone": vm.Zone, "Seeds": s.Seeds(), "Bootstrap": bootstrap})
	if err := os.WriteFile(settings, body, 0o600); err != nil {
		Unable("%v", err)
	}
	common := []string{"--name=" + vm.Name, "--domain=" + vm.Zone, "--ip=" + vm.IP, "--seeds=" + strings.Join(s.Seeds(), ","), fmt.Sprint("--ports=", linkPort), "--memory=134"}
	control := append([]string{"control"}, common...)
	control = append(control, fmt.Sprintf("--listen=%s:%d", vm.IP, controlPort), "--data="+vm.data, fmt.Sprint("--bootstrap=", bootstrap), "--tolerated-losses=1", "--grace-s=8", "--lease-ms=3000",
		"--heartbeat-ms=1200", "--quota-window-s=0", "--quota-over=0", "--quota-slack=0", fmt.Sprint("--admin=", controlAdminPort))
	router := append([]string{"router"}, common...)
	router = append(router, fmt.Sprintf("--front=%s:%d", vm.IP, frontPort), fmt.Sprintf("--ready=%s:%d", vm.IP, readyPort), "--grace-s=8", "--revoke-ms=5000", "--weights-ms=8000", "--retry-ratio=0.2",
		"--retry-extra=116", "--retry-window-s=10", "--max-files=4100", fmt.Sprint("--admin=", routerAdminPort))
	env := []string{"PARSLEYPULLEY_SETTINGS=" + settings}
	vm.Control = s.start(vm.Name+" control", control, env)
	vm.Router = s.start(vm.Name+" router", router, env)
	s.Log("%s starts at %s, disk %v, bootstrap %v", vm.Name, vm.IP, vm.Disk, bootstrap)
}

// StartAll starts all VMs within 0.3 s, as the whole installation is started.
func (s *System) StartAll() {
	for _, vm := range s.VMs {
		s.StartVM(vm, true)
	}
}

// WipeDisk removes the data folder of a VM whose processes have ended.
func (s *System) WipeDisk(vm *VM) {
	if err := os.RemoveAll(vm.data); err != nil {
		Unable("%v", err)
	}
	s.Log("%s has lost its disk", vm.Name)
}

func (s *System) start(name string, args, env []string) *Process {
	p := &Process{system: s, name: name, args: args, env: env}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	p.Start()
	return p
}

// Start starts the process.
func (p *Process) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.system.dir, strings.ReplaceAll(p.name, " ", "-")+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Unable("%v", err)
	}
	defer out.Close()
	cmd := exec.Command(p.system.program, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), p.env...)
	if err := cmd.Start(); err != nil {
		Unable("start %s: %v", p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal)
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Finish ends all processes and exits.
func (s *System) Finish(code int, format string, args ...any) {
	s.Log("result %d: %s", code, fmt.Sprintf(format, args...))
	fmt.Printf("result %d: %s\n", code, fmt.Sprintf(format, args...))
	s.mu.Lock()
	for _, p := range s.processes {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
	os.Exit(code)
}

// Unable reports that a case can't run.
func Unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	os.Exit(2)
}

// Await waits until ok returns true; the case can't run if that takes too long.
func (s *System) Await(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.Finish(2, "not in time: %s", what)
		}
	}
}

// SaveTo copies the logs of the processes to w, for a look at a failed run.
func (s *System) SaveTo(w io.Writer) {
	names, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, name := range names {
		text, _ := os.ReadFile(name)
		fmt.Fprintf(w, "== %s\n%s", filepath.Base(name), text)
	}
}
