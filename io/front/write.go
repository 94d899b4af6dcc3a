package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/kataras/iris/v12"

	"cyclamenford/core"
	"cyclamenford/io/flow"
)

// wholeAnswer is the body of an answer that is not streamed.
type wholeAnswer struct {
	RequestID core.RequestID
	Outcome   core.Outcome
	Output    json.RawMessage
	Stages    []flow.StageTime
}

// problemBody is an RFC 9457 problem document.
type problemBody struct {
	Type         string       `json:"type"`
	Title        string       `json:"title"`
	Status       int          `json:"status"`
	Detail       string       `json:"detail"`
	Outcome      core.Outcome `json:"outcome"`
	Reason       core.Reason  `json:"reason"`
	RetryAfterMs core.Millis  `json:"retryAfterMs,omitempty"`
}

func bodyOf(p *core.Problem) problemBody {
	return problemBody{
		Type: "about:blank", Title: http.StatusText(p.Status), Status: p.Status, Detail: p.Detail,
		Outcome: p.Outcome, Reason: p.Reason, RetryAfterMs: retrySeconds(p) * core.Second,
	}
}

// retrySeconds rounds a problem's time up to whole seconds, which is all that the header can say; the body says the same.
func retrySeconds(p *core.Problem) core.Millis {
	return (p.RetryAfter + core.Second - 1) / core.Second
}

func writeProblem(c iris.Context, p *core.Problem) {
	if p.RetryAfter > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64(retrySeconds(p)), 10))
	}
	raw, err := json.Marshal(bodyOf(p))
	if err != nil {
		c.StatusCode(http.StatusInternalServerError)
		return
	}
	c.ResponseWriter().Header().Set("Content-Type", "application/problem+json")
	c.StatusCode(p.Status)
	_, _ = c.Write(raw)
}

// sink writes a streamed answer as server-sent events and flushes each.
type sink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
	buffer  bytes.Buffer
}

func (f *Front) newSink(c iris.Context) *sink {
	w := c.ResponseWriter().Naive()
	return &sink{
		writer: w, control: http.NewResponseController(w), timeout: f.options.WriteTimeout.Duration(),
	}
}

// Start writes the headers, and where the stream can be resumed.
func (s *sink) Start(token string) error {
	if !s.started {
		s.started = true
		h := s.writer.Header()
		h.Set("Content-Type", eventStream)
		h.Set("Cache-Control", "no-store")
		s.writer.WriteHeader(http.StatusOK)
	}
	return s.write("event: start\ndata: {\"Resume\":%q}\n\n", token)
}

// Event writes one numbered piece of text.
func (s *sink) Event(seq uint64, text string) error {
	s.buffer.Reset()
	b := s.buffer.AvailableBuffer()
	b = append(b, "id: "...)
	b = strconv.AppendUint(b, seq, 10)
	b = append(b, "\ndata: {\"Text\":"...)
	b, err := appendQuoted(b, text)
	if err != nil {
		return err
	}
	s.buffer.Write(append(b, "}\n\n"...))
	return s.flush()
}

// appendQuoted appends a text as a JSON string.
func appendQuoted(b []byte, text string) ([]byte, error) {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			quoted, err := json.Marshal(text)
			if err != nil {
				return nil, fmt.Errorf("encode event: %w", err)
			}
			return append(b, quoted...), nil
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"'), nil
}

func (s *sink) done(a flow.Answer) {
	_ = s.write("event: done\ndata: {\"Outcome\":%q,\"Count\":%d,\"Checksum\":%q}\n\n", core.Completed, a.Count, a.Checksum)
}

func (s *sink) fail(p *core.Problem) {
	raw, err := json.Marshal(bodyOf(p))
	if err != nil {
		return
	}
	_ = s.write("event: problem\ndata: %s\n\n", raw)
}

// write sends one event.
func (s *sink) write(format string, args ...any) error {
	s.buffer.Reset()
	fmt.Fprintf(&s.buffer, format, args...)
	return s.flush()
}

// flush sends the buffer; a caller that does not read it in time counts as gone.
func (s *sink) flush() error {
	if err := s.control.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := s.writer.Write(s.buffer.Bytes()); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}
