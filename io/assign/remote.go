package assign

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/core/state"
	"cyclamenford/io"
	"cyclamenford/io/follow"
)

const (
	// configTimeout bounds a change of the configuration. It is below the second after which the operator asks
	// another keeper.
	configTimeout = 900 * time.Millisecond
	// readTimeout bounds a read of the latest configuration.
	readTimeout = 800 * time.Millisecond
)

// ErrAnnouncementRejected reports that the leader did not accept an announcement.
var ErrAnnouncementRejected = errors.New("the leader did not take the announcement")

// ErrNoConfiguration reports that no configuration has been accepted yet.
var ErrNoConfiguration = errors.New("no configuration has been accepted yet")

// LeaderClient forwards the announcements of endpoints and the configuration calls of operators to the current leader.
type LeaderClient struct{ Follower *follow.Follower }

// Announce sends an announcement to the leader. If it returns no error, every entry host acts on the announcement from
// now on.
func (r LeaderClient) Announce(ctx context.Context, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := follow.CallLeader[AnnounceReply](ctx, r.Follower, Service+".Announce", a)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	if !reply.Taken {
		return fmt.Errorf("%w: %s", ErrAnnouncementRejected, reply.Detail)
	}
	return nil
}

// Cut reports to the leader requests whose connection to an endpoint broke. The leader determines from the endpoint's
// later announcements whether it has ended.
func (r LeaderClient) Cut(ctx context.Context, on core.Target, suspects []poison.Suspect) error {
	if _, err := follow.CallLeader[CutReply](ctx, r.Follower, Service+".Cut", CutArgs{On: on, Suspects: suspects}); err != nil {
		return fmt.Errorf("report broken connection to the leader: %w", err)
	}
	return nil
}

// LeaderHost returns the IP address of the leading keeper, empty if it is not known.
func (r LeaderClient) LeaderHost() string {
	host, _, err := net.SplitHostPort(r.Follower.LeaderAddress())
	if err != nil {
		// The leader's address is not known yet.
		return ""
	}
	return host
}

// Replace replaces the stored configuration. It returns an error if the keepers reject it, as when a newer one is in
// force.
func (r LeaderClient) Replace(ctx context.Context, version uint64, doc []byte) error {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	reply, err := r.Follower.Propose(ctx, state.Command{ReplaceConfig: &state.ReplaceConfig{Version: version, Doc: doc}})
	if err != nil {
		return fmt.Errorf("replace configuration: %w", err)
	}
	if reply.Result != state.Accepted {
		return fmt.Errorf("replace configuration: %s: %s", reply.Result, reply.Detail)
	}
	return nil
}

// Newest returns the latest configuration, confirmed by a majority of the keepers. It returns an error
// if none has been accepted yet.
func (r LeaderClient) Newest(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	answer, err := r.Follower.Query(ctx, io.Query{Config: true})
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	if answer.Config == nil || len(answer.Config.Doc) == 0 {
		return nil, ErrNoConfiguration
	}
	return answer.Config.Doc, nil
}
