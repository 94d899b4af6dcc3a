package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
	"cyclamenford/io/disk"
	"cyclamenford/io/peer"
	"cyclamenford/io/trace"
	"cyclamenford/io/wall"
)

// changeBound is the time within which operators want the answer to a change.
const changeBound = 4 * time.Second

// fullFolder fails Sync and Replace while full is set, and only Replace while noImages is set.
type fullFolder struct {
	disk.Folder
	full, noImages *atomic.Bool
}

type fullFile struct {
	disk.File
	full *atomic.Bool
}

var errFull = errors.New("no space left on device")

func (f fullFolder) Append(name string) (disk.File, error) {
	file, err := f.Folder.Append(name)
	return fullFile{file, f.full}, err
}

func (f fullFolder) Replace(name string, data []byte) error {
	if f.full.Load() || f.noImages.Load() {
		return errFull
	}
	return f.Folder.Replace(name, data)
}

// Write writes a part of the data before a full disk fails.
func (f fullFile) Write(p []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	return n, errors.Join(errFull, err)
}

func (f fullFile) Sync() error {
	if f.full.Load() {
		return errFull
	}
	return f.File.Sync()
}

// cluster runs three keepers in this process, each on a disk that can be made full.
type cluster struct {
	keepers [3]*Keeper
	full    [3]*atomic.Bool
	// noImages makes Replace fail on all disks, so that no snapshot can be written.
	noImages atomic.Bool
}

func startCluster(t *testing.T) *cluster {
	var founding []FoundingKeeper
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		founding = append(founding, FoundingKeeper{ID: core.HostID(fmt.Sprint("k", i)), Address: l.Addr().String()})
		must.NoError(t, l.Close())
	}
	x := &cluster{}
	for i := range x.keepers {
		x.full[i] = &atomic.Bool{}
		x.keepers[i] = startKeeper(t, founding, i, fullFolder{full: x.full[i], noImages: &x.noImages})
	}
	return x
}

func startKeeper(t *testing.T, founding []FoundingKeeper, i int, folder fullFolder) *Keeper {
	log := slog.New(slog.DiscardHandler)
	var err error
	folder.Folder, err = disk.OpenFolder(filepath.Join(t.TempDir(), "data"))
	must.NoError(t, err)
	store, contents, err := disk.Open(folder, founding[i].ID, 1)
	must.NoError(t, err)
	client := peer.NewClient([]byte("a secret of the test"), nil, nil)
	o := Options{Host: founding[i].ID, Address: founding[i].Address, Founding: founding, Voters: 3, ReplaceAfter: 60 * core.Second, Quorum: quorum.Defaults(), Trace: trace.New(trace.Options{})}
	k, err := New(o, store, contents, client, wall.New(), log)
	must.NoError(t, err)
	server := peer.NewServer(founding[i].Address, []byte("a secret of the test"), nil, log)
	must.NoError(t, k.Register(server))
	must.NoError(t, k.Start(context.Background()))
	must.NoError(t, server.Start(context.Background()))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = k.Stop(ctx)
		_ = server.Stop(ctx)
		_ = client.Stop(ctx)
	})
	return k
}

