package tree

import (
	"maps"
	"slices"

	"cyclamenford/core"
)

// PlatformPath is the path of the subtree that all teams share.
const PlatformPath = "Platform"

// TeamPrefix starts the path of each team's subtree.
const TeamPrefix = "Teams/"

// TeamPath returns the path of a team's subtree.
func TeamPath(team core.TeamID) string {
	return TeamPrefix + string(team)
}

// Platform is the subtree of what all teams share.
type Platform struct {
	Priorities []PriorityShare
	Pipelines  []Pipeline
	Services   []Plain
	// WeightBytesPerSecond is the rate of the weight store that all loads share; 0 means no limit.
	WeightBytesPerSecond int64
}

// PriorityShare is the part of capacity that a priority keeps under any flood of the others.
type PriorityShare struct {
	Priority core.Priority
	// Share is a fraction of each pool's capacity; the shares sum to at most 1.
	Share float64
	// DeadlineMs is the deadline of a request that names none.
	DeadlineMs core.Millis
}

// Pipeline is an ordered list of stages under one deadline.
type Pipeline struct {
	Name   string
	Stages []Stage
}

// Stage is one step of a pipeline.
type Stage struct {
	Name  string
	Kind  core.StageKind
	Model string
	// MaxTokens bounds what a generation stage may write; 0 for other kinds.
	MaxTokens int
}

// Pool returns the endpoints that can run the stage.
func (s Stage) Pool() core.PoolID {
	return core.PoolID{Kind: s.Kind, Model: s.Model}
}

// Plain is a service outside the model pipelines.
type Plain struct {
	Name  string
	Calls []Call
}

// Call is one operation of a plain service.
type Call struct {
	Name string
	// Repeatable tells whether running the call twice does no harm.
	Repeatable bool
}

// Pool returns the endpoints that offer the service.
func (p Plain) Pool() core.PoolID {
	return core.PoolID{Kind: core.Plain, Model: p.Name}
}

// Team is the subtree of one team.
type Team struct {
	Organisation core.OrganisationID
	// Weight is the organisation's claim on capacity relative to the others; 0 counts as 1.
	Weight float64
	// Keys are the bearer keys, stored as hashes.
	Keys []Key
	// MaxPriority is the most urgent priority that the team may ask for.
	MaxPriority core.Priority
	Limits      Limits
	Pipelines   []string
	Services    []string
}

// Key is a bearer key by the SHA-256 of its text, in hexadecimal.
type Key struct {
	Name   string
	Sha256 string
}

// Limits bound a team's use over all hosts together; 0 means no limit.
type Limits struct {
	Concurrency       int
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Tree is a whole, checked set of settings; it is never changed in place.
type Tree struct {
	Platform Platform
	Teams    map[core.TeamID]Team
}

// WithPlatform returns a copy with another platform subtree.
func (t Tree) WithPlatform(p Platform) Tree {
	t.Platform = p
	return t
}

// WithTeam returns a copy in which the team's subtree is replaced or added.
func (t Tree) WithTeam(id core.TeamID, team Team) Tree {
	t.Teams = maps.Clone(t.Teams)
	if t.Teams == nil {
		t.Teams = map[core.TeamID]Team{}
	}
	t.Teams[id] = team
	return t
}

// WithoutTeam returns a copy that lacks the team's subtree.
func (t Tree) WithoutTeam(id core.TeamID) Tree {
	t.Teams = maps.Clone(t.Teams)
	delete(t.Teams, id)
	return t
}

// TeamIDs returns the teams in the order of their names.
func (t Tree) TeamIDs() []core.TeamID {
	return slices.Sorted(maps.Keys(t.Teams))
}

// Pipeline returns the pipeline with the given name.
func (t Tree) Pipeline(name string) (Pipeline, bool) {
	i := slices.IndexFunc(t.Platform.Pipelines, func(p Pipeline) bool { return p.Name == name })
	if i < 0 {
		return Pipeline{}, false
	}
	return t.Platform.Pipelines[i], true
}

// Call returns a service and one of its calls.
func (t Tree) Call(service, call string) (Plain, Call, bool) {
	for _, s := range t.Platform.Services {
		if s.Name != service {
			continue
		}
		for _, c := range s.Calls {
			if c.Name == call {
				return s, c, true
			}
		}
	}
	return Plain{}, Call{}, false
}

// Share returns the settings of a priority.
func (t Tree) Share(p core.Priority) PriorityShare {
	for _, s := range t.Platform.Priorities {
		if s.Priority == p {
			return s
		}
	}
	return PriorityShare{Priority: p, DeadlineMs: DefaultDeadline}
}

// DefaultDeadline is the deadline of a request when neither caller nor settings name one.
const DefaultDeadline = 3 * core.Second
