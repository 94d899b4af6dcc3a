package dial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"cyclamenford/core"
	"cyclamenford/core/reply"
)

// ErrTruncated reports that a stream ended before its closing event.
var ErrTruncated = errors.New("the stream ended before its closing event")

const maxLineBytes = 1 << 20

// The prefixes of the fields of a server-sent event.
var (
	idField   = []byte("id: ")
	dataField = []byte("data: ")
)

// Stream reads the events of a streamed attempt.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Stream starts work with a streamed answer.
func (c *Client) Stream(ctx context.Context, target core.Target, run Run) (*Stream, error) {
	run.Stream = true
	a, connected, err := c.postRun(ctx, c.pooled, exchange{name: "Stream", target: target, attempt: run.AttemptID, due: reply.Events}, run)
	if err != nil {
		return nil, transportError(err, connected)
	}
	return c.newStream(a), nil
}

// Resume reopens the stream of an attempt, starting with the event with the given number.
func (c *Client) Resume(ctx context.Context, target core.Target, attempt core.AttemptID, from uint64) (*Stream, error) {
	if !c.permitted(ctx, target, resumePermitWait) {
		return nil, &Error{Outcome: core.Unknown, Reason: core.ReasonEndpointsLimited, Err: ErrNoPermit}
	}
	path := "/v1/resume/" + string(attempt) + "?From=" + strconv.FormatUint(from, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(target.Address, path), nil)
	if err != nil {
		return nil, fmt.Errorf("make resume: %w", err)
	}
	a, _, err := c.accepted(c.do(c.pooled, exchange{name: "Resume", target: target, attempt: attempt, due: reply.Events}, req))
	var refused *Error
	if errors.As(err, &refused) && refused.Outcome == core.NotRun {
		// The attempt was begun, whatever its endpoint says now.
		refused.Outcome = core.Unknown
	}
	if err != nil {
		return nil, transportError(err, true)
	}
	return c.newStream(a), nil
}

// newStream returns the Stream of an answer.
func (c *Client) newStream(a *answer) *Stream {
	c.reportState(a)
	s := &Stream{body: a.Body, scanner: bufio.NewScanner(a.Body)}
	s.scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return s
}

// Next returns the next event. It returns an Error if the connection ends before the closing event, the engine reports
// a failure, or an event is malformed.
func (s *Stream) Next() (Event, error) {
	var e Event
	var data string
	for s.scanner.Scan() {
		line := s.scanner.Bytes()
		switch {
		case len(line) == 0 && data != "":
			return parseEventData(e, data)
		case bytes.HasPrefix(line, idField):
			seq, err := strconv.ParseUint(string(line[len(idField):]), 10, 64)
			if err != nil {
				return Event{}, badStreamError(fmt.Errorf("event number: %w", err))
			}
			e.Seq = seq
		case string(line) == "event: done":
			e.Done = true
		case string(line) == "event: failed":
			return Event{}, &Error{Outcome: core.Failed, Reason: core.ReasonEndpointFailed, Refused: true, Err: ErrTruncated}
		case bytes.HasPrefix(line, dataField):
			data = string(line[len(dataField):])
		}
	}
	err := s.scanner.Err()
	if err == nil {
		err = ErrTruncated
	}
	return Event{}, &Error{Outcome: core.Unknown, Reason: core.ReasonConnectionLost, ConnectionLost: true, Err: err}
}

// plainText extracts the text from event data that contains only a Text field without escape sequences. This is the
// common case, and it avoids the JSON decoder.
func plainText(data string) (string, bool) {
	inner, ok := strings.CutPrefix(data, `{"Text":"`)
	if !ok {
		return "", false
	}
	text, ok := strings.CutSuffix(inner, `"}`)
	if !ok || !utf8.ValidString(text) {
		return "", false
	}
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' {
			return "", false
		}
	}
	return text, true
}

// parseEventData decodes the data of an event into e.
func parseEventData(e Event, data string) (Event, error) {
	if text, ok := plainText(data); ok {
		e.Text = text
		return e, nil
	}
	var body struct {
		Text     string
		Count    uint64
		Checksum string
	}
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return Event{}, badStreamError(fmt.Errorf("event body: %w", err))
	}
	e.Text, e.Count, e.Checksum = body.Text, body.Count, body.Checksum
	return e, nil
}

// badStreamError returns the error for a stream that violates the protocol.
func badStreamError(err error) error {
	return &Error{Outcome: core.Failed, Reason: core.ReasonBadAnswer, Err: err}
}

// Close closes the connection. The engine keeps the stream resumable for its resume grace period.
func (s *Stream) Close() {
	_ = s.body.Close()
}
