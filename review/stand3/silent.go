package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// silentTime is how long a runner of the last stage is silent, crashDelay the time from its end to the crash of a model runner, and modelDown
	// how long that one is down.
	silentTime, crashDelay, modelDown = 1200 * time.Millisecond, 350 * time.Millisecond, 1500 * time.Millisecond
	// silentLength is the length of the load and silentRate the number of requests in a second.
	silentLength, silentRate = 84 * time.Second, 14.0
	// finalPieces is the number of pieces of the last stage.
	finalPieces = 2
)

// serveChecked answers a layout with a long stream, after a check of its inputs.
func (s *store) serveChecked(x *exchange) bool {
	header := x.Header.Get(names.Inputs)
	inputs := strings.Split(header, ",")
	gone := len(inputs) != finalPieces
	for _, input := range inputs {
		exists, own := s.holds(input, x.id)
		gone = gone || !exists
		if input == "" || exists && !own {
			x.runner.lab.breach("request %s is sent to %s with the inputs %q", x.id, x.runner.id, header)
			break
		}
	}
	if gone {
		return x.write("HTTP/1.1 409 Conflict\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, x.id, names.NotExecuted)
	}
	first := 0
	if last := x.Header.Get(names.LastEvent); last != "" {
		first, _ = strconv.Atoi(last)
	}
	if !x.write("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		names.RequestID, x.id, names.Stamp, x.stamp()) {
		return false
	}
	for i := first + 1; i <= chatEvents; i++ {
		e := event(x.id, i)
		if !x.write("%x\r\n%s\r\n", len(e), e) {
			return false
		}
		time.Sleep(chatGap)
	}
	return x.write("0\r\n\r\n")
}

// playSilent lets one runner of the last stage fall silent again and again, and crashes a model runner after that.
func playSilent(l *lab) error {
	s := &store{results: map[string]made{}}
	return l.playLayouts(silentLength, silentRate, s.serveStage, s.serveChecked, func(byService map[string][]*runner, n int) error {
		silent, model := byService["portal"][n%4], byService["model"][n%4]
		silent.setSilent(true)
		time.Sleep(silentTime)
		silent.setSilent(false)
		time.Sleep(crashDelay)
		model.crash()
		time.Sleep(modelDown)
		if err := model.start(); err != nil {
			return fmt.Errorf("restart %s: %w", model.id, err)
		}
		return nil
	})
}
