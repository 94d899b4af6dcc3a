package fault

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

var errUnasked = errors.New("no signal was sent")

// Program is what to start for a host, and where it keeps its files.
type Program struct {
	// Name is the host's, Binary the program's file.
	Name, Binary string
	Args, Env    []string
	// Folder is where the process runs and its log goes; Data is the host's data folder, if it has one.
	Folder, Data string
}

// Process is one host as a real process.
type Process struct {
	program Program

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
	// ending tells that the process has been told to end, and alone how a process ended that had not.
	ending bool
	alone  error
}

// NewProcess prepares a process and opens its log; nothing runs yet.
func NewProcess(p Program) (*Process, error) {
	file, err := os.Create(filepath.Join(p.Folder, p.Name+".log"))
	if err != nil {
		return nil, fmt.Errorf("make log: %w", err)
	}
	return &Process{program: p, log: file}, nil
}

// Start starts the process unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
		return nil
	}
	p.cmd = exec.Command(p.program.Binary, p.program.Args...)
	p.cmd.Env = append(os.Environ(), p.program.Env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.Dir = p.program.Folder
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.program.Name, err)
	}
	done := make(chan struct{})
	p.done, p.ending = done, false
	go func(cmd *exec.Cmd) {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.ending {
			p.alone = fmt.Errorf("%s ended unasked: %w", p.program.Name, errors.Join(err, errUnasked))
		}
		close(done)
	}(p.cmd)
	return nil
}

// Unasked returns how the process ended if nothing had told it to.
func (p *Process) Unasked() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.alone
}

// Running reports whether the process has started and not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs()
}

func (p *Process) runs() bool {
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

// Signal sends a signal to the present process.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return errors.New("the process has not started")
	}
	p.ending = p.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
	return p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.ended()
	}
}

// ended returns a channel that closes when the present process ends.
func (p *Process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// wipe removes the host's data.
func (p *Process) wipe() error {
	return os.RemoveAll(p.program.Data)
}

// AwaitEnd waits for the end of the process, for at most the given time.
func (p *Process) AwaitEnd(limit time.Duration) error {
	select {
	case <-p.ended():
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended after %v", p.program.Name, limit)
	}
}

// restart waits for the end of the process and starts it anew.
func (p *Process) restart(limit time.Duration) error {
	if err := p.AwaitEnd(limit); err != nil {
		return err
	}
	return p.Start()
}

// tear leaves the beginning of a record at the end of the host's log, as a write does that power loss cuts short.
func (p *Process) tear() error {
	segments, err := filepath.Glob(filepath.Join(p.program.Data, "wal-*"))
	if err != nil || len(segments) == 0 {
		return err
	}
	file, err := os.OpenFile(slices.Max(segments), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.program.Name, err)
	}
	_, err = file.Write([]byte{0, 0, 1, 0, 7})
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("tear the log of %s: %w", p.program.Name, err)
	}
	return nil
}

// Close kills the process if it runs, and closes its log.
func (p *Process) Close() error {
	if p.Running() {
		p.Kill()
	}
	if err := p.log.Close(); err != nil {
		return fmt.Errorf("close the log of %s: %w", p.program.Name, err)
	}
	return nil
}