// leader waits until a keeper other than the given one leads and returns its index.
func (x *cluster) leader(t *testing.T, not int) int {
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		for i, k := range x.keepers {
			if i != not && k.locateLeader().Leading {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no keeper became leader within 30 s")
	return -1
}

func drainCommand(t *testing.T, endpoint string) []byte {
	raw, err := state.Command{Drain: &state.Drain{Endpoint: core.EndpointID(endpoint), On: true}}.Encode()
	must.NoError(t, err)
	return raw
}

// TestAKeeperWhoseDiskIsFullStepsDownAndComesBack guards against a full disk that ends a keeper for good or loses
// entries. It fills the leader's disk, waits for another leader and frees the disk again.
func TestAKeeperWhoseDiskIsFullStepsDownAndComesBack(t *testing.T) {
	x := startCluster(t)
	first := x.leader(t, -1)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := x.keepers[first].commit(ctx, drainCommand(t, "before"))
	must.NoError(t, err)

	x.full[first].Store(true)
	_, err = x.keepers[first].commit(ctx, drainCommand(t, "lost"))
	must.Error(t, err)
	must.False(t, x.keepers[first].locateLeader().Leading)

	second := x.leader(t, first)
	_, err = x.keepers[second].commit(ctx, drainCommand(t, "after"))
	must.NoError(t, err)
	image := x.keepers[second].machine.Image()
	must.True(t, image.Drained["before"] && image.Drained["after"])

	// With a second disk full, a majority needs the first keeper, whose disk has space again.
	x.full[first].Store(false)
	third := 3 - first - second
	x.full[third].Store(true)
	for {
		leader := x.leader(t, third)
		if _, err = x.keepers[leader].commit(ctx, drainCommand(t, "with the first")); err == nil {
			break
		}
		must.NoError(t, ctx.Err())
	}
	for !x.keepers[first].Image().Drained["with the first"] {
		must.NoError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
	must.True(t, x.keepers[first].Image().Drained["before"] && x.keepers[first].Image().Drained["after"])
	for _, k := range x.keepers {
		must.NoError(t, k.Err())
	}
}

// TestDisksThatFillWhileAnImageIsWrittenLoseNothing guards against the loss of acknowledged commands when the disks
// fill up during compaction. No keeper can write a snapshot once its log has outgrown the last one; acknowledged
// commands must still be there after the disks have space again.
func TestDisksThatFillWhileAnImageIsWrittenLoseNothing(t *testing.T) {
	x := startCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	x.leader(t, -1)
	x.noImages.Store(true)
	doc := make([]byte, minCompactionBytes/4)
	accepted := uint64(0)
	for version := uint64(1); version < 8; version++ {
		raw, err := state.Command{ReplaceConfig: &state.ReplaceConfig{Version: version, Doc: doc}}.Encode()
		must.NoError(t, err)
		if _, err := x.keepers[x.leader(t, -1)].commit(ctx, raw); err != nil {
			break
		}
		accepted = version
	}
	must.Between(t, 1, accepted, 6)
	x.noImages.Store(false)
	for {
		if _, err := x.keepers[x.leader(t, -1)].commit(ctx, drainCommand(t, "after")); err == nil {
			break
		}
		must.NoError(t, ctx.Err())
	}
	image := x.keepers[x.leader(t, -1)].Image()
	must.GreaterEq(t, accepted, image.Config.Version)
	must.True(t, image.Drained["after"])
}

// TestDisksThatAreFullOneAfterAnotherRefuseNothingForLong guards against keepers that stay out after their disks have space again, so that
// changes are refused or unanswered although all run. Every disk is full twice, never two at once, the leader's first.
func TestDisksThatAreFullOneAfterAnotherRefuseNothingForLong(t *testing.T) {
	x := startCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	// change commits a change within the time in which operators want their answer.
	change := func(name string) {
		began := time.Now()
		for {
			if _, err := x.keepers[x.leader(t, -1)].commit(ctx, drainCommand(t, name)); err == nil {
				break
			}
			must.NoError(t, ctx.Err())
			time.Sleep(10 * time.Millisecond)
		}
		must.Less(t, changeBound, time.Since(began), must.Sprint(name))
	}
	first := x.leader(t, -1)
	var names []string
	for round := range 2 {
		for i := range x.keepers {
			k := (first + i) % len(x.keepers)
			x.full[k].Store(true)
			for n := range 3 {
				name := fmt.Sprint("full-", round, "-", k, "-", n)
				change(name)
				names = append(names, name)
			}
			x.full[k].Store(false)
			name := fmt.Sprint("free-", round, "-", k)
			change(name)
			names = append(names, name)
		}
	}
	for _, k := range x.keepers {
		must.NoError(t, k.Err())
		for _, name := range names {
			for !k.Image().Drained[core.EndpointID(name)] {
				must.NoError(t, ctx.Err(), must.Sprint(name))
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
}
