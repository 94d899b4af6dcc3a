package caller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

const (
	maxLineBytes   = 1 << 20
	maxAnswerBytes = 16 << 20
	maxIdlePerHost = 256
	idleTimeout    = 10 * time.Second
	maxResumes     = 8
	resumeDelay    = 50 * time.Millisecond
)

// ErrIncomplete reports a gap in a stream, or a closing event whose count or checksum does not match the received events.
var ErrIncomplete = errors.New("the stream is incomplete")

// Request describes a request to a host.
type Request struct {
	// Path is /v1/pipelines/NAME or /v1/services/NAME/CALL.
	Path           string
	Key            string
	Body           []byte
	Priority       string
	DeadlineMs     core.Millis
	IdempotencyKey string
	Stream         bool
}

// Reply is the result of a request.
type Reply struct {
	Outcome   core.Outcome
	Reason    core.Reason
	Detail    string
	Status    int
	RequestID core.RequestID
	Output    json.RawMessage
	Stages    json.RawMessage
	// Text, Events and Resumes describe a streamed answer.
	Text    string
	Events  uint64
	Resumes int
	// TimeToFirst is the time until the first event or the whole answer, and Elapsed the time until the end of the request.
	TimeToFirst, Elapsed time.Duration
	// Gaps are the times between consecutive events.
	Gaps         []time.Duration
	RetryAfterMs core.Millis
}

// Client sends requests to hosts over reused connections.
type Client struct {
	scheme string
	http   *http.Client
	// OnText, if not nil, is called with each chunk of text of a streamed answer.
	OnText func(string)
}

// New returns a Client. It uses plain HTTP if tlsConfig is nil.
func New(tlsConfig *tls.Config) *Client {
	c := &Client{scheme: "http", http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout, TLSClientConfig: tlsConfig,
	}}}
	if tlsConfig != nil {
		c.scheme = "https"
	}
	return c
}

// Do sends the request to the first host. If a stream breaks, it resumes the stream at the next hosts in turn.
func (c *Client) Do(ctx context.Context, hosts []string, q Request) (Reply, error) {
	began := time.Now()
	resp, err := c.send(ctx, hosts[0], q)
	if err != nil {
		return Reply{}, fmt.Errorf("send to %s: %w", hosts[0], err)
	}
	defer resp.Body.Close()
	r := Reply{Status: resp.StatusCode, RequestID: core.RequestID(resp.Header.Get("Request-Id"))}
	if resp.StatusCode != http.StatusOK {
		err = readProblem(resp.Body, &r)
	} else if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = c.readStream(ctx, hosts, q, resp, &r, began)
	} else {
		err = readAnswer(resp.Body, &r)
		r.TimeToFirst = time.Since(began)
	}
	r.Elapsed = time.Since(began)
	return r, err
}

// send posts the request to a host.
func (c *Client) send(ctx context.Context, host string, q Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+host+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+q.Key)
	if q.Priority != "" {
		req.Header.Set("Priority", q.Priority)
	}
	if q.DeadlineMs != 0 {
		req.Header.Set("Deadline-Ms", strconv.FormatInt(int64(q.DeadlineMs), 10))
	}
	if q.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	if q.Stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	return c.http.Do(req)
}

