package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/golden"
	"cyclamenford/core"
	"cyclamenford/core/ledger"
	"cyclamenford/core/origin"
	"cyclamenford/core/poison"
	"cyclamenford/core/quorum"
	"cyclamenford/core/state"
)

// TestStoredTypesKeepTheirFormat guards against fields renamed here: what a keeper of the release has stored would be read as zero.
func TestStoredTypesKeepTheirFormat(t *testing.T) {
	must.Eq(t, 1, FormatVersion)
	golden.CBOR[record](t, "Record")
	golden.CBOR[Identity](t, "Identity")
	golden.CBOR[quorum.Snapshot](t, "Snapshot")
}

// releaseFolder is a data folder as the release writes it: a snapshot after one round of commands and a log with another round.
var releaseFolder = filepath.Join(golden.Folder, "data")

// held is what is read from a data folder, and the state that its commands make. Its own names are those of the kept list.
type held struct {
	Identity  Identity
	HardState quorum.HardState
	Snapshot  quorum.Snapshot
	Entries   []quorum.Entry
	Commands  []state.Command
	Replies   []state.Reply
	Hosts     map[core.HostID]state.Host
	Drained   map[core.EndpointID]bool
	Suspects  map[poison.Content]poison.Entry
	Parts     map[poison.Content]poison.PartEntry
	Config    state.Config
	Retired   map[core.EndpointID]state.Retirement
	Evacuated map[core.FailureDomain]state.Evacuation
	Subtree   state.Subtree
	History   []state.Subtree
	Orders    []state.Order
	Calls     []ledger.Entry
	Versions  []string
	// Streams are the versions of the streams that began in the two rounds.
	Streams []string
}

// round returns commands of every kind for the log positions from first on; each round follows from the one before.
func round(number, first uint64) []state.Command {
	name := fmt.Sprint("r", number)
	at := core.Millis(1_700_000_000_000 + 1000*number)
	host := func(id core.HostID) state.Command {
		return state.Command{JoinHost: &state.JoinHost{Host: state.Host{
			ID: id, Incarnation: core.Incarnation(number), FailureDomain: "d", PeerAddress: "127.0.0.1:1", Keeper: "k", Expired: true,
		}}}
	}
	key := func(k string) ledger.Key { return ledger.Key{Organisation: "o", Text: name + k} }
	holder := func(id core.HostID) ledger.Holder {
		return ledger.Holder{Host: id, Incarnation: core.Incarnation(number), Attempt: "a"}
	}
	reserve := func(k string, id core.HostID) state.Command {
		return state.Command{Reserve: &state.Reserve{Key: key(k), IssuedAt: at, BodyHash: 5, Holder: holder(id)}}
	}
	answer := ledger.Answer{Outcome: core.Completed, Status: 200, Body: []byte("b"), Reason: core.ReasonBadAnswer, Endpoint: "e"}
	suspect := func(c poison.Content) state.Command {
		return state.Command{Suspect: &state.Suspect{
			Contents: []poison.Content{c}, Organisation: []core.OrganisationID{"o"}, Endpoint: core.EndpointID(name), Incarnation: 3,
			Patience: 1, Alone: true,
		}}
	}
	content := poison.Content(10 * number)
	list := []state.Command{
		host("h"),
		host("expires"),
		{PlaceOrder: &state.PlaceOrder{
			Endpoint: "e", Kind: state.LoadModel, Target: "m", Version: "v", Bytes: 9, Priority: core.Bulk,
		}},
		{FinishOrder: &state.FinishOrder{Fence: first + 2, Phase: state.OrderDone, Detail: "d"}},
		{SetSettings: &state.SetSettings{Path: "Teams/t", Version: number - 1, Doc: []byte(`{"Organisation": "o"}`), Author: "a"}},
		{ReplaceConfig: &state.ReplaceConfig{Version: number, Doc: []byte(name)}},
		{RetireEndpoint: &state.RetireEndpoint{Endpoint: core.EndpointID(name), Incarnation: 4}},
		{SetEvacuation: &state.SetEvacuation{FailureDomain: core.FailureDomain(name), On: true, Known: 1}},
		{Drain: &state.Drain{Endpoint: core.EndpointID(name), On: true}},
		reserve("finished", "h"),
		{Finish: &state.Finish{Key: key("finished"), Holder: holder("h"), Answer: answer}},
		reserve("released", "h"),
		{Release: &state.Release{Key: key("released"), Holder: holder("h")}},
		reserve("lost", "expires"),
		{ExpireHost: &state.ExpireHost{Holder: holder("expires")}},
		{Resolve: &state.Resolve{Key: key("lost"), Answer: answer}},
		suspect(content),
		{BeginTrial: &state.BeginTrial{Content: content, Endpoint: "e", Most: 7}},
		{EndTrial: &state.EndTrial{Content: content, Endpoint: "e", Well: true}},
		suspect(content + 1),
		{Pardon: &state.Pardon{Content: content + 1}},
		suspect(content + 2),
		{PartCrashes: &state.PartCrashes{
			Life:     core.Life{Endpoint: "e", Incarnation: 3},
			Requests: []state.PartCrash{{Request: content, Parts: []poison.Content{content + 3, content + 4}, Age: 2}},
		}},
		{PartTrial: &state.PartTrial{Parts: []poison.Content{content + 3}, Endpoint: "e", End: true, Limit: 7}},
		{ClearParts: &state.ClearParts{Parts: []poison.Content{content + 4}}},
		{AddVersion: &state.AddVersion{Service: name, Version: "v1"}},
		{AddVersion: &state.AddVersion{Service: name, Version: "v2"}},
		{BeginStreams: &state.BeginStreams{Began: []state.StreamsBegan{{Version: "v2", Streams: []origin.Stream{origin.Stream(number)}}}}},
		{SettleVersion: &state.SettleVersion{Service: name, Version: "v2", Former: []string{"v1", "v2"}}},
		{PurgeExpired: &state.PurgeExpired{}},
	}
	for i := range list {
		list[i].OpID, list[i].Unix = fmt.Sprint(name, "-", i), at+core.Millis(i)
	}
	return list
}

