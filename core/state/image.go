package state

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"cyclamenford/core"
	"cyclamenford/core/poison"
	"cyclamenford/core/tree"
)

// The prefixes of the keys in the published image.
const (
	settingsPrefix  = "Settings/"
	hostPrefix      = "Host/"
	drainPrefix     = "Drain/"
	poisonPrefix    = "Poison/"
	partPrefix      = "Part/"
	retiredPrefix   = "Retired/"
	evacuatedPrefix = "Evacuated/"
	configKey       = "Config/"
	// supersededKey replaces the key of a delta that a later one supersedes.
	supersededKey = "Skipped/"
)

// Host is the latest incarnation of a host that has joined.
type Host struct {
	ID            core.HostID
	Incarnation   core.Incarnation
	FailureDomain core.FailureDomain
	PeerAddress   string
	// Keeper is the member identifier of the host's disk in the replicated log, or empty if the host has no disk.
	Keeper string
	// Expired means that the host's serving lease has run out.
	Expired bool
}

// Subtree is one version of a part of the settings tree.
type Subtree struct {
	Version  uint64
	Revision uint64
	Doc      []byte
	Author   string
	Unix     core.Millis
}

// Delta is one published change of a key; an empty value deletes the key.
type Delta struct {
	Revision uint64
	Key      string
	Value    []byte `cbor:",omitempty"`
}

// Image is the published part of the control state at one revision. It is immutable.
type Image struct {
	Revision uint64
	values   map[string][]byte
	Tree     tree.Tree
	Hosts    map[core.HostID]Host
	Drained  map[core.EndpointID]bool
	Poison   map[poison.Content]poison.Entry
	// Parts holds the crash records of parts of prompts.
	Parts map[poison.Content]poison.PartEntry
	// Config is the operator's configuration. Retired holds the incarnations of endpoints that get no new work.
	Config  Config
	Retired map[core.EndpointID]Retirement
	// Evacuated holds the evacuations of failure domains, and for a time those that have ended.
	Evacuated map[core.FailureDomain]Evacuation
}

// EmptyImage returns the empty image at revision 0.
func EmptyImage() Image {
	return Image{
		values: map[string][]byte{}, Hosts: map[core.HostID]Host{},
		Drained: map[core.EndpointID]bool{}, Poison: map[poison.Content]poison.Entry{}, Parts: map[poison.Content]poison.PartEntry{},
		Retired: map[core.EndpointID]Retirement{}, Evacuated: map[core.FailureDomain]Evacuation{},
	}
}

// With returns the image after applying deltas in order. Deltas at or below its revision are skipped.
func (i Image) With(deltas []Delta) (Image, error) {
	next := i
	next.values = maps.Clone(i.values)
	next.Hosts = maps.Clone(i.Hosts)
	next.Drained = maps.Clone(i.Drained)
	next.Poison = maps.Clone(i.Poison)
	next.Parts = maps.Clone(i.Parts)
	next.Retired = maps.Clone(i.Retired)
	next.Evacuated = maps.Clone(i.Evacuated)
	for _, d := range deltas {
		if d.Revision <= i.Revision {
			continue
		}
		if err := next.apply(d); err != nil {
			return i, fmt.Errorf("revision %d, key %s: %w", d.Revision, d.Key, err)
		}
		next.Revision = d.Revision
	}
	return next, nil
}

// Deltas returns the deltas that produce this image from an empty one.
func (i Image) Deltas() []Delta {
	list := make([]Delta, 0, len(i.values))
	for _, key := range slices.Sorted(maps.Keys(i.values)) {
		list = append(list, Delta{Revision: i.Revision, Key: key, Value: i.values[key]})
	}
	return list
}

// Subtree returns the current version of the settings subtree at a path.
func (i Image) Subtree(path string) (Subtree, bool) {
	raw, ok := i.values[settingsPrefix+path]
	if !ok {
		return Subtree{}, false
	}
	var s Subtree
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return Subtree{}, false
	}
	return s, true
}

// Paths returns the paths of all settings subtrees, sorted.
func (i Image) Paths() []string {
	var paths []string
	for _, key := range slices.Sorted(maps.Keys(i.values)) {
		if path, ok := strings.CutPrefix(key, settingsPrefix); ok {
			paths = append(paths, path)
		}
	}
	return paths
}

// apply stores a delta's value and updates the decoded field that its key belongs to. Keys with an unknown prefix are
// stored only.
func (i *Image) apply(d Delta) error {
	if len(d.Value) == 0 {
		delete(i.values, d.Key)
	} else {
		i.values[d.Key] = d.Value
	}
	kind, name, _ := strings.Cut(d.Key, "/")
	switch kind + "/" {
	case settingsPrefix:
		return i.applySettings(name, d.Value)
	case hostPrefix:
		return applyEntry(i.Hosts, core.HostID(name), d.Value)
	case drainPrefix:
		return applyEntry(i.Drained, core.EndpointID(name), d.Value)
	case poisonPrefix:
		return i.applyPoison(name, d.Value)
	case partPrefix:
		return i.applyPart(name, d.Value)
	case retiredPrefix:
		return applyEntry(i.Retired, core.EndpointID(name), d.Value)
	case evacuatedPrefix:
		return applyEntry(i.Evacuated, core.FailureDomain(name), d.Value)
	case configKey:
		return i.applyConfig(d.Value)
	}
	return nil
}

// applyEntry decodes a value into a map, or deletes the key if the value is empty.
func applyEntry[K comparable, V any](m map[K]V, key K, raw []byte) error {
	if len(raw) == 0 {
		delete(m, key)
		return nil
	}
	var v V
	if err := cbor.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("decode value: %w", err)
	}
	m[key] = v
	return nil
}

func (i *Image) applyConfig(raw []byte) error {
	var c Config
	if err := cbor.Unmarshal(raw, &c); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	i.Config = c
	return nil
}

func (i *Image) applySettings(path string, raw []byte) error {
	var s Subtree
	if len(raw) > 0 {
		if err := cbor.Unmarshal(raw, &s); err != nil {
			return fmt.Errorf("decode subtree: %w", err)
		}
	}
	next, err := i.Tree.With(path, s.Doc)
	if err != nil {
		return fmt.Errorf("apply subtree: %w", err)
	}
	i.Tree = next
	return nil
}

func (i *Image) applyPoison(name string, raw []byte) error {
	content, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return fmt.Errorf("quarantine key: %w", err)
	}
	return applyEntry(i.Poison, poison.Content(content), raw)
}