// readProblem decodes a problem document into r.
func readProblem(body io.Reader, r *Reply) error {
	var p struct {
		Outcome      core.Outcome `json:"outcome"`
		Reason       core.Reason  `json:"reason"`
		Detail       string       `json:"detail"`
		RetryAfterMs core.Millis  `json:"retryAfterMs"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&p); err != nil {
		return fmt.Errorf("decode problem: %w", err)
	}
	r.Outcome, r.Reason, r.Detail, r.RetryAfterMs = p.Outcome, p.Reason, p.Detail, p.RetryAfterMs
	return nil
}

// readAnswer decodes an answer that is not streamed into r.
func readAnswer(body io.Reader, r *Reply) error {
	var a struct {
		RequestID core.RequestID
		Outcome   core.Outcome
		Output    json.RawMessage
		Stages    json.RawMessage
	}
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&a); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	r.RequestID, r.Outcome, r.Output, r.Stages = a.RequestID, a.Outcome, a.Output, a.Stages
	return nil
}

// streamState is the state of a stream across its connections.
type streamState struct {
	token       string
	next        uint64
	hash        *xxhash.Digest
	text        strings.Builder
	lastEventAt time.Time
	ended       bool
}

// readStream reads a stream to its end. It resumes it at other hosts up to maxResumes times if the connection breaks.
func (c *Client) readStream(ctx context.Context, hosts []string, q Request, resp *http.Response, r *Reply, began time.Time) error {
	s := &streamState{next: 1, hash: xxhash.New()}
	err := c.readEvents(resp.Body, s, r, began)
	for try := 1; err != nil && !s.ended && s.token != "" && try <= maxResumes && len(hosts) > 1; try++ {
		time.Sleep(resumeDelay)
		again, sendErr := c.resume(ctx, hosts[try%len(hosts)], q.Key, s)
		if sendErr != nil {
			err = sendErr
			continue
		}
		r.Resumes++
		err = c.readEvents(again.Body, s, r, began)
		_ = again.Body.Close()
	}
	r.Text, r.Events = s.text.String(), s.next-1
	return err
}

// resume requests the events that follow the last one read.
func (c *Client) resume(ctx context.Context, host, key string, s *streamState) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+host+"/v1/streams/"+s.token, nil)
	if err != nil {
		return nil, fmt.Errorf("make resume: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Last-Event-ID", strconv.FormatUint(s.next-1, 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("resume at %s: %w", host, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		var r Reply
		return nil, fmt.Errorf("resume at %s: status %d: %w", host, resp.StatusCode, errors.Join(readProblem(resp.Body, &r), errors.New(r.Detail)))
	}
	return resp, nil
}

// readEvents reads events up to the closing event. It returns an error if the connection ends before that.
func (c *Client) readEvents(body io.Reader, s *streamState, r *Reply, began time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var name, id string
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "event: "):
			name = line[len("event: "):]
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			if err := c.handleEvent(s, r, name, id, line[len("data: "):], began); err != nil || s.ended {
				return err
			}
			name, id = "", ""
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return fmt.Errorf("read stream: %w", io.ErrUnexpectedEOF)
}

// handleEvent decodes an event and applies it to the stream state and the reply.
func (c *Client) handleEvent(s *streamState, r *Reply, name, id, data string, began time.Time) error {
	var e struct {
		Resume   string
		Text     string
		Outcome  core.Outcome
		Count    uint64
		Checksum string
	}
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	switch name {
	case "start":
		s.token = e.Resume
		return nil
	case "problem":
		s.ended = true
		return readProblem(strings.NewReader(data), r)
	case "done":
		s.ended = true
		r.Outcome = e.Outcome
		if e.Count != s.next-1 || e.Checksum != fmt.Sprintf("%016x", s.hash.Sum64()) {
			return ErrIncomplete
		}
		return nil
	}
	return c.handleText(s, r, id, e.Text, began)
}

// handleText appends the text of an event. It ignores duplicates and returns ErrIncomplete for a gap.
func (c *Client) handleText(s *streamState, r *Reply, id, text string, began time.Time) error {
	seq, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return fmt.Errorf("event number: %w", err)
	}
	if seq < s.next {
		return nil
	}
	if seq > s.next {
		return fmt.Errorf("found event %d, expected %d: %w", seq, s.next, ErrIncomplete)
	}
	now := time.Now()
	if s.next == 1 {
		r.TimeToFirst = now.Sub(began)
	} else {
		r.Gaps = append(r.Gaps, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.next++
	s.text.WriteString(text)
	// Writing to a hash never fails.
	_, _ = s.hash.WriteString(text)
	if c.OnText != nil {
		c.OnText(text)
	}
	return nil
}

// NewIdempotencyKey returns an idempotency key that contains its time of issue, a Unix time in milliseconds.
func NewIdempotencyKey(issued core.Millis, text string) string {
	return strconv.FormatInt(int64(issued), 10) + "-" + text
}
