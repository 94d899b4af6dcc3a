package tree

import (
	"maps"
	"slices"

	"cyclamenford/core"
)

// PlatformPath is the path of the subtree that is common to all teams.
const PlatformPath = "Platform"

// TeamPrefix is the path prefix of the teams' subtrees.
const TeamPrefix = "Teams/"

// TeamPath returns the path of a team's subtree.
func TeamPath(team core.TeamID) string {
	return TeamPrefix + string(team)
}

// Platform is the subtree that is common to all teams.
type Platform struct {
	Priorities []PriorityShare
	Pipelines  []Pipeline
	Services   []Plain
	// WeightBytesPerSecond is the bandwidth of the weight store, which all model loads share; 0 means no limit.
	WeightBytesPerSecond int64
}

// PriorityShare is the part of capacity that is reserved for a priority, however many requests the others have.
type PriorityShare struct {
	Priority core.Priority
	// Share is a fraction of each pool's capacity; the shares sum to at most 1.
	Share float64
	// DeadlineMs is the default deadline of the priority's requests.
	DeadlineMs core.Millis
}

// Pipeline is an ordered list of stages that share one deadline.
type Pipeline struct {
	Name   string
	Stages []Stage
}

// Stage is one step of a pipeline.
type Stage struct {
	Name  string
	Kind  core.StageKind
	Model string
	// MaxTokens is the maximum output of a generation stage; it is 0 for other kinds.
	MaxTokens int
}

// Pool returns the ID of the pool of endpoints that can run the stage.
func (s Stage) Pool() core.PoolID {
	return core.PoolID{Kind: s.Kind, Model: s.Model}
}

// Plain is a service that is called directly and not as a stage of a pipeline.
type Plain struct {
	Name  string
	Calls []Call
}

// Call is one operation of a plain service.
type Call struct {
	Name string
	// Repeatable means that running the call more than once does no harm.
	Repeatable bool
}

// Pool returns the ID of the pool of endpoints that offer the service.
func (p Plain) Pool() core.PoolID {
	return core.PoolID{Kind: core.Plain, Model: p.Name}
}

// Team is the subtree of one team.
type Team struct {
	Organisation core.OrganisationID
	// Weight is the organisation's share of capacity relative to other organisations; 0 counts as 1.
	Weight float64
	// Keys are the hashed bearer keys.
	Keys []Key
	// MaxPriority is the most urgent priority that the team's requests may have.
	MaxPriority core.Priority
	Limits      Limits
	Pipelines   []string
	Services    []string
}

// Key is a bearer key, of which only the SHA-256 hash is stored, in hexadecimal.
type Key struct {
	Name   string
	Sha256 string
}

// Limits are a team's limits across all hosts; 0 means no limit.
type Limits struct {
	Concurrency       int
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Tree is a whole set of settings. It is immutable; the With methods return changed copies.
type Tree struct {
	Platform Platform
	Teams    map[core.TeamID]Team
}

// WithPlatform returns a copy in which the platform subtree is replaced.
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

// WithoutTeam returns a copy without the team's subtree.
func (t Tree) WithoutTeam(id core.TeamID) Tree {
	t.Teams = maps.Clone(t.Teams)
	delete(t.Teams, id)
	return t
}

// TeamIDs returns the IDs of all teams, sorted.
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

// Call returns the named service and its named call, or false if either is undefined.
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

// Share returns the settings of a priority, or no share and the default deadline if it has none.
func (t Tree) Share(p core.Priority) PriorityShare {
	for _, s := range t.Platform.Priorities {
		if s.Priority == p {
			return s
		}
	}
	return PriorityShare{Priority: p, DeadlineMs: DefaultDeadline}
}

// DefaultDeadline is the deadline of a request if neither the caller nor the settings specify one.
const DefaultDeadline = 3 * core.Second
