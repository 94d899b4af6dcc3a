package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// foreignSeq is the count of the other writer, which has sent more announcements than the runners.
	foreignSeq = 100000
	// beforeCrash is the time from the first stream to the crash.
	beforeCrash = 1500 * time.Millisecond
)

// playForeign sends announcements of another writer, which lack a field, and then crashes one of four runners, which have two software
// versions.
func playForeign(l *lab) error {
	var runners []*runner
	for i, version := range []string{"v1", "v2", "v1", "v2"} {
		r := &runner{
			lab: l, id: fmt.Sprint("i-model", i), service: "model", zone: zones[i%len(zones)], version: version, ip: fmt.Sprintf("127.83.2.%d", i+1), slots: 64,
			serve: serveChat,
		}
		if err := r.start(); err != nil {
			return err
		}
		runners = append(runners, r)
	}
	if err := l.startAll(text("config.json", map[string]string{"VERSION": "1"})); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		for _, r := range runners {
			if status := r.send("foreign.json", foreignSeq); status == 0 || status >= http.StatusInternalServerError {
				return fmt.Errorf("no keeper has taken the announcement of another writer: %d", status)
			}
		}
	}
	time.Sleep(300 * time.Millisecond)
	var clients sync.WaitGroup
	for i := range chats {
		clients.Go(func() { l.chat(i) })
		time.Sleep(beforeCrash / chats)
	}
	runners[0].crash()
	time.Sleep(crashTime)
	if err := runners[0].start(); err != nil {
		return err
	}
	clients.Wait()
	return l.countMixed()
}
