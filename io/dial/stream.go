package dial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"

	"cyclamenford/core"
	"cyclamenford/core/event"
	"cyclamenford/core/reply"
)

// ErrTruncated reports that a stream ended before its closing event.
var ErrTruncated = errors.New("the stream ended before its closing event")

const maxLineBytes = 1 << 20

// loggedGarbageBytes limits how much of a line that is not part of an event is logged.
const loggedGarbageBytes = 80

// The names of events that carry no text.
const (
	doneEvent   = "done"
	failedEvent = "failed"
)

// Stream reads the events of a streamed attempt.
type Stream struct {
	client  *Client
	answer  *answer
	scanner *bufio.Scanner
	order   event.Order
}

// Stream starts work with a streamed answer.
func (c *Client) Stream(ctx context.Context, target core.Target, run Run) (*Stream, error) {
	run.Stream = true
	a, connected, err := c.postRun(ctx, c.pooled, exchange{name: "Stream", target: target, attempt: run.AttemptID, due: reply.Events}, run)
	if err != nil {
		return nil, transportError(err, connected)
	}
	return c.newStream(a, run.From), nil
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
	return c.newStream(a, from), nil
}

// newStream returns the Stream of an answer, whose first event has the given number.
func (c *Client) newStream(a *answer, from uint64) *Stream {
	c.reportState(a)
	return &Stream{client: c, answer: a, scanner: newScanner(a.Body), order: event.NewOrder(int64(min(max(1, from), math.MaxInt64)) - 1)}
}

// newScanner returns a scanner of the lines of a stream.
func newScanner(r io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLineBytes)
	s.Split(scanLine)
	return s
}

// scanLine is a bufio.SplitFunc for lines without their ends. What follows the last line end is a line that was cut off, and dropped.
func scanLine(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, bytes.TrimSuffix(data[:i], []byte("\r")), nil
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// Next returns the next event that the reader lacks, or the closing event. It returns an Error if the connection ends before the
// closing event, the engine reports a failure, or the bytes that come are not the next event.
func (s *Stream) Next() (Event, error) {
	for {
		e, err := s.readEvent()
		if err != nil {
			return Event{}, err
		}
		if e.Done {
			return e, s.checkCount(e)
		}
		order, isNew, err := s.order.Next(int64(e.Seq))
		if err != nil {
			return Event{}, s.Refuse(err)
		}
		s.order = order
		if isNew {
			return e, nil
		}
	}
}

// checkCount returns an error if a closing event does not count the events up to the last one.
func (s *Stream) checkCount(e Event) error {
	if e.Count != uint64(s.order.Received()) {
		return s.Refuse(fmt.Errorf("%w: count %d after event %d", event.ErrOrder, e.Count, s.order.Received()))
	}
	return nil
}

// readEvent reads one event: a number or a name, data, and an empty line.
func (s *Stream) readEvent() (Event, error) {
	if !s.scanner.Scan() {
		return Event{}, s.cutError()
	}
	if number, ok := cutField(s.scanner.Bytes(), "id"); ok {
		seq, err := parseNumber(number)
		if err != nil {
			return Event{}, s.Refuse(err)
		}
		return s.readData(Event{Seq: seq})
	}
	name, ok := cutField(s.scanner.Bytes(), "event")
	switch {
	case ok && string(name) == doneEvent:
		return s.readData(Event{Done: true})
	case ok && string(name) == failedEvent:
		return Event{}, s.readFailure()
	}
	return Event{}, s.refuseLine()
}

// readData reads the rest of an event into e.
func (s *Stream) readData(e Event) (Event, error) {
	if !s.scanner.Scan() {
		return Event{}, s.cutError()
	}
	raw, ok := cutField(s.scanner.Bytes(), "data")
	if !ok {
		return Event{}, s.refuseLine()
	}
	data := string(raw)
	if err := s.readEmptyLine(); err != nil {
		return Event{}, err
	}
	e, err := parseEventData(e, data)
	if err != nil {
		return Event{}, s.Refuse(err)
	}
	return e, nil
}

// readFailure reads the rest of the event of a failure, whose data is optional, and returns the Error that it reports.
func (s *Stream) readFailure() error {
	if !s.scanner.Scan() {
		return s.cutError()
	}
	if len(s.scanner.Bytes()) > 0 {
		if _, ok := cutField(s.scanner.Bytes(), "data"); !ok {
			return s.refuseLine()
		}
		if err := s.readEmptyLine(); err != nil {
			return err
		}
	}
	return &Error{Outcome: core.Failed, Reason: core.ReasonEndpointFailed, Refused: true, Err: ErrTruncated}
}

// readEmptyLine reads the end of an event.
func (s *Stream) readEmptyLine() error {
	if !s.scanner.Scan() {
		return s.cutError()
	}
	if len(s.scanner.Bytes()) > 0 {
		return s.refuseLine()
	}
	return nil
}

// cutError returns the Error of a stream without a further line.
func (s *Stream) cutError() error {
	err := s.scanner.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return s.Refuse(fmt.Errorf("read line: %w", err))
	case err == nil:
		err = ErrTruncated
	}
	return &Error{Outcome: core.Unknown, Reason: core.ReasonConnectionLost, ConnectionLost: true, Err: fmt.Errorf("read stream: %w", err)}
}

// refuseLine refuses the stream for its last line.
func (s *Stream) refuseLine() error {
	line := s.scanner.Bytes()
	return s.Refuse(fmt.Errorf("%w: line of %d bytes, begins %q", event.ErrNoEvent, len(line), line[:min(len(line), loggedGarbageBytes)]))
}

// Refuse logs and counts a stream that is not the one that is due, and returns the Error that ends its attempt.
func (s *Stream) Refuse(why error) error {
	return s.client.refuse(s.answer, why)
}

// cutField returns the value of a line's field with the given name.
func cutField(line []byte, name string) ([]byte, bool) {
	if len(line) <= len(name) || string(line[:len(name)]) != name || line[len(name)] != ':' {
		return nil, false
	}
	return bytes.TrimPrefix(line[len(name)+1:], []byte(" ")), true
}

// parseNumber parses the number of an event: decimal, from 1, without a sign or leading zeros.
func parseNumber(text []byte) (uint64, error) {
	n, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: event number: %w", event.ErrNoEvent, err)
	}
	if n < 1 || text[0] == '0' || text[0] == '+' {
		return 0, fmt.Errorf("%w: event number %q", event.ErrNoEvent, text)
	}
	return uint64(n), nil
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

// parseEventData decodes the data of an event into e. Fields that it does not know are ignored.
func parseEventData(e Event, data string) (Event, error) {
	if text, ok := plainText(data); ok && !e.Done {
		e.Text = text
		return e, nil
	}
	var body struct {
		Text     *string
		Count    *uint64
		Checksum *string
	}
	if !utf8.ValidString(data) {
		return Event{}, fmt.Errorf("event body: %w", errNoUTF8)
	}
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return Event{}, fmt.Errorf("event body: %w", err)
	}
	switch {
	case e.Done && body.Count != nil && body.Checksum != nil:
		e.Count, e.Checksum = *body.Count, *body.Checksum
	case !e.Done && body.Text != nil:
		e.Text = *body.Text
	default:
		return Event{}, fmt.Errorf("event body: %w", errIncomplete)
	}
	return e, nil
}

// Close closes the connection. The engine keeps the stream resumable for its resume grace period.
func (s *Stream) Close() {
	_ = s.answer.Body.Close()
}
