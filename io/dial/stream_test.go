package dial

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// newTestStream returns the stream of an answer with the given body.
func newTestStream(body string) *Stream {
	a := &answer{Response: &http.Response{Body: io.NopCloser(strings.NewReader(body))}}
	return newClient(ignoreState, nil).newStream(a, 1)
}

// FuzzPlainText checks that plainText returns the same text as the JSON decoder whenever it accepts the data.
func FuzzPlainText(f *testing.F) {
	for _, data := range []string{`{"Text":"plain"}`, `{"Text":"a\"b"}`, `{"Text":""}`, `{"Text":"x","Count":3}`, `{"Text":"\\"}`} {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data string) {
		text, ok := plainText(data)
		var body struct{ Text string }
		if !ok || json.Unmarshal([]byte(data), &body) != nil {
			return
		}
		must.Eq(t, body.Text, text)
	})
}

// BenchmarkNext measures the parsing of events with and without escape sequences.
func BenchmarkNext(b *testing.B) {
	for name, event := range map[string]string{
		"plain": "id: 7\ndata: {\"Text\":\"0123abcd \"}\n\n", "escaped": "id: 7\ndata: {\"Text\":\"0123\\\"abcd \"}\n\n",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			s := newTestStream(strings.Repeat(event, b.N))
			for range b.N {
				_, err := s.readEvent()
				must.NoError(b, err)
			}
		})
	}
}

// TestBytesThatAreNoEventAreNoText guards against garbage of an engine that becomes a part of a stream's text.
func TestBytesThatAreNoEventAreNoText(t *testing.T) {
	first, second := "id: 1\ndata: {\"Text\":\"a\"}\n\n", "id: 2\ndata: {\"Text\":\"b\"}\n\n"
	for _, garbage := range []string{"\x01garbage\n\n", "garbage", "garbage\n", "HTTP/1.1 200 OK\r\n\r\n", "data: garbage\n\n", "id: x\n\n", "id: 9\n\n"} {
		s := newTestStream(first + garbage + second)
		text, ids := "", []uint64{}
		for {
			e, err := s.Next()
			if err != nil {
				break
			}
			text += e.Text
			ids = append(ids, e.Seq)
		}
		must.True(t, strings.HasPrefix("ab", text), must.Sprintf("%q gives %q", garbage, text))
		must.SliceEmpty(t, slices.DeleteFunc(ids, func(id uint64) bool { return id == 0 || id == 1 || id == 2 }), must.Sprintf("%q", garbage))
	}
}
