package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// chatEvents is the number of events of a chat, and chatGap the time between two of them.
	chatEvents = 40
	chatGap    = 100 * time.Millisecond
	// chats is the number of streams, which begin chatsGap after each other.
	chats    = 36
	chatsGap = 100 * time.Millisecond
	// crashTime is how long the crashed runner is down.
	crashTime = 2 * time.Second
	// chatDeadline is how long a client waits for a chat, and chatTries how often it tries.
	chatDeadline = 15 * time.Second
	chatTries    = 5
	// mixedStreams is the number of streams with events of two versions that the rule allows.
	mixedStreams = 2
)

// serveChat writes the events of a chat after the last one that the client has. Each event names the version that wrote it.
func serveChat(x *exchange) bool {
	r := x.runner
	first := 0
	if last := x.Header.Get(names.LastEvent); last != "" {
		first, _ = strconv.Atoi(last)
	}
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	if !x.write("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		names.RequestID, x.id, names.Stamp, x.stamp()) {
		return false
	}
	for i := first + 1; i <= chatEvents; i++ {
		time.Sleep(chatGap)
		e := fmt.Sprintf("id: %d\ndata: %s %s\n\n", i, x.RequestURI, version)
		if !x.write("%x\r\n%s\r\n", len(e), e) {
			return false
		}
	}
	return x.write("0\r\n\r\n")
}

// countMixed records a breach if more streams hold events of two software versions than the rule allows.
func (l *lab) countMixed() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note("streams with events of two versions: %d, streams whole: %d", l.mixed, l.whole)
	if l.mixed > mixedStreams {
		l.breach("%d streams hold events of two software versions", l.mixed)
	}
	return nil
}

// chat asks for a stream, and takes it up again after each break.
func (l *lab) chat(number int) {
	began, last, first := time.Now(), 0, ""
	key := l.newID()
	versions := map[string]int{}
	for try := range chatTries {
		left := chatDeadline - time.Since(began)
		q := question{id: l.newID(), method: http.MethodPost, path: "/chat/" + key, body: "hello", deadline: left, header: http.Header{}}
		q.header.Set(names.Model, "m")
		q.header.Set(names.TokenCount, "200,160")
		q.header.Set(names.PromptPrefix, "5c1e07a2:120,"+key+":80")
		if last > 0 {
			q.header.Set(names.LastEvent, fmt.Sprint(last))
			q.header.Set(names.Resumes, first)
		}
		r := l.ask(l.edges[(number+try)%len(l.edges)], q)
		for _, e := range strings.SplitAfter(r.body, "\n\n") {
			if f := strings.Fields(e); r.status == http.StatusOK && len(f) == 5 && strings.HasSuffix(e, "\n\n") {
				last, _ = strconv.Atoi(f[1])
				versions[f[4]]++
				if first == "" {
					first = q.id
				}
			}
		}
		if r.status == http.StatusOK && r.whole {
			break
		}
		pause := min(max(r.retryAfter, 20*time.Millisecond), (chatDeadline-time.Since(began))/3)
		if pause <= 0 {
			break
		}
		time.Sleep(pause)
	}
	l.note("stream %s has %d events of the versions %v", key, last, slices.Sorted(maps.Keys(versions)))
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(versions) > 1 {
		l.mixed++
	}
	if last == chatEvents {
		l.whole++
	}
}
