package drill

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"cyclamenford/setup"
)

var errUnasked = errors.New("no signal was sent")

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
	// ending tells that the process has been told to end, and alone how a process ended that had not.
	ending bool
	alone  error
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

// start starts the process unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return nil
	}
	p.cmd = exec.Command(p.binary, "serve", "--Settings", p.file)
	p.cmd.Stderr = p.log
	p.cmd.Dir = p.folder
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.settings.Host.ID, err)
	}
	done := make(chan struct{})
	p.done, p.ending = done, false
	go func(cmd *exec.Cmd) {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.ending {
			p.alone = fmt.Errorf("%s ended unasked: %w", p.settings.Host.ID, errors.Join(err, errUnasked))
		}
		close(done)
	}(p.cmd)
	return nil
}

// unasked returns how the process ended if nothing had told it to.
func (p *process) unasked() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alone
}

// running reports whether the process has started and not ended.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs()
}

func (p *process) runs() bool {
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
	p.ending = p.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
	return p.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p.signal(syscall.SIGKILL) == nil {
		<-p.ended()
	}
}

// ended returns a channel that closes when the present process ends.
func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// wipe removes the host's data.
func (p *process) wipe() error {
	return os.RemoveAll(p.settings.Host.DataFolder)
}

// awaitEnd waits for the end of the process, for at most the given time.
func (p *process) awaitEnd(limit time.Duration) error {
	select {
	case <-p.ended():
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended after %v", p.settings.Host.ID, limit)
	}
}

// restart waits for the end of the process and starts it anew.
func (p *process) restart(limit time.Duration) error {
	if err := p.awaitEnd(limit); err != nil {
		return err
	}
	return p.start()
}

// tear leaves the beginning of a record at the end of the host's log, as a write does that power loss cuts short.
func (p *process) tear() error {
	segments, err := filepath.Glob(filepath.Join(p.settings.Host.DataFolder, "wal-*"))
	if err != nil || len(segments) == 0 {
		return err
	}
	file, err := os.OpenFile(slices.Max(segments), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.settings.Host.ID, err)
	}
	_, err = file.Write([]byte{0, 0, 1, 0, 7})
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("tear the log of %s: %w", p.settings.Host.ID, err)
	}
	return nil
}
