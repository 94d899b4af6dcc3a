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

// answerBody is the JSON body of an answer that is not streamed.
type answerBody struct {
	RequestID core.RequestID
	Outcome   core.Outcome
	Output    json.RawMessage
	Stages    []flow.StageTime
}

// problemBody is a problem document according to RFC 9457.
type problemBody struct {
	Type         string       `json:"type"`
	Title        string       `json:"title"`
	Status       int          `json:"status"`
	Detail       string       `json:"detail"`
	Outcome      core.Outcome `json:"outcome"`
	Reason       core.Reason  `json:"reason"`
	RetryAfterMs core.Millis  `json:"retryAfterMs,omitempty"`
}

func newProblemBody(p *core.Problem) problemBody {
	return problemBody{
		Type: "about:blank", Title: http.StatusText(p.Status), Status: p.Status, Detail: p.Detail,
		Outcome: p.Outcome, Reason: p.Reason, RetryAfterMs: retryAfterSeconds(p) * core.Second,
	}
}

// retryAfterSeconds rounds the retry delay up to whole seconds, the resolution of the Retry-After header. The body
// contains the same rounded delay.
func retryAfterSeconds(p *core.Problem) core.Millis {
	return (p.RetryAfter + core.Second - 1) / core.Second
}

// writeProblem writes a problem document and the Retry-After header.
func writeProblem(c iris.Context, p *core.Problem) {
	if p.RetryAfter > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64(retryAfterSeconds(p)), 10))
	}
	raw, err := json.Marshal(newProblemBody(p))
	if err != nil {
		c.StatusCode(http.StatusInternalServerError)
		return
	}
	c.ResponseWriter().Header().Set("Content-Type", "application/problem+json")
	c.StatusCode(p.Status)
	_, _ = c.Write(raw)
}

// eventSink writes a streamed answer as server-sent events. It flushes after each event.
type eventSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
	buffer  bytes.Buffer
}

func (f *Front) newSink(c iris.Context) *eventSink {
	w := c.ResponseWriter().Naive()
	return &eventSink{
		writer: w, control: http.NewResponseController(w), timeout: f.options.WriteTimeout.Duration(),
	}
}

// Start writes the headers on its first call, and a start event with the token for resuming the stream.
func (s *eventSink) Start(token string) error {
	if !s.started {
		s.started = true
		h := s.writer.Header()
		h.Set("Content-Type", eventStream)
		h.Set("Cache-Control", "no-store")
		s.writer.WriteHeader(http.StatusOK)
	}
	return s.write("event: start\ndata: {\"Resume\":%q}\n\n", token)
}

// Event writes a chunk of text as an event with the given number.
func (s *eventSink) Event(seq uint64, text string) error {
	s.buffer.Reset()
	b := s.buffer.AvailableBuffer()
	b = append(b, "id: "...)
	b = strconv.AppendUint(b, seq, 10)
	b = append(b, "\ndata: {\"Text\":"...)
	b, err := appendJSONString(b, text)
	if err != nil {
		return err
	}
	s.buffer.Write(append(b, "}\n\n"...))
	return s.flush()
}

// appendJSONString appends text as a JSON string. Plain ASCII text needs no call of the JSON encoder.
func appendJSONString(b []byte, text string) ([]byte, error) {
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

// writeDone writes the closing event of a complete stream.
func (s *eventSink) writeDone(a flow.Answer) {
	_ = s.write("event: done\ndata: {\"Outcome\":%q,\"Count\":%d,\"Checksum\":%q}\n\n", core.Completed, a.Count, a.Checksum)
}

// writeProblemEvent writes a problem as the closing event of a failed stream.
func (s *eventSink) writeProblemEvent(p *core.Problem) {
	raw, err := json.Marshal(newProblemBody(p))
	if err != nil {
		return
	}
	_ = s.write("event: problem\ndata: %s\n\n", raw)
}

// write formats and sends one event.
func (s *eventSink) write(format string, args ...any) error {
	s.buffer.Reset()
	fmt.Fprintf(&s.buffer, format, args...)
	return s.flush()
}

// flush sends the buffer. It fails if the caller does not read the data within the write timeout.
func (s *eventSink) flush() error {
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
