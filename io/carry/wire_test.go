package carry

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/io/sock"
)

// wireData holds what passes between hosts, as other releases write and read it.
type wireData struct {
	Requests []struct {
		Name    string
		Marked  bool
		Address string
		Bytes   string
	}
	Statuses map[string]status
	Ends     []struct {
		Received uint64
		Bytes    string
	}
	Reads []struct {
		Name    string
		Written int64
		// Bytes are those that the carrier sends before its connection ends in order.
		Bytes, Body, End string
	}
}

func readWireData(t *testing.T) (d wireData) {
	raw, err := os.ReadFile("testdata/wire.json")
	must.NoError(t, err)
	must.NoError(t, strict.Decode(raw, &d))
	return d
}

func unhex(t *testing.T, text string) []byte {
	raw, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	must.NoError(t, err)
	return raw
}

// TestWireFormat holds the bytes that hosts of other releases send and expect.
func TestWireFormat(t *testing.T) {
	d := readWireData(t)
	for _, row := range d.Requests {
		f := raw
		if row.Marked {
			f = marked
		}
		var sent bytes.Buffer
		must.NoError(t, writeRequest(&sent, f, row.Address))
		must.Eq(t, row.Bytes, hex.EncodeToString(sent.Bytes()), must.Sprint(row.Name))
		ours, theirs := net.Pipe()
		go func() { _, _ = ours.Write(unhex(t, row.Bytes)) }()
		gotFraming, address, err := readRequest(theirs)
		must.NoError(t, err)
		must.Eq(t, f, gotFraming, must.Sprint(row.Name))
		must.Eq(t, row.Address, address, must.Sprint(row.Name))
	}
	must.Eq(t, map[string]status{
		"connected": connected, "refused by the endpoint": refusedByEndpoint, "unreachable": unreachable, "not carrying": notCarrying, "declined": declined,
	}, d.Statuses)
	for _, row := range d.Ends {
		must.Eq(t, row.Bytes, hex.EncodeToString(endMark(row.Received)))
	}
}

// sentConn is a connection over which the given bytes come.
type sentConn struct {
	net.Conn
	in io.Reader
}

func (c sentConn) Read(p []byte) (int, error)  { return c.in.Read(p) }
func (c sentConn) Write(p []byte) (int, error) { return len(p), nil }

// TestOnlyAMarkOfAllThatWasWrittenProvesAnEnd guards against parts of answers that look whole.
func TestOnlyAMarkOfAllThatWasWrittenProvesAnEnd(t *testing.T) {
	for _, row := range readWireData(t).Reads {
		for size, slow := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader} {
			t.Run(row.Name+", "+size, func(t *testing.T) {
				c := newMarkedConn(sentConn{in: slow(bytes.NewReader(unhex(t, row.Bytes)))})
				_, err := c.Write(make([]byte, row.Written))
				must.NoError(t, err)
				body, err := io.ReadAll(c)
				must.Eq(t, row.Body, string(body))
				must.Eq(t, row.End == "InOrder", err == nil, must.Sprint(err))
				must.Eq(t, row.End == "InOrder", sock.EndedInOrder(c))
				must.Eq(t, row.End == "Reset", errors.Is(err, unix.ECONNRESET), must.Sprint(err))
				must.Eq(t, row.End == "Unproven", errors.Is(err, io.ErrUnexpectedEOF), must.Sprint(err))
				_, again := c.Read(make([]byte, 1))
				must.Error(t, again)
			})
		}
	}
}

// formerCarrier serves streams as a carrier of a release without marks does.
func formerCarrier(conn net.Conn) {
	length := make([]byte, 1)
	if _, err := io.ReadFull(conn, length); err != nil {
		return
	}
	address := make([]byte, length[0])
	if _, err := io.ReadFull(conn, address); err != nil {
		return
	}
	if !core.IsAddress(string(address)) {
		_, _ = conn.Write([]byte{4})
		return
	}
	endpoint, err := net.Dial("tcp", string(address))
	if err != nil {
		_, _ = conn.Write([]byte{3})
		return
	}
	_, _ = conn.Write([]byte{1})
	go func() { _, _ = io.Copy(endpoint, conn) }()
	_, _ = io.Copy(conn, endpoint)
	_ = endpoint.Close()
}

// TestThroughACarrierWithoutMarksOnlyFramedAnswersAreWhole guards against parts of answers that look whole while hosts of two releases run side by side, and
// against whole ones that don't.
func TestThroughACarrierWithoutMarksOnlyFramedAnswersAreWhole(t *testing.T) {
	for name, row := range map[string]struct {
		head  string
		whole bool
	}{
		"a length":                    {"Content-Length: 4\r\n\r\nbody", true},
		"chunks":                      {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		"neither a length nor chunks": {"Connection: close\r\n\r\nbody", false},
	} {
		t.Run(name, func(t *testing.T) {
			host := startServing(t, formerCarrier)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { must.NoError(t, l.Close()) }()
			go answerOnce(l, "HTTP/1.1 200 OK\r\n"+row.head)
			d := dialerWith(refuse, host)
			body, carrier, err := get(d, l.Addr().String())
			must.Eq(t, host.address, carrier)
			must.Eq(t, 1, d.meter.CounterValue("carriers_without_marks_total"))
			if !row.whole {
				must.ErrorIs(t, err, errUnproven)
				return
			}
			must.NoError(t, err)
			must.Eq(t, "body", body)
		})
	}
}

// answerOnce answers one request with the given bytes and ends its connection in order.
func answerOnce(l net.Listener, answer string) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	_, _ = conn.Read(make([]byte, 4096))
	_, _ = io.WriteString(conn, answer)
	_ = conn.Close()
}

// TestAHostWithoutMarksGetsBytesAsTheyAre guards against frames that a host of an earlier release takes for a part of the answer, or a refusal that it does not know.
func TestAHostWithoutMarksGetsBytesAsTheyAre(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, l.Close()) }()
	const answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody"
	go answerOnce(l, answer)
	address := l.Addr().String()
	ask := func(host carrierHost, request string) string {
		conn, err := dialerWith(refuse).peers.OpenStream(t.Context(), host.address)
		must.NoError(t, err)
		defer func() { must.NoError(t, conn.Close()) }()
		_, err = fmt.Fprintf(conn, "%c%s%s", len(address), address, request)
		must.NoError(t, err)
		got, err := io.ReadAll(conn)
		must.NoError(t, err)
		return string(got)
	}
	must.Eq(t, "\x01"+answer, ask(startCarrier(t, nil, false), "GET / HTTP/1.1\r\n\r\n"))
	must.Eq(t, "\x04", ask(startCarrier(t, nil, true), ""))
}
