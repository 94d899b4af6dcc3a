package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// announceInterval is the interval between two announcements of a runner.
const announceInterval = 1200 * time.Millisecond

// ownAnnouncement is the data file of a runner's announcements.
const ownAnnouncement = "announcement.json"

// exchange is a request at a runner.
type exchange struct {
	runner *runner
	conn   net.Conn
	id     string
	*http.Request
	body string
}

// runner is a server that announces itself to the keepers and serves requests on a socket of its own.
type runner struct {
	lab                        *lab
	id, service, zone, version string
	ip, address                string
	slots                      int
	// serve answers a request, and reports whether the connection may carry another one.
	serve func(x *exchange) bool

	mu       sync.Mutex
	listener *net.TCPListener
	conns    map[net.Conn]bool
	born     int64
	seq      int
	// silent means that the runner goes on with nothing for a while.
	silent bool
	// dark means that the runner is silent until its incarnation ends.
	dark    bool
	stopped chan struct{}
}

// start starts an incarnation of the runner.
func (r *runner) start() error {
	var listening net.ListenConfig
	// A multipath socket takes no filter.
	listening.SetMultipathTCP(false)
	if r.address == "" {
		r.address = r.ip + ":0"
	}
	l, err := listening.Listen(context.Background(), "tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.address, r.conns = l.(*net.TCPListener), l.Addr().String(), map[net.Conn]bool{}
	r.born, r.seq, r.stopped, r.dark = time.Now().UnixMilli(), 0, make(chan struct{}), false
	stopped := r.stopped
	r.mu.Unlock()
	go r.accept(l)
	go r.announceUntil(stopped)
	r.lab.note("runner %s of %s started at %s", r.id, r.service, r.address)
	return nil
}

// goDark makes the incarnation silent: it answers nothing, takes no new connections, and announces itself no more.
func (r *runner) goDark() error {
	r.lab.note("runner %s goes dark", r.id)
	r.mu.Lock()
	r.dark = true
	r.mu.Unlock()
	return r.filter(func(fd int) error { return drop(fd, "") })
}

func (r *runner) setSilent(on bool) {
	r.lab.note("runner %s is silent: %t", r.id, on)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
}

func (r *runner) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

func (r *runner) isDark() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dark
}

// crash ends the incarnation.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lab.note("runner %s crashes", r.id)
	close(r.stopped)
	_ = r.listener.Close()
	for c := range r.conns {
		reset(c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.lab.note("accept at %s: %v", r.id, err)
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serveConn(c)
	}
}

func (r *runner) serveConn(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		x := &exchange{runner: r, conn: c, id: request.Header.Get(names.RequestID), Request: request, body: string(body)}
		if expected := request.Header.Get(names.ExpectInstance); expected != "" && expected != r.id {
			x.write("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, x.id, names.NotExecuted)
			continue
		}
		r.lab.note("run %s at %s from %s: %s %s", x.id, r.id, remoteIP(c), request.Method, request.RequestURI)
		if !r.serve(x) {
			return
		}
	}
}

func remoteIP(c net.Conn) string {
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return ip
}

// write writes to the caller and reports whether that was possible.
func (x *exchange) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(x.conn, format, args...)
	return err == nil
}

// stamp returns the runner's signature of its answer.
func (x *exchange) stamp() string { return "stamp." + x.runner.id + "." + x.id }

// announceUntil announces the incarnation until it ends.
func (r *runner) announceUntil(stopped <-chan struct{}) {
	for {
		status := http.StatusOK
		if !r.isDark() {
			status = r.announce(ownAnnouncement)
		}
		wait := announceInterval
		if status != http.StatusOK {
			wait = 100 * time.Millisecond
		}
		select {
		case <-stopped:
			return
		case <-time.After(wait):
		}
	}
}

// announce sends the runner's next announcement.
func (r *runner) announce(file string) int {
	r.mu.Lock()
	r.seq++
	seq := r.seq
	r.mu.Unlock()
	return r.send(file, seq)
}

// send sends an announcement made from a data file.
func (r *runner) send(file string, seq int) int {
	r.mu.Lock()
	body := text(file, map[string]string{
		"SERVICE": r.service, "ADDRESS": r.address, "ZONE": r.zone, "VERSION": r.version, "SLOTS": fmt.Sprint(r.slots), "STATE": "ready",
		"SEQ": fmt.Sprint(seq), "BORN": fmt.Sprint(r.born),
	})
	r.mu.Unlock()
	status := r.lab.control(r.lab.anyKeeper(), http.MethodPut, names.Instances+r.id, strings.TrimSpace(body))
	if file != ownAnnouncement {
		r.lab.note("announcement %s answered %d", strings.TrimSpace(body), status)
	}
	return status
}

// cutFrom cuts the runner from a machine: new connections hang, and the open ones are reset. An empty address ends the cut.
func (r *runner) cutFrom(ip string) error {
	err := r.filter(func(fd int) error {
		if ip == "" {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		}
		return drop(fd, ip)
	})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if ip != "" && remoteIP(c) == ip {
			reset(c)
		}
	}
	return nil
}

// filter calls set for the listening socket.
func (r *runner) filter(set func(fd int) error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { setErr = set(int(fd)) })
	if err := errors.Join(err, setErr); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	return nil
}

// drop makes a listening socket drop the packets of one IPv4 address, or of all if it is empty.
func drop(fd int, ip string) error {
	// sourceOffset is the place of the source address in the IP header, counted from the value that stands for the header's begin.
	const networkHeader, sourceOffset = 0xfff00000, 12
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	if ip != "" {
		program = []unix.SockFilter{
			{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: networkHeader + sourceOffset},
			{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: binary.BigEndian.Uint32(net.ParseIP(ip).To4()), Jt: 0, Jf: 1},
			{Code: unix.BPF_RET | unix.BPF_K, K: 0},
			{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
		}
	}
	return unix.SetsockoptSockFprog(fd, syscall.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
