package proxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Link is one direction of traffic between two parties. An empty name matches every party.
type Link struct{ From, To string }

// Rule describes the faults of a link.
type Rule struct {
	// Delay is added to the delivery time of each chunk of data.
	Delay time.Duration
	// Hold keeps back data and the close of connections until the rule is removed, without an error to either side.
	Hold bool
	// Refuse resets new connections immediately.
	Refuse bool
}

const (
	// bufferBytes is the maximum size of a chunk.
	bufferBytes = 16 << 10
	// holdPoll is the interval at which held data checks whether the rule has been removed.
	holdPoll = 5 * time.Millisecond
	// queueLength is the maximum number of chunks that wait in one direction of a connection.
	queueLength = 256
)

// Network holds the link rules and the proxies of one test.
type Network struct {
	// nameOf returns the name of the party that uses a source IP address.
	nameOf func(ip string) string
	// child is the process for the listeners of ListenApart, nil if there is none. It has the same rules.
	child *Child

	mu    sync.Mutex
	rules map[Link]Rule
	conns map[*connection]struct{}
	// sent holds, by the proxy's local address of a forwarded connection, its sender and the time at which its newest data
	// left the sender. Entries outlive the connection, because it may close before the receiver reads the last data.
	sent      map[string]origin
	stop      chan struct{}
	wg        sync.WaitGroup
	listeners []net.Listener
}

// origin is the sender of data and the time at which it was sent.
type origin struct {
	from string
	at   time.Time
}

// connection holds the two sides of a proxied connection: client is accepted from the party from, and server is dialed to
// the party to.
type connection struct {
	from, to string
	client   net.Conn
	server   net.Conn
}

// New returns a network without rules. nameOf returns the name of the party that uses a source IP address.
func New(nameOf func(ip string) string) *Network {
	return &Network{nameOf: nameOf, rules: map[Link]Rule{}, conns: map[*connection]struct{}{}, sent: map[string]origin{}, stop: make(chan struct{})}
}

// UseChild makes a child process serve the listeners of ListenApart. It must be called before any other method.
func (n *Network) UseChild(c *Child) { n.child = c }

// ListenApart is Listen in the child process. Origin and SentAt do not know what it forwards.
func (n *Network) ListenApart(party, target string) (string, error) {
	return n.child.listen(Target{party, target})
}

// Listen starts a proxy on a free local port that forwards to a party's target address, and returns the proxy's address.
func (n *Network) Listen(party, target string) (string, error) {
	return n.ListenAt("127.0.0.1:0", party, target)
}

// ListenAt starts a proxy at the given address that forwards to a party's target address, and returns the proxy's address.
func (n *Network) ListenAt(address, party, target string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("start a proxy listener: %w", err)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.wg.Go(func() { n.accept(l, party, target) })
	return l.Addr().String(), nil
}

// SetRule sets the rule of a link and replaces any earlier one.
func (n *Network) SetRule(l Link, r Rule) { n.SetRules(r, l) }

// SetRules sets the rule of links and replaces any earlier one.
func (n *Network) SetRules(r Rule, links ...Link) {
	n.child.call("SetRules", LinkRule{r, links})
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		n.rules[l] = r
	}
}

// RemoveRule removes the rules of links.
func (n *Network) RemoveRule(links ...Link) {
	n.child.call("RemoveRule", links)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range links {
		delete(n.rules, l)
	}
}

// RemoveAllRules removes every rule.
func (n *Network) RemoveAllRules() {
	n.child.call("RemoveAllRules", struct{}{})
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.rules)
}

// CloseConnections closes the connections between two parties, whichever side opened them. An empty name matches every party.
func (n *Network) CloseConnections(a, b string) {
	n.child.call("CloseConnections", Link{a, b})
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.conns {
		if matches(a, p.from) && matches(b, p.to) || matches(b, p.from) && matches(a, p.to) {
			_ = p.client.Close()
			_ = p.server.Close()
		}
	}
}

// Close stops all proxies, closes all connections and waits for their goroutines.
func (n *Network) Close() {
	close(n.stop)
	n.mu.Lock()
	ends := n.listeners
	n.mu.Unlock()
	for _, l := range ends {
		_ = l.Close()
	}
	n.CloseConnections("", "")
	// Ignores the error: a child that ended too early has made a call above panic.
	_ = n.child.close()
	n.wg.Wait()
}

