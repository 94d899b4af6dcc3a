package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"os"
	"os/exec"
)

// childService is the name under which a child serves the calls of its parent.
const childService = "Proxy"

// Child is a network that runs in a process of its own. What it forwards does not wait for the processor time that the load, the
// stand-ins and the other scenarios of the test's process use.
type Child struct {
	cmd    *exec.Cmd
	client *rpc.Client
}

// pipes joins the two ends of a process's standard input and output.
type pipes struct {
	io.ReadCloser
	io.WriteCloser
}

func (p pipes) Close() error { return errors.Join(p.ReadCloser.Close(), p.WriteCloser.Close()) }

// StartChild starts a program that calls ServeChild with its last argument, which holds the names of the parties by their IP addresses.
func StartChild(names map[string]string, binary string, args ...string) (*Child, error) {
	raw, err := json.Marshal(names)
	if err != nil {
		return nil, fmt.Errorf("encode the names of the parties: %w", err)
	}
	cmd := exec.Command(binary, append(args, string(raw))...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("connect to the network's process: %w", err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("connect to the network's process: %w", err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start the network's process: %w", err)
	}
	return &Child{cmd: cmd, client: rpc.NewClient(pipes{out, in})}, nil
}

// ServeChild runs a network for the parent process until in ends.
func ServeChild(names string, in io.ReadCloser, out io.WriteCloser) error {
	byIP := map[string]string{}
	if err := json.Unmarshal([]byte(names), &byIP); err != nil {
		return fmt.Errorf("decode the names of the parties: %w", err)
	}
	n := New(func(ip string) string { return byIP[ip] })
	defer n.Close()
	s := rpc.NewServer()
	if err := s.RegisterName(childService, &childCalls{n}); err != nil {
		return fmt.Errorf("register the network's calls: %w", err)
	}
	s.ServeConn(pipes{in, out})
	return nil
}

// Target is a party's address, to which a listener forwards.
type Target struct{ Party, Address string }

// LinkRule is the rule of some links. One call sets it for all of them, since each call may wait for processor time.
type LinkRule struct {
	Rule  Rule
	Links []Link
}

// childCalls are the calls that a child serves.
type childCalls struct{ n *Network }

// Listen is Network.Listen.
func (c *childCalls) Listen(t Target, address *string) (err error) {
	*address, err = c.n.Listen(t.Party, t.Address)
	return err
}

// SetRules is Network.SetRules.
func (c *childCalls) SetRules(r LinkRule, _ *struct{}) error {
	c.n.SetRules(r.Rule, r.Links...)
	return nil
}

// RemoveRule is Network.RemoveRule.
func (c *childCalls) RemoveRule(links []Link, _ *struct{}) error {
	c.n.RemoveRule(links...)
	return nil
}

// RemoveAllRules is Network.RemoveAllRules.
func (c *childCalls) RemoveAllRules(struct{}, *struct{}) error {
	c.n.RemoveAllRules()
	return nil
}

// CloseConnections is Network.CloseConnections.
func (c *childCalls) CloseConnections(l Link, _ *struct{}) error {
	c.n.CloseConnections(l.From, l.To)
	return nil
}

// call forwards a call to the child, if there is one. It panics if the child has ended, since the test would go on without its faults.
func (c *Child) call(method string, args any) {
	if c == nil {
		return
	}
	if err := c.client.Call(childService+"."+method, args, &struct{}{}); err != nil {
		panic(fmt.Sprintf("the network's process: %s: %v", method, err))
	}
}

// listen starts a listener of the child.
func (c *Child) listen(t Target) (address string, err error) {
	if err := c.client.Call(childService+".Listen", t, &address); err != nil {
		return "", fmt.Errorf("start a listener of the network's process: %w", err)
	}
	return address, nil
}

// close ends the child's process.
func (c *Child) close() error {
	if c == nil {
		return nil
	}
	return errors.Join(c.client.Close(), c.cmd.Wait())
}
