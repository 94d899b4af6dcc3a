package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"cyclamenford/core"
)

const (
	// contextWindow is how long before and after a request's own lines the timeline includes other events. It is
	// longer than the time after which an endpoint without announcements is removed and than the time without a
	// leader during a change of leader.
	contextWindow = 5 * time.Second
	// maxLineLength is the maximum length of a log line in bytes. The line of a stage call lists up to a few hundred
	// requests.
	maxLineLength = 1 << 20
)

// hostEvents are the messages about a host's start and end, its dependencies or its view of the cluster, and about
// lost log lines.
var hostEvents = []string{
	"host has started", "host is stopping", "host has stopped", "settings reloaded",
	"assigner started", "assigner stopped", "endpoints taken over", "leader replaced", "request placed anew",
	"configuration accepted", "configuration in force", "log lines dropped",
}

// endpointEvents are the messages about one endpoint. They belong to the timeline of the requests that were sent to it.
var endpointEvents = []string{"endpoint leaves", "endpoint forgotten", "endpoint replaced at its address"}

// LogLine is a parsed log line.
type LogLine struct {
	Time time.Time
	Host string
	Msg  string
	// NamesRequest means that the line names the request itself, and is not an event around it.
	NamesRequest bool
	// Fields holds the remaining fields by name, without the level.
	Fields map[string]any
}

// Read parses the log lines of a reader. Text before the first brace of a line is ignored. Lines without a JSON
// object that has a time and a message are skipped; their number is returned.
func Read(r io.Reader) (lines []LogLine, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineLength)
	for s.Scan() {
		l, ok := parseLine(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log: %w", err)
	}
	return lines, skipped, nil
}

// parseLine parses one log line and reports whether it holds a JSON object with a time and a message.
func parseLine(raw []byte) (LogLine, bool) {
	brace := bytes.IndexByte(raw, '{')
	if brace < 0 {
		return LogLine{}, false
	}
	var l LogLine
	if json.Unmarshal(raw[brace:], &l.Fields) != nil {
		return LogLine{}, false
	}
	timeText, hasTime := l.Fields["time"].(string)
	msg, hasMessage := l.Fields["msg"].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, timeText)
	if !hasTime || !hasMessage || err != nil {
		return LogLine{}, false
	}
	l.Time, l.Msg = timestamp, msg
	l.Host, _ = l.Fields["host"].(string)
	for _, name := range []string{"time", "msg", "host", "level"} {
		delete(l.Fields, name)
	}
	return l, true
}

// Timeline returns the timeline of a request: the lines about it and the events around them, sorted by time. These are
// events of the hosts that wrote the request's lines and of the endpoints that these lines name. It returns nil if no
// line names the request.
func Timeline(id core.RequestID, lines []LogLine) []LogLine {
	var timeline []LogLine
	hosts, endpoints := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.mentions(id) {
			l.NamesRequest = true
			timeline = append(timeline, l)
			hosts[l.Host] = true
			if e, ok := l.Fields["endpoint"].(string); ok {
				endpoints[e] = true
			}
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	byTime := func(a, b LogLine) int { return a.Time.Compare(b.Time) }
	from, to := slices.MinFunc(timeline, byTime).Time.Add(-contextWindow), slices.MaxFunc(timeline, byTime).Time.Add(contextWindow)
	for _, l := range lines {
		if _, hasRequest := l.Fields["request"]; hasRequest || l.mentions(id) || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		e, _ := l.Fields["endpoint"].(string)
		if hosts[l.Host] && slices.Contains(hostEvents, l.Msg) || endpoints[e] && slices.Contains(endpointEvents, l.Msg) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

// mentions reports whether the line names a request, alone or in a list of requests.
func (l LogLine) mentions(id core.RequestID) bool {
	if l.Fields["request"] == string(id) {
		return true
	}
	list, _ := l.Fields["requests"].([]any)
	return slices.Contains(list, any(string(id)))
}