// matches reports whether pattern is empty or equal to name.
func matches(pattern, name string) bool {
	return pattern == "" || pattern == name
}

// combinedRule combines the rules of all links that match a direction: delays add up, and Hold and Refuse apply if any
// rule sets them.
func (n *Network) combinedRule(from, to string) Rule {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum Rule
	for _, l := range []Link{{from, to}, {from, ""}, {"", to}, {"", ""}} {
		r := n.rules[l]
		sum.Delay += r.Delay
		sum.Hold = sum.Hold || r.Hold
		sum.Refuse = sum.Refuse || r.Refuse
	}
	return sum
}

// accept serves the connections of a listener until it is closed.
func (n *Network) accept(l net.Listener, party, target string) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serve(client, party, target) })
	}
}

// serve forwards a connection to the target until it closes, or resets it if a rule refuses it or the target can't be
// reached.
func (n *Network) serve(client net.Conn, party, target string) {
	defer client.Close()
	ip, _, err := net.SplitHostPort(client.RemoteAddr().String())
	if err != nil {
		return
	}
	from := n.nameOf(ip)
	if n.combinedRule(from, party).Refuse {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	defer server.Close()
	p := &connection{from: from, to: party, client: client, server: server}
	n.setOpen(p, true)
	defer n.setOpen(p, false)
	var wg sync.WaitGroup
	wg.Go(func() { n.forward(from, party, client, server) })
	wg.Go(func() { n.forward(party, from, server, client) })
	wg.Wait()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// setOpen adds an open connection to conns or removes it.
func (n *Network) setOpen(p *connection, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on {
		n.conns[p] = struct{}{}
	} else {
		delete(n.conns, p)
	}
}

// chunk is a block of data on its way through the proxy.
type chunk struct {
	data []byte
	// sent is the time at which the proxy received the data, and due the earliest time at which it may forward it.
	sent, due time.Time
}

// forward forwards data in one direction until either side closes, and then closes both.
func (n *Network) forward(from, to string, in, out net.Conn) {
	pieces := make(chan chunk, queueLength)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.writeChunks(from, to, out, pieces)
	}()
	buffer := make([]byte, bufferBytes)
	for {
		k, err := in.Read(buffer)
		if k > 0 {
			data := append([]byte(nil), buffer[:k]...)
			now := time.Now()
			select {
			case pieces <- chunk{data: data, sent: now, due: now.Add(n.combinedRule(from, to).Delay)}:
			case <-done:
				_ = in.Close()
				return
			}
		}
		if err != nil {
			break
		}
	}
	close(pieces)
	<-done
	_ = out.Close()
	_ = in.Close()
}

// writeChunks writes the chunks to out when they are due and no rule holds them back.
func (n *Network) writeChunks(from, to string, out net.Conn, pieces <-chan chunk) {
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if !n.awaitRelease(from, to) {
			return
		}
		n.recordSent(out.LocalAddr().String(), origin{from: from, at: p.sent})
		if _, err := out.Write(p.data); err != nil {
			return
		}
	}
	// Hold also applies to the close of the connection.
	n.awaitRelease(from, to)
}

// recordSent records who sent the newest data of a forwarded connection, and when.
func (n *Network) recordSent(address string, sent origin) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[address] = sent
}

// SentAt returns the time at which the newest data on a connection from the given proxy address left its sender. It returns
// the current time if the address isn't known.
func (n *Network) SentAt(address string) time.Time {
	_, at := n.Origin(address)
	return at
}

// Origin returns the sender of the newest data on a connection from the given proxy address, and the time at which it was
// sent. It returns no name and the current time if the address isn't known.
func (n *Network) Origin(address string) (from string, sentAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o, ok := n.sent[address]; ok {
		return o.from, o.at
	}
	return "", time.Now()
}

// awaitRelease blocks while a rule holds the direction. It returns false if the network is closed meanwhile.
func (n *Network) awaitRelease(from, to string) bool {
	for n.combinedRule(from, to).Hold {
		select {
		case <-n.stop:
			return false
		case <-time.After(holdPoll):
		}
	}
	return true
}
