package keeper

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core/quorum"
	"cyclamenford/io/peer"
)

// slowMember is another keeper, whose first call returns when it is released. It counts the bytes of entries in each call.
type slowMember struct {
	release chan struct{}
	arrived chan struct{}

	mu    sync.Mutex
	calls []int
	votes int
}

// Deliver counts the messages.
func (s *slowMember) Deliver(args Batch, _ *struct{}) error {
	bytes := 0
	s.mu.Lock()
	for _, m := range args.Messages {
		for _, e := range m.Entries {
			bytes += len(e.Data)
		}
		if m.Kind == quorum.Vote {
			s.votes++
		}
	}
	s.calls = append(s.calls, bytes)
	first := len(s.calls) == 1
	s.mu.Unlock()
	if first {
		close(s.arrived)
		<-s.release
	}
	return nil
}

func (s *slowMember) received() (total, largest, votes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, bytes := range s.calls {
		total, largest = total+bytes, max(largest, bytes)
	}
	return total, largest, s.votes
}

// await waits until what has arrived is enough.
func (s *slowMember) await(t *testing.T, enough func(total, votes int) bool) {
	t.Helper()
	var total, votes int
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if total, _, votes = s.received(); enough(total, votes) {
			return
		}
	}
	t.Fatalf("%d bytes of entries and %d votes have arrived", total, votes)
}

// TestMessagesThatWaitForAMemberAreBounded guards against a keeper that runs out of memory by what waits for a slow member, or by the encoding
// of all of it as one call. Votes are sent whatever waits.
func TestMessagesThatWaitForAMemberAreBounded(t *testing.T) {
	const (
		entryBytes = 128 << 10
		messages   = 200
		// maxCall bounds the entries of one call, and maxWaiting those of the call in progress and of all that wait.
		maxCall    = 1<<20 + entryBytes
		maxWaiting = 8<<20 + maxCall
	)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := free.Addr().String()
	must.NoError(t, free.Close())
	key := []byte("a key of the hosts in this test.")
	server := peer.NewServer(address, key, nil, slog.New(slog.DiscardHandler))
	member := &slowMember{release: make(chan struct{}), arrived: make(chan struct{})}
	must.NoError(t, server.Register(QuorumService, member))
	must.NoError(t, server.Start(t.Context()))
	client := peer.NewClient(key, nil, nil)
	o := newOutbox("", client, func(quorum.Member) string { return address }, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		o.stop()
		must.NoError(t, client.Stop(context.Background()))
		must.NoError(t, server.Stop(context.Background()))
	})

	change := quorum.Message{Kind: quorum.Append, To: "b/1", Entries: []quorum.Entry{{Index: 1, Data: make([]byte, entryBytes)}}}
	o.send([]quorum.Message{change})
	<-member.arrived
	for range messages {
		o.send([]quorum.Message{change})
	}
	o.send([]quorum.Message{{Kind: quorum.Vote, To: "b/1"}})
	close(member.release)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	must.NoError(t, o.pending.Wait(ctx))

	// A call that has exceeded its deadline on a busy machine may arrive later.
	member.await(t, func(total, votes int) bool { return total > maxWaiting/2 && votes == 1 })
	total, largest, _ := member.received()
	must.LessEq(t, maxCall, largest, must.Sprint("bytes of entries in one call"))
	must.LessEq(t, maxWaiting, total, must.Sprint("bytes of entries that waited"))

	o.send([]quorum.Message{change})
	member.await(t, func(after, _ int) bool { return after > total })
}