// writeRelease writes the folder anew. It holds the format of the release and must not be written to make a renamed field pass.
func writeRelease(t *testing.T) {
	t.Helper()
	must.NoError(t, os.RemoveAll(releaseFolder))
	folder, err := OpenFolder(releaseFolder)
	must.NoError(t, err)
	s, _, err := Open(folder, "h", 7)
	must.NoError(t, err)
	m := state.New()
	for i, c := range round(1, 1) {
		m.Apply(uint64(i+1), c)
	}
	raw, err := m.Snapshot()
	must.NoError(t, err)
	config := quorum.Config{Voters: []quorum.Member{"h/7", "i/8"}, Learners: []quorum.Member{"j/9"}}
	must.NoError(t, s.Bootstrap(quorum.Snapshot{Index: m.Applied(), Term: 2, Config: config, Data: raw}))
	var entries []quorum.Entry
	for i, c := range round(2, m.Applied()+1) {
		raw, err := c.Encode()
		must.NoError(t, err)
		entries = append(entries, quorum.Entry{Index: m.Applied() + 1 + uint64(i), Term: 3, Data: raw})
	}
	entries = append(entries, quorum.Entry{Index: entries[len(entries)-1].Index + 1, Term: 3, Kind: quorum.ConfigEntry, Config: &config})
	must.NoError(t, s.Save(&quorum.HardState{Term: 3, Vote: "h/7"}, entries))
	must.NoError(t, s.Close())
}

