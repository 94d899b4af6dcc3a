package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// keeperCount and entryCount are the machines of a small deployment, and memoryMb the memory of each.
	keeperCount, entryCount, memoryMb = 5, 2, 280
	faultTolerance                    = 2
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 500 * time.Millisecond
	// excusedTime is how long after a disruption the end of a process is put down to it.
	excusedTime = time.Second
	// memoryInterval is the time between two looks at the memory of the processes.
	memoryInterval = 10 * time.Millisecond
	program        = "target/cyclamenford"
)

// zones are the zones over which the machines are spread.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// ports are the ports that all machines use.
type ports struct{ front, ready, control, peers, metrics int }

// deployment is a set of machines on loopback addresses, one process each.
type deployment struct {
	trouble bool
	folder  string
	began   time.Time
	ports   ports
	keepers []*machine
	entries []*machine

	mu     sync.Mutex
	out    *os.File
	leader *machine
	term   float64
}

// machine is one host of the deployment.
type machine struct {
	d            *deployment
	name, ip     string
	zone, folder string
	keeper       bool
	bootstrap    bool

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// frozen means that the process is stopped, and stays that a process that ends is not started again. thawedAt is when the process was
	// last continued.
	frozen, stays bool
	thawedAt      time.Time
	// over counts how often the process used more memory than the machine has, with no disruption there.
	over   int
	peakMb int
}

// newDeployment prepares the machines, without starting them. The record goes into a folder.
func newDeployment(folder string, trouble bool) (*deployment, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{trouble: trouble, folder: temporary, began: time.Now(), out: out}
	for _, p := range []*int{&d.ports.front, &d.ports.ready, &d.ports.control, &d.ports.peers, &d.ports.metrics} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	for i := range keeperCount {
		d.keepers = append(d.keepers, d.newMachine(fmt.Sprint("core-", i+1), fmt.Sprintf("127.0.77.%d", i+1), i, true))
	}
	for i := range entryCount {
		d.entries = append(d.entries, d.newMachine(fmt.Sprint("edge-", i+1), fmt.Sprintf("127.0.77.%d", i+101), i, false))
	}
	d.record("trouble: %v", trouble)
	return d, nil
}

func (d *deployment) newMachine(name, ip string, number int, keeper bool) *machine {
	return &machine{
		d: d, name: name, ip: ip, zone: zones[number%len(zones)], folder: filepath.Join(d.folder, name), keeper: keeper, bootstrap: true,
	}
}

// freePort returns a port that is free now.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.77.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// record writes a line to the record.
func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The record is for readers; the verdict does not depend on it.
	_, _ = fmt.Fprintf(d.out, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, m := range append(d.entries, d.keepers...) {
		m.end(false)
	}
	// The folder is temporary, so that a rest does no harm.
	_ = os.RemoveAll(d.folder)
	_ = d.out.Close()
}

// startAll starts all machines at once.
func (d *deployment) startAll() error {
	for _, m := range append(d.keepers, d.entries...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// leading returns the machine that was last heard to lead, or nil.
func (d *deployment) leading() *machine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader
}

// settings returns the settings file of the machine, as the template of the deploy folder renders it.
func (m *machine) settings() ([]byte, error) {
	p := m.d.ports
	at := func(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }
	listeners := map[string]string{"Clients": "", "Ready": "", "Control": "", "Peers": at(p.peers), "Metrics": at(p.metrics)}
	folder := ""
	if m.keeper {
		listeners["Control"], folder = at(p.control), m.folder
	} else {
		listeners["Clients"], listeners["Ready"] = at(p.front), at(p.ready)
	}
	var seeds []string
	for _, k := range m.d.keepers[:3] {
		seeds = append(seeds, net.JoinHostPort(k.ip, strconv.Itoa(p.control)))
	}
	return json.MarshalIndent(map[string]any{
		"Host":      map[string]string{"ID": m.name, "FailureDomain": m.zone, "DataFolder": folder},
		"Listeners": listeners, "Seeds": seeds, "PeerPort": p.peers, "Bootstrap": m.bootstrap, "FailureDomains": zones,
		"FaultTolerance": faultTolerance, "AnnounceEveryMs": 1200, "Keepers": map[string]int{"CatchUpSeconds": 4}, "GraceSeconds": 8,
		"Retries":  map[string]float64{"Ratio": 0.2, "Slack": 56, "WindowSeconds": 10},
		"MemoryMb": memoryMb, "Keys": map[string]string{"Cluster": "a closed network"},
	}, "", "  ")
}

// start starts the process of the machine, which has one core.
func (m *machine) start() error {
	raw, err := m.settings()
	if err != nil {
		return err
	}
	path := m.folder + ".json"
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	c := exec.Command(program, names.Command)
	c.Env = append(os.Environ(), names.SettingsVariable+"="+path, "GOMAXPROCS=1")
	c.Stderr = io.Discard
	logs, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.frozen = c, ended, false
	m.mu.Unlock()
	m.d.record("%s started, bootstrap %v", m.name, m.bootstrap)
	go m.watchLogs(logs)
	go m.watchMemory(c.Process.Pid, ended)
	go func() {
		err := c.Wait()
		close(ended)
		m.d.record("%s ended: %v", m.name, err)
		time.Sleep(restartDelay)
		m.mu.Lock()
		again := !m.stays
		m.mu.Unlock()
		if again {
			if err := m.start(); err != nil {
				m.d.record("%s not started again: %v", m.name, err)
			}
		}
	}()
	return nil
}

// watchLogs follows which keeper leads, and copies warnings and errors to the record.
func (m *machine) watchLogs(logs io.Reader) {
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Msg, Level string
			Term       float64
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if strings.HasPrefix(line.Msg, "assigner started") {
			m.d.mu.Lock()
			if line.Term > m.d.term {
				m.d.leader, m.d.term = m, line.Term
			}
			m.d.mu.Unlock()
			m.d.record("%s leads", m.name)
		}
		if line.Level == "ERROR" {
			m.d.record("%s logs: %.300s", m.name, lines.Text())
		}
	}
}

// watchMemory does what the platform does to a process that uses more memory than its machine has: it kills it.
func (m *machine) watchMemory(pid int, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryInterval):
		}
		mb := residentMb(pid)
		m.mu.Lock()
		m.peakMb = max(m.peakMb, mb)
		exceeds := mb > memoryMb && !m.frozen
		disturbed := time.Since(m.thawedAt) < excusedTime
		if exceeds && !disturbed {
			m.over++
		}
		m.mu.Unlock()
		if exceeds {
			m.d.record("%s uses %d MB of %d MB, disturbed %v: the platform kills it", m.name, mb, memoryMb, disturbed)
			// It fails only if the process has ended meanwhile.
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// residentMb returns the resident memory of a process, 0 if it has ended.
func residentMb(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frozen = s == syscall.SIGSTOP
	if s == syscall.SIGCONT {
		m.thawedAt = time.Now()
	}
	if m.process != nil {
		// It fails only if the process has ended.
		_ = m.process.Process.Signal(s)
	}
	m.d.record("%s gets %v", m.name, s)
}

// end kills the process and waits for its end. The platform starts it again if again is set.
func (m *machine) end(again bool) {
	m.mu.Lock()
	m.stays = !again
	process, ended := m.process, m.ended
	m.mu.Unlock()
	if process == nil {
		return
	}
	// It fails only if the process has ended.
	_ = process.Process.Kill()
	<-ended
}
