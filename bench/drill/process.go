package drill

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cyclamenford/setup"
)

// process is one host as a real process.
type process struct {
	binary   string
	file     string
	folder   string
	settings setup.Settings

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// newProcess writes the settings file of a host.
func newProcess(binary, folder string, s setup.Settings) (*process, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	p := &process{binary: binary, folder: folder, settings: s, file: filepath.Join(folder, string(s.Host.ID)+".json")}
	if err := os.WriteFile(p.file, raw, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	p.log, err = os.Create(filepath.Join(folder, string(s.Host.ID)+".log"))
	if err != nil {
		return nil, fmt.Errorf("make log: %w", err)
	}
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.binary, "serve", "--Settings", p.file)
	p.cmd.Stderr = p.log
	p.cmd.Dir = p.folder
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.settings.Host.ID, err)
	}
	done := make(chan struct{})
	p.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd)
	return nil
}

// running reports whether the process has started and not ended.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return errors.New("the process has not started")
	}
	return p.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p.signal(syscall.SIGKILL) == nil {
		<-p.done
	}
}

// wipe removes the host's data.
func (p *process) wipe() error {
	return os.RemoveAll(p.settings.Host.DataFolder)
}

// awaitEnd waits for the end of the process, for at most the given time.
func (p *process) awaitEnd(limit time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended after %v", p.settings.Host.ID, limit)
	}
}
