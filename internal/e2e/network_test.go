package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// network proxies the connections between the processes of an installation and
// injects faults. Traffic between two processes can be blocked in one direction or
// both, delayed, and reset. Blocked bytes are held back until the fault ends, and
// the connections stay open, so that the processes get no error.
type network struct {
	t *testing.T
	// owner returns the name of the process that holds a local TCP port.
	owner func(port int) string

	mu sync.Mutex
	// changed is closed and replaced whenever blocked traffic may be allowed again.
	changed chan struct{}
	// cutPair is the pair function of cut, or nil.
	cutPair func(a, b string) bool
	faults  []*linkFault
	// conns holds the open connections with the names of their two processes.
	conns  map[net.Conn]string
	closed bool
}

// linkFault blocks or delays the bytes that one process sends to another.
type linkFault struct {
	affects func(from, to string) bool
	// delay is the delay of the bytes; 0 blocks them until the fault ends.
	delay time.Duration
}

func newNetwork(t *testing.T, owner func(port int) string) *network {
	n := &network{t: t, owner: owner, changed: make(chan struct{}), conns: map[net.Conn]string{}}
	t.Cleanup(func() { n.setCut(true, nil) })
	return n
}

// setCut replaces cutPair and releases the traffic that waits. closed ends all waits
// at the end of the test.
func (n *network) setCut(closed bool, pair func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed, n.cutPair = closed, pair
	close(n.changed)
	n.changed = make(chan struct{})
}

// addFault starts a fault, which lasts until removeFault.
func (n *network) addFault(f *linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = append(n.faults, f)
}

func (n *network) removeFault(f *linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = slices.DeleteFunc(n.faults, func(g *linkFault) bool { return g == f })
	close(n.changed)
	n.changed = make(chan struct{})
}

// reset resets all connections of a process with a TCP RST.
func (n *network) reset(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn, processes := range n.conns {
		if strings.Contains(processes, name) {
			_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed already
			conn.Close()
		}
	}
}

func (n *network) track(conn net.Conn, processes string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[conn] = processes
}

func (n *network) untrack(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

// waitToSend waits until process a may send to process b, and returns true. It
// returns false at the end of the test.
func (n *network) waitToSend(a, b string) bool {
	for {
		n.mu.Lock()
		blocked := n.cutPair != nil && (n.cutPair(a, b) || n.cutPair(b, a))
		delay := time.Duration(0)
		for _, f := range n.faults {
			if f.affects(a, b) {
				blocked = blocked || f.delay == 0
				delay += f.delay
			}
		}
		closed, changed := n.closed, n.changed
		n.mu.Unlock()
		if closed || !blocked {
			if delay > 0 {
				time.Sleep(delay)
			}
			return !closed
		}
		<-changed
	}
}

// forward listens on a free port and proxies connections to address, at which the
// process called name listens. It returns the address of the port.
func (n *network) forward(name, address string) string {
	ln, err := net.Listen("tcp", freeAddress(n.t))
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go n.proxy(conn, name, address)
		}
	}()
	return ln.Addr().String()
}

// proxy connects an accepted connection with the process called name at address.
func (n *network) proxy(in net.Conn, name, address string) {
	from := n.owner(in.RemoteAddr().(*net.TCPAddr).Port)
	if !n.waitToSend(from, name) {
		in.Close()
		return
	}
	out, err := net.Dial("tcp", address)
	if err != nil {
		in.Close()
		return
	}
	for _, conn := range []net.Conn{in, out} {
		n.track(conn, from+" "+name)
		defer n.untrack(conn)
	}
	var both sync.WaitGroup
	both.Go(func() { n.copyBytes(in, out, name, from) })
	both.Go(func() { n.copyBytes(out, in, from, name) })
	both.Wait()
}

// copyBytes copies the bytes that process a sends to process b: it reads them from the
// connection "from" and writes them to the connection "to", until "from" is closed. A
// cut delays the close of "to" as well.
func (n *network) copyBytes(to, from net.Conn, a, b string) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		read, err := from.Read(buf)
		if !n.waitToSend(a, b) || err != nil {
			return
		}
		if _, err := to.Write(buf[:read]); err != nil {
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// portOwner returns the name of the process that has a connection at a local port, or
// "" when there is none.
func (in *installation) portOwner(port int) string {
	inode := socketInode(port)
	in.mu.Lock()
	defer in.mu.Unlock()
	for name, p := range in.processes {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd/", p.cmd.Process.Pid)
		files, _ := os.ReadDir(dir)
		for _, file := range files {
			if target, _ := os.Readlink(dir + file.Name()); target == "socket:["+inode+"]" {
				return name
			}
		}
	}
	return ""
}

// socketInode returns the inode of the connected socket at a loopback port, from
// /proc/net/tcp.
func socketInode(port int) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	local := fmt.Sprintf("0100007F:%04X", port)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == local && fields[3] == "01" {
			return fields[9]
		}
	}
	return ""
}