// TestDataFolderOfTheReleaseIsRead opens a folder that the release has written, replays its log and compares every field: a keeper that
// is replaced by the present code must not lose data.
func TestDataFolderOfTheReleaseIsRead(t *testing.T) {
	if *golden.Write {
		writeRelease(t)
	}
	path := filepath.Join(t.TempDir(), "data")
	must.NoError(t, os.CopyFS(path, os.DirFS(releaseFolder)))
	folder, err := OpenFolder(path)
	must.NoError(t, err)
	s, c, err := Open(folder, "h", 8)
	must.NoError(t, err)
	m, err := state.Restore(c.Snapshot.Data)
	must.NoError(t, err)
	h := held{Identity: s.Identity(), HardState: c.HardState, Snapshot: c.Snapshot, Entries: c.Entries}
	must.NoError(t, s.Close())
	for _, e := range c.Entries {
		if e.Kind != quorum.CommandEntry {
			continue
		}
		command, err := state.DecodeCommand(e.Data)
		must.NoError(t, err)
		h.Commands = append(h.Commands, command)
		h.Replies = append(h.Replies, m.Apply(e.Index, command))
	}
	i := m.Image()
	h.Hosts, h.Drained, h.Suspects, h.Parts, h.Config, h.Retired, h.Evacuated = i.Hosts, i.Drained, i.Poison, i.Parts, i.Config, i.Retired, i.Evacuated
	h.Subtree, _ = i.Subtree("Teams/t")
	h.History, h.Orders = m.History("Teams/t"), m.Orders()
	for _, k := range []string{"r1finished", "r1lost", "r2finished", "r2lost"} {
		call, ok := m.LedgerEntry(ledger.Key{Organisation: "o", Text: k})
		must.True(t, ok, must.Sprint(k))
		h.Calls = append(h.Calls, call)
	}
	h.Versions = m.Versions("r1")
	for n := range 2 {
		version, ok := m.StreamVersion("r1", origin.Stream(n+1))
		must.True(t, ok)
		h.Streams = append(h.Streams, version)
	}
	checkWhole(t, h.Commands)
	golden.Same(t, "data", h)
}

// TestDataFoldersOfFormerReleasesAreRead opens folders of the releases before the records of parts of prompts, before those of software
// versions, and before evacuations.
func TestDataFoldersOfFormerReleasesAreRead(t *testing.T) {
	for name, former := range map[string]struct {
		parts    int
		versions []string
	}{"former": {}, "former-parts": {parts: 2}, "former-streams": {parts: 2, versions: []string{"v2"}}} {
		path := filepath.Join(t.TempDir(), "data")
		must.NoError(t, os.CopyFS(path, os.DirFS(filepath.Join(golden.Folder, name))))
		folder, err := OpenFolder(path)
		must.NoError(t, err)
		_, c, err := Open(folder, "h", 8)
		must.NoError(t, err)
		m, err := state.Restore(c.Snapshot.Data)
		must.NoError(t, err)
		for _, e := range c.Entries {
			if e.Kind != quorum.CommandEntry {
				continue
			}
			command, err := state.DecodeCommand(e.Data)
			must.NoError(t, err)
			m.Apply(e.Index, command)
		}
		must.Eq(t, 2, m.Image().Config.Version)
		must.MapLen(t, 2, m.Image().Hosts)
		must.MapNotEmpty(t, m.Image().Poison)
		must.MapLen(t, former.parts, m.Image().Parts)
		must.Eq(t, former.versions, m.Versions("r1"))
		must.MapEmpty(t, m.Image().Evacuated)
	}
}

// checkWhole holds that the commands are of all kinds, each with no field left at zero.
func checkWhole(t *testing.T, commands []state.Command) {
	t.Helper()
	kinds := map[string]bool{}
	for _, c := range commands {
		_, zero := golden.Fields(c)
		for i := range reflect.TypeFor[state.Command]().NumField() {
			part, name := reflect.ValueOf(c).Field(i), reflect.TypeFor[state.Command]().Field(i).Name
			if part.IsZero() {
				continue
			}
			kinds[name] = true
			for _, z := range zero {
				must.False(t, strings.HasPrefix(z, "."+name+"."), must.Sprint(z, " is not set"))
			}
		}
	}
	must.MapLen(t, reflect.TypeFor[state.Command]().NumField(), kinds)
}
