package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cyclamenford/bench/proxy"
)

const (
	program      = "target/cyclamenford"
	template     = "deploy/settings.json"
	graceSeconds = 8
	// keepers is the number of control hosts of a small deployment, of which tolerated may be lost at once.
	keepers, tolerated = 5, 2
	heartbeat          = 1200 * time.Millisecond
	startLimit         = 30 * time.Second
)

var (
	seedsPart   = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)
)

// host is one process of the program.
type host struct {
	name, zone, ip string
	keeper         bool
	// proxied means that the other hosts reach this one at shownIP.
	proxied  bool
	settings string
	command  *exec.Cmd
	exited   chan struct{}
	log      *os.File
}

// deployment is a set of keepers and entry hosts with the ports that they share.
type deployment struct {
	names  names
	record *record
	folder string
	// front, ready, control and peers are the ports of the listeners, the same on every host.
	front, ready, control, peers, metrics string

	hosts []*host
	// network is the proxy between the hosts, nil without one.
	network *proxy.Network
}

// newDeployment starts the hosts of a deployment and waits until all are ready.
func newDeployment(n names, r *record, entries int, proxied bool) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	d := &deployment{names: n, record: r, folder: folder}
	for i := range keepers + entries {
		h := &host{ip: fmt.Sprintf("127.0.7.%d", i+1), zone: fmt.Sprint("zone-", i%3), keeper: i < keepers}
		h.name = fmt.Sprint("core-", i)
		if !h.keeper {
			h.name = fmt.Sprint("edge-", i-keepers)
		}
		h.settings = filepath.Join(folder, h.name+".json")
		d.hosts = append(d.hosts, h)
	}
	d.choosePorts()
	if proxied {
		if err := d.addProxies(); err != nil {
			return d, err
		}
	}
	for _, h := range d.hosts {
		if err := d.writeSettings(h, true); err != nil {
			return d, err
		}
		if err := d.start(h); err != nil {
			return d, err
		}
	}
	// Hosts that start again join the deployment that exists.
	time.Sleep(time.Second)
	for _, h := range d.hosts {
		if err := d.writeSettings(h, false); err != nil {
			return d, err
		}
	}
	return d, nil
}

// shownIP returns the address at which the other hosts reach this one.
func (h *host) shownIP() string {
	if h.proxied {
		return strings.Replace(h.ip, "127.0.7.", "127.0.8.", 1)
	}
	return h.ip
}

// addProxies puts a proxy in front of the peer listener of each host.
func (d *deployment) addProxies() error {
	byIP := map[string]string{}
	for _, h := range d.hosts {
		byIP[h.ip] = h.name
	}
	d.network = proxy.New(func(ip string) string { return byIP[ip] })
	for _, h := range d.hosts {
		h.proxied = true
		if _, err := d.network.ListenAt(h.shownIP()+":"+d.peers, h.name, h.ip+":"+d.peers); err != nil {
			return fmt.Errorf("listen for %s: %w", h.name, err)
		}
	}
	return nil
}

// cut holds everything between a host and the others, or lets it pass again.
func (d *deployment) cut(h *host, on bool) {
	d.record.note("cut of %s: %v", h.name, on)
	for _, l := range []proxy.Link{{From: h.name}, {To: h.name}} {
		if on {
			d.network.SetRule(l, proxy.Rule{Hold: true})
			continue
		}
		d.network.RemoveRule(l)
	}
}

// choosePorts picks ports that are free on all hosts, below the range from which outgoing connections take theirs.
func (d *deployment) choosePorts() {
	taken := map[string]bool{}
	for _, port := range []*string{&d.front, &d.ready, &d.control, &d.peers, &d.metrics} {
		for *port == "" {
			p := strconv.Itoa(11000 + rand.IntN(18000))
			free := !taken[p]
			for _, h := range d.hosts {
				for _, ip := range []string{h.ip, strings.Replace(h.ip, "127.0.7.", "127.0.8.", 1)} {
					l, err := net.Listen("tcp", ip+":"+p)
					free = free && err == nil && l.Close() == nil
				}
			}
			if free {
				taken[p], *port = true, p
			}
		}
	}
}

