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
	// around is how long before and after a request's own lines a change of belief is told: longer than an endpoint
	// stays known without an announcement, and than a leader is missed.
	around = 5 * time.Second
	// longestLine is the longest log line read; a stage call names up to a few hundred requests.
	longestLine = 1 << 20
)

// changes are the lines that tell of a host's life, its dependencies or what it believes, and of lost lines.
var changes = []string{
	"host has started", "host is stopping", "host has stopped", "settings reloaded",
	"assigner started", "assigner stopped", "endpoints taken over", "leader replaced", "request placed anew",
	"configuration accepted", "configuration in force", "log lines dropped",
}

// endpointChanges are the lines that tell of one endpoint; they belong to a request that was sent to it.
var endpointChanges = []string{"endpoint leaves", "endpoint forgotten", "endpoint replaced at its address"}

// Line is one log line.
type Line struct {
	Time time.Time
	Host string
	Msg  string
	// Own tells that the line names the request itself, and is not a change around it.
	Own bool
	// Fields are the others, by name.
	Fields map[string]any
}

// Read returns the log lines of a reader; what stands before a line's first brace is passed over, as is text that is no
// JSON object with a time and a message, of which the number is returned.
func Read(r io.Reader) (lines []Line, passed int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			passed++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log: %w", err)
	}
	return lines, passed, nil
}

func parse(raw []byte) (Line, bool) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return Line{}, false
	}
	var l Line
	if json.Unmarshal(raw[at:], &l.Fields) != nil {
		return Line{}, false
	}
	at1, timed := l.Fields["time"].(string)
	msg, named := l.Fields["msg"].(string)
	when, err := time.Parse(time.RFC3339Nano, at1)
	if !timed || !named || err != nil {
		return Line{}, false
	}
	l.Time, l.Msg = when, msg
	l.Host, _ = l.Fields["host"].(string)
	for _, name := range []string{"time", "msg", "host", "level"} {
		delete(l.Fields, name)
	}
	return l, true
}

// Of returns, in the order of time, the lines about a request and the changes around them: of the hosts that its lines
// come from, and of the endpoints that they name.
func Of(id core.RequestID, lines []Line) []Line {
	var own []Line
	hosts, endpoints := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.names(id) {
			l.Own = true
			own = append(own, l)
			hosts[l.Host] = true
			if e, ok := l.Fields["endpoint"].(string); ok {
				endpoints[e] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	from, to := slices.MinFunc(own, byTime).Time.Add(-around), slices.MaxFunc(own, byTime).Time.Add(around)
	for _, l := range lines {
		if _, another := l.Fields["request"]; another || l.names(id) || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		e, _ := l.Fields["endpoint"].(string)
		if hosts[l.Host] && slices.Contains(changes, l.Msg) || endpoints[e] && slices.Contains(endpointChanges, l.Msg) {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own
}

// names reports whether the line names a request, alone or among those of a call.
func (l Line) names(id core.RequestID) bool {
	if l.Fields["request"] == string(id) {
		return true
	}
	list, _ := l.Fields["requests"].([]any)
	return slices.Contains(list, any(string(id)))
}
