// Package kit2 runs a small deployment of the users' platform on loopback addresses: the
// project's own program as separate processes, and stand-ins for runners, clients and the
// operator that follow the pages.
package kit2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the sheet of clamp-check gives them.
const (
	GraceS      = 8
	RevokeMs    = 5000
	VersionMs   = 8000
	LeaseMs     = 3000
	HeartbeatMs = 1200
	DrainMs     = 2000
	ContactMs   = 3000
	ApplyMs     = 2000
	BudgetRatio = 0.2
	WindowS     = 10
	Extra       = 116
)

// Ports of the listeners, the same on all machines.
const (
	frontPort   = 18782
	readyPort   = 18789
	controlPort = 18783
	firstPort   = 17340
)

// Program is the program of the platform, built with the build line of the deploy file.
const Program = "target/parsleypulley-vm"

// Record is the record of a run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

// NewRecord returns a record that is written to the file name.
func NewRecord(name string) (*Record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &Record{out: f, began: time.Now()}, nil
}

// Add writes a line with the time since the begin of the run.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Fleet is a running deployment.
type Fleet struct {
	Record *Record
	// Machines are the IP numbers of the front machines. Each has a router and a control process.
	Machines []string
	// Net is the network of the deployment, a.b.c. of a loopback address.
	Net string

	options Options
	dir     string

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	bootstrap bool
}

// Options describe a deployment.
type Options struct {
	// Disks and Diskless are the numbers of front machines with and without a disk. Those with a disk
	// come first.
	Disks, Diskless int
	// Memory is the limit of a process in MB.
	Memory int
	// Seeds are the machines whose addresses the settings name; nil stands for the first three.
	Seeds []int
}

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// Main plays a case in a new deployment and ends the process: with 0 if the rule held, 1 if it was broken,
// and 2 if the case couldn't run. The first argument is the file for the record. play returns the first two.
func Main(options Options, play func(f *Fleet) (int, error)) {
	if len(os.Args) < 2 {
		fmt.Println("usage: COMMAND RECORD")
		os.Exit(2)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	f, err := Start(record, options)
	code := 2
	if err == nil {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		go func() {
			select {
			case <-signals:
			case <-time.After(limit):
			}
			f.Stop()
			os.Exit(2)
		}()
		code, err = play(f)
		f.Stop()
	}
	if err != nil {
		code = 2
		record.Add("can't run: %v", err)
		fmt.Println("can't run:", err)
	}
	os.Exit(code)
}

// Start starts a deployment.
func Start(record *Record, options Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "parsleypulley-review-")
	if err != nil {
		return nil, err
	}
	if options.Seeds == nil {
		options.Seeds = []int{0, 1, 2}
	}
	f := &Fleet{Record: record, options: options, dir: dir, processes: map[string]*exec.Cmd{}, bootstrap: true}
	if err := f.chooseNet(options.Disks + options.Diskless); err != nil {
		return nil, err
	}
	for i := range f.Machines {
		for _, role := range []string{"control", "router"} {
			if err := f.StartProcess(role, i); err != nil {
				f.Stop()
				return nil, err
			}
		}
	}
	f.bootstrap = false
	return f, nil
}

// chooseNet looks for a loopback network on which the ports are free.
func (f *Fleet) chooseNet(n int) error {
	for range 50 {
		f.Net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		f.Machines = nil
		for i := range n {
			f.Machines = append(f.Machines, fmt.Sprint(f.Net, 10+i))
		}
		ln, err := net.Listen("tcp", net.JoinHostPort(f.Machines[0], fmt.Sprint(frontPort)))
		if err == nil {
			return ln.Close()
		}
	}
	return fmt.Errorf("no free loopback network")
}

func (f *Fleet) seeds() string {
	var seeds []string
	for _, machine := range f.options.Seeds {
		seeds = append(seeds, f.ControlAddress(machine))
	}
	return strings.Join(seeds, ",")
}