// writeSettings fills in the template of the deploy file as the platform does.
func (d *deployment) writeSettings(h *host, bootstrap bool) error {
	raw, err := os.ReadFile(template)
	if err != nil {
		return fmt.Errorf("read template: %w", err)
	}
	var seeds []string
	for _, k := range d.hosts[:3] {
		seeds = append(seeds, strconv.Quote(k.shownIP()+":"+d.control))
	}
	text := seedsPart.ReplaceAllString(string(raw), strings.Join(seeds, ","))
	data := ""
	values := map[string]string{
		"{{node-name|json}}": strconv.Quote(h.name), "{{zone|json}}": strconv.Quote(h.zone), "{{ip}}": h.ip,
		"{{internal-port-range.0}}": d.peers, "{{bootstrap|json}}": strconv.FormatBool(bootstrap),
		"{{fault-tolerance.machines}}": strconv.Itoa(tolerated), "{{heartbeat-ms}}": strconv.FormatInt(heartbeat.Milliseconds(), 10),
		"{{bounds.catch-up-s}}": "4", "{{bounds.grace-s}}": strconv.Itoa(graceSeconds), "{{bounds.retry-budget-ratio}}": "0.2",
		"{{bounds.budget-slack}}": "56", "{{bounds.budget-window-s}}": "10", "{{limits.memory-mb}}": "284",
	}
	if h.keeper {
		data = filepath.Join(d.folder, h.name)
		values["{{listen.control}}"] = h.ip + ":" + d.control
		if err := os.MkdirAll(data, 0o755); err != nil {
			return fmt.Errorf("create data folder: %w", err)
		}
	} else {
		values["{{listen.front}}"], values["{{listen.ready}}"] = h.ip+":"+d.front, h.ip+":"+d.ready
	}
	values["{{data-dir}}"] = data
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[p] })
	if h.proxied {
		text = strings.Replace(text, `"Peers":`, fmt.Sprintf(`"PeersAdvertised": %q, "Peers":`, h.shownIP()+":"+d.peers), 1)
	}
	// The metrics port of the deploy file may be in use on this machine.
	text = strings.ReplaceAll(text, ":9464", ":"+d.metrics)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

func (d *deployment) start(h *host) error {
	if h.log == nil {
		f, err := os.Create(filepath.Join(d.folder, h.name+".log"))
		if err != nil {
			return fmt.Errorf("create log: %w", err)
		}
		h.log = f
	}
	h.command = exec.Command(program, "platform")
	h.command.Env = append(os.Environ(), "CYCLAMENFORD_SETTINGS="+h.settings)
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		err := c.Wait()
		d.record.note("process %s exited: %v", h.name, err)
		close(exited)
	}(h.command, h.exited)
	return nil
}

// running reports whether the process of a host has started and not exited.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (d *deployment) signal(h *host, s syscall.Signal) {
	d.record.note("signal %v to %s", s, h.name)
	if err := h.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		d.record.note("signal to %s failed: %v", h.name, err)
	}
}

// entries returns the entry hosts.
func (d *deployment) entries() []*host { return d.hosts[keepers:] }

// isReady asks an entry host for its readiness, as the platform does.
func (d *deployment) isReady(h *host) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ip + ":" + d.ready + d.names.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entry hosts are ready.
func (d *deployment) awaitReady() error {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range d.entries() {
			all = all && d.isReady(h)
		}
		if all {
			d.record.note("all entry hosts are ready")
			return nil
		}
	}
	return errors.New("the entry hosts did not become ready")
}

// close ends all processes that were started and removes the folder, which is kept if the environment names another place.
func (d *deployment) close() {
	if d.network != nil {
		d.network.RemoveAllRules()
	}
	for _, h := range d.hosts {
		if h.command != nil && h.command.Process != nil && h.running() {
			_ = h.command.Process.Signal(syscall.SIGCONT)
			_ = h.command.Process.Kill()
			<-h.exited
		}
		if h.log != nil {
			_ = h.log.Close()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(d.folder, keep)
		return
	}
	_ = os.RemoveAll(d.folder)
}
