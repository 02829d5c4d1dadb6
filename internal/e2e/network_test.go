package e2e

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// network proxies the connections between the processes of an installation and
// injects faults. Traffic between two processes can be blocked in one direction or
// both, delayed, and reset. Blocked bytes are held back until the fault ends, and
// the connections stay open, so that the processes get no error.
type network struct {
	t *testing.T
	// clientOf returns the name of the process that has opened an accepted connection.
	clientOf func(net.Conn) string

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

func newNetwork(t *testing.T, clientOf func(net.Conn) string) *network {
	n := &network{t: t, clientOf: clientOf, changed: make(chan struct{}), conns: map[net.Conn]string{}}
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
	from := n.clientOf(in)
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

// clientOf returns the name of the process that has opened an accepted connection, or "" when
// it is none of the installation's, or has closed the connection.
func (in *installation) clientOf(conn net.Conn) string {
	inode, err := clientInode(conn)
	if err != nil {
		in.t.Errorf("client of a proxied connection not found: %v", err)
	}
	if inode == 0 {
		return ""
	}
	link := fmt.Sprintf("socket:[%d]", inode)
	in.mu.Lock()
	defer in.mu.Unlock()
	for name, p := range in.processes {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd/", p.cmd.Process.Pid)
		files, _ := os.ReadDir(dir)
		for _, file := range files {
			if target, _ := os.Readlink(dir + file.Name()); target == link {
				return name
			}
		}
	}
	return ""
}

// clientInode returns the inode of the client's socket of an accepted IPv4 connection from
// this machine, or 0 when the socket is closed. It asks the kernel for this one socket (see
// sock_diag(7)). Reading /proc/net/tcp instead took seconds per connection on a busy machine
// with tens of thousands of sockets in TIME_WAIT, left by earlier tests, and the port alone
// does not identify a connection: connections to different addresses may share it.
func clientInode(conn net.Conn) (uint32, error) {
	const (
		sockDiagByFamily = 20
		headerLength     = syscall.SizeofNlMsghdr
		requestLength    = headerLength + 56 // struct inet_diag_req_v2
		idOffset         = headerLength + 8  // of its field id
		inodeOffset      = headerLength + 68 // of idiag_inode in struct inet_diag_msg
	)
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, syscall.NETLINK_INET_DIAG)
	if err != nil {
		return 0, fmt.Errorf("open a socket: %w", err)
	}
	defer syscall.Close(fd)
	client, server := conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr)
	native := binary.NativeEndian
	request := make([]byte, requestLength)
	native.PutUint32(request, requestLength)
	native.PutUint16(request[4:], sockDiagByFamily)
	native.PutUint16(request[6:], syscall.NLM_F_REQUEST)
	request[headerLength], request[headerLength+1] = syscall.AF_INET, syscall.IPPROTO_TCP
	id := request[idOffset:]
	binary.BigEndian.PutUint16(id, uint16(client.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(server.Port))
	copy(id[4:8], client.IP.To4())
	copy(id[20:24], server.IP.To4())
	native.PutUint64(id[40:], math.MaxUint64) // any socket, no cookie
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	reply := make([]byte, os.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, reply, 0)
	switch {
	case err != nil:
		return 0, fmt.Errorf("reply: %w", err)
	case n >= headerLength+4 && native.Uint16(reply[4:]) == syscall.NLMSG_ERROR:
		if errno := syscall.Errno(-int32(native.Uint32(reply[headerLength:]))); errno != syscall.ENOENT {
			return 0, fmt.Errorf("reply: %w", errno)
		}
		return 0, nil
	case n < inodeOffset+4:
		return 0, fmt.Errorf("reply of %d bytes", n)
	}
	return native.Uint32(reply[inodeOffset:]), nil
}

// Faults must affect exactly the connections between the processes they name. A lookup by the
// client's port alone finds another process's connection where two share a port.
func TestClientOfAConnectionThatSharesItsPort(t *testing.T) {
	local := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}
	dialer := net.Dialer{LocalAddr: local, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		}); err != nil {
			return err
		}
		return failed
	}}
	for range 8 {
		ln, err := net.Listen("tcp", freeAddress(t))
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		client, err := dialer.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		local.Port = client.LocalAddr().(*net.TCPAddr).Port
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		file, err := client.(*net.TCPConn).File()
		if err != nil {
			t.Fatal(err)
		}
		var want syscall.Stat_t
		err = syscall.Fstat(int(file.Fd()), &want)
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := clientInode(accepted); err != nil || uint64(got) != want.Ino {
			t.Errorf("inode %d, error %v; want inode %d", got, err, want.Ino)
		}
	}
}
