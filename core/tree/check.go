package tree

import (
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"cyclamenford/core"
)

const (
	maxStages     = 16
	maxTokens     = 1 << 20
	maxDeadline   = 24 * 60 * 60 * core.Second
	sha256Bytes   = 32
	shareSlack    = 1e-9
	nameExpected  = "1 to 64 letters, digits, '-', '_' or '.'"
	notDefined    = "a name defined in Platform"
	uniqueWanted  = "a name used once"
	notNegative   = "0 or more"
	kindsExpected = "Encode, Retrieve, Rerank or Generate"
)

type checker struct {
	errs []error
}

func (c *checker) want(ok bool, path string, found, expected any) {
	if !ok {
		c.errs = append(c.errs, core.NewFieldError(path, found, expected))
	}
}

// Check returns every fault of the tree, each with its path, the found and the expected value.
func (t Tree) Check() error {
	c := &checker{}
	c.priorities(t.Platform.Priorities)
	c.pipelines(t.Platform.Pipelines)
	c.services(t.Platform.Services)
	c.want(t.Platform.WeightBytesPerSecond >= 0, PlatformPath+".WeightBytesPerSecond", t.Platform.WeightBytesPerSecond, notNegative)
	keys := map[string]core.TeamID{}
	for _, id := range t.TeamIDs() {
		c.team(t, id, keys)
	}
	return errors.Join(c.errs...)
}

func (c *checker) priorities(list []PriorityShare) {
	seen := map[core.Priority]bool{}
	sum := 0.0
	for i, p := range list {
		path := fmt.Sprintf("%s.Priorities[%d]", PlatformPath, i)
		c.want(!seen[p.Priority], path+".Priority", p.Priority, uniqueWanted)
		c.want(p.Share >= 0 && p.Share <= 1, path+".Share", p.Share, "0 to 1")
		c.want(p.DeadlineMs >= 1 && p.DeadlineMs <= maxDeadline, path+".DeadlineMs", p.DeadlineMs, "1 to 86400000")
		seen[p.Priority] = true
		sum += p.Share
	}
	c.want(sum <= 1+shareSlack, PlatformPath+".Priorities", fmt.Sprintf("shares that sum to %g", sum), "a sum of at most 1")
}

func (c *checker) pipelines(list []Pipeline) {
	seen := map[string]bool{}
	for i, p := range list {
		path := fmt.Sprintf("%s.Pipelines[%d]", PlatformPath, i)
		c.want(validName(p.Name), path+".Name", p.Name, nameExpected)
		c.want(!seen[p.Name], path+".Name", p.Name, uniqueWanted)
		c.want(len(p.Stages) >= 1 && len(p.Stages) <= maxStages, path+".Stages", len(p.Stages), "1 to 16 stages")
		seen[p.Name] = true
		c.stages(path, p.Stages)
	}
}

func (c *checker) stages(parent string, list []Stage) {
	seen := map[string]bool{}
	for i, s := range list {
		path := fmt.Sprintf("%s.Stages[%d]", parent, i)
		known := slices.Contains(core.StageKinds, s.Kind) && s.Kind != core.Plain
		c.want(validName(s.Name), path+".Name", s.Name, nameExpected)
		c.want(!seen[s.Name], path+".Name", s.Name, uniqueWanted)
		c.want(known, path+".Kind", s.Kind, kindsExpected)
		c.want(validName(s.Model), path+".Model", s.Model, nameExpected)
		c.want(s.MaxTokens >= 0 && s.MaxTokens <= maxTokens, path+".MaxTokens", s.MaxTokens, "0 to 1048576")
		seen[s.Name] = true
	}
}

func (c *checker) services(list []Plain) {
	seen := map[string]bool{}
	for i, s := range list {
		path := fmt.Sprintf("%s.Services[%d]", PlatformPath, i)
		c.want(validName(s.Name), path+".Name", s.Name, nameExpected)
		c.want(!seen[s.Name], path+".Name", s.Name, uniqueWanted)
		seen[s.Name] = true
		calls := map[string]bool{}
		for j, call := range s.Calls {
			at := fmt.Sprintf("%s.Calls[%d].Name", path, j)
			c.want(validName(call.Name), at, call.Name, nameExpected)
			c.want(!calls[call.Name], at, call.Name, uniqueWanted)
			calls[call.Name] = true
		}
	}
}

func (c *checker) team(t Tree, id core.TeamID, keys map[string]core.TeamID) {
	team := t.Teams[id]
	path := TeamPath(id)
	c.want(validName(string(team.Organisation)), path+".Organisation", team.Organisation, nameExpected)
	c.want(team.Weight >= 0, path+".Weight", team.Weight, notNegative)
	c.want(team.Limits.Concurrency >= 0, path+".Limits.Concurrency", team.Limits.Concurrency, notNegative)
	c.want(team.Limits.RequestsPerSecond >= 0, path+".Limits.RequestsPerSecond", team.Limits.RequestsPerSecond, notNegative)
	c.want(team.Limits.TokensPerSecond >= 0, path+".Limits.TokensPerSecond", team.Limits.TokensPerSecond, notNegative)
	for i, k := range team.Keys {
		at := fmt.Sprintf("%s.Keys[%d].Sha256", path, i)
		raw, err := hex.DecodeString(k.Sha256)
		c.want(err == nil && len(raw) == sha256Bytes, at, k.Sha256, "64 hexadecimal digits")
		owner, taken := keys[k.Sha256]
		c.want(!taken, at, fmt.Sprintf("a key that team %s has too", owner), "a key of one team")
		keys[k.Sha256] = id
	}
	for i, name := range team.Pipelines {
		_, ok := t.Pipeline(name)
		c.want(ok, fmt.Sprintf("%s.Pipelines[%d]", path, i), name, notDefined)
	}
	for i, name := range team.Services {
		ok := slices.ContainsFunc(t.Platform.Services, func(p Plain) bool { return p.Name == name })
		c.want(ok, fmt.Sprintf("%s.Services[%d]", path, i), name, notDefined)
	}
}