// StartProcess starts a process of a machine with the command of the deploy file.
func (f *Fleet) StartProcess(role string, machine int) error {
	ip, name := f.Machines[machine], fmt.Sprintf("front-%d", machine+1)
	data := ""
	if machine < f.options.Disks {
		data = filepath.Join(f.dir, name, "data")
	}
	common := []string{role, "--name=" + name, "--domain=zone-" + string(rune('a'+machine)), "--ip=" + ip, "--seeds=" + f.seeds(),
		fmt.Sprintf("--ports=%d", firstPort), fmt.Sprintf("--memory=%d", f.options.Memory), fmt.Sprintf("--grace-s=%d", GraceS), fmt.Sprintf("--weights-ms=%d", VersionMs)}
	switch role {
	case "control":
		common = append(common, fmt.Sprintf("--listen=%s:%d", ip, controlPort), "--data="+data, fmt.Sprintf("--bootstrap=%v", f.bootstrap), "--tolerated-losses=1",
			fmt.Sprintf("--lease-ms=%d", LeaseMs), fmt.Sprintf("--heartbeat-ms=%d", HeartbeatMs), "--quota-window-s=0", "--quota-over=0", "--quota-slack=0", "--admin=9465")
	case "router":
		common = append(common, fmt.Sprintf("--front=%s:%d", ip, frontPort), fmt.Sprintf("--ready=%s:%d", ip, readyPort), fmt.Sprintf("--revoke-ms=%d", RevokeMs),
			fmt.Sprintf("--retry-ratio=%v", BudgetRatio), fmt.Sprintf("--retry-extra=%d", Extra), fmt.Sprintf("--retry-window-s=%d", WindowS), "--max-files=2870", "--admin=9464")
	}
	log, err := os.OpenFile(filepath.Join(f.dir, role+"-"+name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	settings := filepath.Join(f.dir, name+".json")
	document, err := json.Marshal(map[string]any{"NodeName": name, "Ip": ip, "Seeds": strings.Split(f.seeds(), ",")})
	if err != nil {
		return err
	}
	if err := os.WriteFile(settings, document, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(Program, common...)
	cmd.Env = append(os.Environ(), "PARSLEYPULLEY_SETTINGS="+settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.processes[role+"-"+name] = cmd
	f.mu.Unlock()
	f.Record.Add("platform: %s of %s started", role, name)
	return nil
}

// Process returns the process of a role on a machine.
func (f *Fleet) Process(role string, machine int) *exec.Cmd {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[fmt.Sprintf("%s-front-%d", role, machine+1)]
}

// Stop ends all processes and removes the temporary folder.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cmd := range f.processes {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// Front returns the address for clients of a machine.
func (f *Fleet) Front(machine int) string {
	return fmt.Sprintf("%s:%d", f.Machines[machine], frontPort)
}

// ControlAddress returns the address for operators and runners of a machine.
func (f *Fleet) ControlAddress(machine int) string {
	return fmt.Sprintf("%s:%d", f.Machines[machine], controlPort)
}

// Call calls control at a machine and returns the status; 0 if there was no response within a second.
func (f *Fleet) Call(method string, machine int, path string, body any) int {
	document, ok := body.([]byte)
	if !ok && body != nil {
		document, _ = json.Marshal(body) // messages of this package can be encoded
	}
	req, err := http.NewRequest(method, "http://"+f.ControlAddress(machine)+path, bytes.NewReader(document))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Configure sends a configuration to one machine after another until it is acknowledged.
func (f *Fleet) Configure(config any) error {
	for i, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		status := f.Call(http.MethodPut, i%len(f.Machines), "/parsleypulley/config", config)
		if status == http.StatusOK {
			f.Record.Add("operator: the configuration is acknowledged")
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("the configuration is refused")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the configuration is not acknowledged")
}

// AwaitReady waits until all routers report that they are ready.
func (f *Fleet) AwaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, ip := range f.Machines {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/parsleypulley/readiness", ip, readyPort))
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.Machines) {
			return nil
		}
	}
	return fmt.Errorf("the routers are not ready")
}
