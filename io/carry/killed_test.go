package carry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/io/meter"
	"cyclamenford/io/peer"
)

// carrierArg makes the test binary run as a carrier that listens at the address behind it.
const carrierArg = "run-as-carrier"

func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == carrierArg {
		if err := runCarrier(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runCarrier carries connections until the test that started the process closes its input.
func runCarrier(address string) error {
	log := slog.New(slog.DiscardHandler)
	s := peer.NewServer(address, []byte(testKey), nil, log)
	s.HandleStreams(NewCarrier(nil, func() bool { return false }, meter.New(), log).Serve)
	if err := s.Start(context.Background()); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, os.Stdin)
	return err
}

// startCarrierProcess starts a carrier in a process of its own and returns a function that kills it.
func startCarrierProcess(t *testing.T) (host carrierHost, kill func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	must.NoError(t, l.Close())
	cmd := exec.Command(os.Args[0], carrierArg, address)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	must.NoError(t, err)
	must.NoError(t, cmd.Start())
	kill = sync.OnceFunc(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	t.Cleanup(func() {
		_ = in.Close()
		kill()
	})
	for range 200 {
		if conn, err := net.Dial("tcp", address); err == nil {
			must.NoError(t, conn.Close())
			return carrierHost{address: address, domain: "b"}, kill
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the carrier does not listen")
	return carrierHost{}, nil
}

// halfAnswers listens as an endpoint that sends a part of its answer, reports that on sent, and never goes on.
func halfAnswers(t *testing.T, part string) (address string, sent chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent = make(chan struct{}, 1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(conn, part)
				sent <- struct{}{}
				_, _ = io.Copy(io.Discard, in)
			}()
		}
	}()
	return l.Addr().String(), sent
}

// getByHTTP is get by net/http, as serve calls its endpoints.
func getByHTTP(d *Dialer, address string) (body, carrier string, err error) {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (conn net.Conn, err error) {
		conn, carrier, err = d.Dial(ctx, address)
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("http://" + address)
	if err != nil {
		return "", carrier, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), carrier, err
}

// TestAnAnswerWhoseCarrierIsKilledIsNotWhole guards against a part of an answer that looks whole, as the system ends a killed process's connections in order.
func TestAnAnswerWhoseCarrierIsKilledIsNotWhole(t *testing.T) {
	for client, get := range map[string]func(*Dialer, string) (string, string, error){"relay": get, "serve": getByHTTP} {
		for name, head := range map[string]string{
			"neither a length nor chunks": "Connection: close\r\n\r\npart",
			"a length":                    "Content-Length: 8\r\n\r\npart",
			"chunks":                      "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		} {
			t.Run(client+", "+name, func(t *testing.T) {
				host, kill := startCarrierProcess(t)
				address, sent := halfAnswers(t, "HTTP/1.1 200 OK\r\n"+head)
				go func() {
					<-sent
					// The part is on its way through the carrier.
					time.Sleep(50 * time.Millisecond)
					kill()
				}()
				body, carrier, err := get(dialerWith(refuse, host), address)
				must.Eq(t, host.address, carrier)
				must.Error(t, err, must.Sprintf("%q looks whole", body))
			})
		}
	}
}
