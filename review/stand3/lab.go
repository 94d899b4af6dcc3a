package main

import (
	"embed"
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
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed data
var data embed.FS

// names holds the names of the platform's protocol.
var names struct {
	RequestID, Remaining, ExpectInstance, Stamp, NotExecuted, LastEvent, Resumes, Model, TokenCount, PromptPrefix, Pieces, PieceKey, Inputs string

	Config, Instances, StageRun, StageFree, SettingsVariable, Subcommand string
}

const (
	// keeperCount keepers tolerate the loss of two.
	keeperCount = 5
	memoryMb    = 284
	clientHost  = "site.example"
)

// zones are the failure domains of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// text returns a data file with its variables filled in.
func text(file string, variables map[string]string) string {
	raw, err := data.ReadFile("data/" + file)
	if err != nil {
		panic(err)
	}
	return os.Expand(string(raw), func(name string) string {
		value, ok := variables[name]
		if !ok {
			panic(file + " has an unknown variable " + name)
		}
		return value
	})
}

// journal writes what was sent, answered and run. Its methods may be called concurrently.
type journal struct {
	began time.Time

	mu       sync.Mutex
	out      io.Writer
	breaches []string
}

func (j *journal) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.out, "%9.3f %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach notes that the rule was broken.
func (j *journal) breach(format string, args ...any) {
	j.note("BROKEN "+format, args...)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaches = append(j.breaches, fmt.Sprintf(format, args...))
}

func (j *journal) breachCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.breaches)
}

// host is one machine of the system with its process.
type host struct {
	name, ip, zone string
	keeper         bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// lab is a deployment with its stand-ins.
type lab struct {
	*journal
	binary, folder string
	trouble        bool
	keepers, edges []*host
	ports          map[string]string
	httpClient     *http.Client

	mu       sync.Mutex
	settings map[string]bool
	sequence int
	// mixed and whole count the streams with events of two versions, and those that are whole.
	mixed, whole int
}

// newLab creates a deployment of keepers and the given number of entry hosts, one after another in the zones.
func newLab(j *journal, binary, folder string, trouble bool, edges int) (*lab, error) {
	l := &lab{
		journal: j, binary: binary, folder: folder, trouble: trouble, ports: map[string]string{}, settings: map[string]bool{},
		httpClient: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	raw, err := data.ReadFile("data/names.json")
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, &names); err != nil {
		return nil, err
	}
	for i := range keeperCount + edges {
		h := &host{name: fmt.Sprint("host-", i+1), ip: fmt.Sprintf("127.83.1.%d", i+1), zone: zones[i%len(zones)], keeper: i < keeperCount}
		if h.keeper {
			l.keepers = append(l.keepers, h)
		} else {
			h.zone = zones[(i-keeperCount)%len(zones)]
			l.edges = append(l.edges, h)
		}
	}
	for _, use := range []string{"peers", "control", "front", "ready", "metrics"} {
		port, err := l.freePort()
		if err != nil {
			return nil, err
		}
		l.ports[use] = port
	}
	return l, nil
}

func (l *lab) hosts() []*host { return append(append([]*host{}, l.keepers...), l.edges...) }

// freePort returns a port that is free at the addresses of all hosts.
func (l *lab) freePort() (string, error) {
next:
	for range 100 {
		port := fmt.Sprint(20000 + rand.IntN(12000))
		for _, h := range l.hosts() {
			listener, err := net.Listen("tcp", net.JoinHostPort(h.ip, port))
			if err != nil {
				continue next
			}
			if err := listener.Close(); err != nil {
				return "", err
			}
		}
		for _, used := range l.ports {
			if used == port {
				continue next
			}
		}
		return port, nil
	}
	return "", errors.New("no free port")
}

// writeSettings writes the settings file of a host, as the platform fills in the template.
func (l *lab) writeSettings(h *host, bootstrap bool) (string, error) {
	var seeds []string
	for _, k := range l.keepers[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", k.ip+":"+l.ports["control"]))
	}
	v := map[string]string{
		"NAME": h.name, "ZONE": h.zone, "IP": h.ip, "DATA": "", "CLIENTS": "", "READY": "", "CONTROL": "",
		"PEERPORT": l.ports["peers"], "METRICSPORT": l.ports["metrics"], "SEEDS": strings.Join(seeds, ", "),
		"BOOTSTRAP": fmt.Sprint(bootstrap), "MEMORY": fmt.Sprint(memoryMb),
	}
	if h.keeper {
		v["DATA"], v["CONTROL"] = filepath.Join(l.folder, h.name), h.ip+":"+l.ports["control"]
		if err := os.MkdirAll(v["DATA"], 0o755); err != nil {
			return "", err
		}
	} else {
		v["CLIENTS"], v["READY"] = h.ip+":"+l.ports["front"], h.ip+":"+l.ports["ready"]
	}
	path := filepath.Join(l.folder, h.name+".json")
	return path, os.WriteFile(path, []byte(text("settings.json", v)), 0o644)
}

// start starts the process of a host.
func (l *lab) start(h *host, bootstrap bool) error {
	path, err := l.writeSettings(h, bootstrap)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(l.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(l.binary, names.Subcommand)
	cmd.Env = append(os.Environ(), names.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		l.note("process of %s ended: %v", h.name, err)
		close(exited)
	}()
	l.note("process of %s started", h.name)
	return nil
}

// signal sends a signal to the process of a host.
func (l *lab) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	l.note("signal %v to %s", s, h.name)
	if err := h.cmd.Process.Signal(s); err != nil {
		l.note("signal to %s: %v", h.name, err)
	}
}

// kill kills the process of a host and waits for its end.
func (l *lab) kill(h *host) {
	l.signal(h, syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// stop ends all processes.
func (l *lab) stop() {
	for _, h := range l.hosts() {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
		}
		exited := h.exited
		h.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
}

// startAll starts all processes, sends the first configuration until it is accepted, and waits until all entry hosts are ready.
func (l *lab) startAll(config string) error {
	for _, h := range l.hosts() {
		if err := l.start(h, true); err != nil {
			return err
		}
	}
	if !within(20*time.Second, func() bool { return l.putConfig(config) == http.StatusOK }) {
		return errors.New("the first configuration was not accepted")
	}
	for _, h := range l.edges {
		if !within(15*time.Second, func() bool { return l.isReady(h) }) {
			return fmt.Errorf("%s does not become ready", h.name)
		}
	}
	return nil
}

// within calls f until it returns true, and reports whether it has in time.
func within(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

func (l *lab) isReady(h *host) bool {
	response, err := l.httpClient.Get("http://" + h.ip + ":" + l.ports["ready"] + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// control sends a call to a keeper and returns the status of its answer, 0 without one.
func (l *lab) control(h *host, method, path, body string) int {
	request, err := http.NewRequest(method, "http://"+h.ip+":"+l.ports["control"]+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := l.httpClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// anyKeeper returns a keeper at random.
func (l *lab) anyKeeper() *host { return l.keepers[rand.IntN(len(l.keepers))] }

func (l *lab) putConfig(doc string) int {
	status := l.control(l.anyKeeper(), http.MethodPut, names.Config, doc)
	l.note("configuration sent, answered %d", status)
	return status
}

// newID returns the identifier of a client attempt.
func (l *lab) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), l.sequence)
}
