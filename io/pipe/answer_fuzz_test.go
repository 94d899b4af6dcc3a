package pipe

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"golang.org/x/net/http/httpguts"
)

// readAnswerFrom reads the answer to a request from the bytes that an endpoint sends, and up to a bound of its body.
func readAnswerFrom(source io.Reader) (resp *http.Response, body []byte, err error) {
	limit := &limitedReader{source: source}
	x := &conn{reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit}
	resp, err = new(Client).readAnswer(x, Request{
		Method:    http.MethodPost,
		IsAnswer:  func(r *http.Response) bool { return r.Header.Get("Id") == "a" },
		NamesNone: func(r *http.Response) bool { return r.Header.Get("Id") == "" },
	})
	if err != nil {
		return nil, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxHeadBytes))
	return resp, body, err
}

// FuzzAnswer guards against garbage that is taken for an answer, and against answers that depend on how their bytes are split.
func FuzzAnswer(f *testing.F) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\none",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\none\r\n0\r\nLate: 1\r\n\r\n",
		"HTTP/1.1 503 Full\r\nId: z\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nId: a\r\nConnection: id\r\n\r\none",
		"HTTP/1.1 099 x\r\nId: a\r\n\r\nHTTP/1.0 200 OK\r\nId: a\r\nContent-Length: -2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nX-Other: b\r\n Content-Length : 3\r\n\nContent-Length: 3\r\n\r\none",
	} {
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		resp, body, err := readAnswerFrom(bytes.NewReader(raw))
		split, splitBody, splitErr := readAnswerFrom(iotest.OneByteReader(bytes.NewReader(raw)))
		must.Eq(t, err == nil, splitErr == nil)
		must.Eq(t, string(body), string(splitBody))
		if resp == nil {
			return
		}
		must.Eq(t, resp.StatusCode, split.StatusCode)
		must.GreaterEq(t, http.StatusOK, resp.StatusCode)
		must.True(t, resp.ProtoAtLeast(1, 1))
		must.SliceContains(t, []string{"", "a"}, resp.Header.Get("Id"))
		for name := range resp.Header {
			must.True(t, httpguts.ValidHeaderFieldName(name), must.Sprintf("%q", name))
		}
	})
}
