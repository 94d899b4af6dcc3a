package tree

import (
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"cyclamenford/core"
)

const (
	maxStages   = 16
	maxTokens   = 1 << 20
	maxDeadline = 24 * 60 * 60 * core.Second
	sha256Bytes = 32
	// shareRounding allows for rounding in the sum of the shares.
	shareRounding       = 1e-9
	nameExpected        = "1 to 64 letters, digits, '-', '_' or '.'"
	definedExpected     = "a name defined in Platform"
	uniqueExpected      = "a name used once"
	nonNegativeExpected = "0 or more"
	kindsExpected       = "Encode, Retrieve, Rerank or Generate"
)

// checker collects validation errors.
type checker struct {
	errs []error
}

// require adds an error with the path, the found and the expected value unless ok holds.
func (c *checker) require(ok bool, path string, found, expected any) {
	if !ok {
		c.errs = append(c.errs, core.NewFieldError(path, found, expected))
	}
}

// Check returns all validation errors of the tree, each with the path, the found and the expected value.
func (t Tree) Check() error {
	c := &checker{}
	c.priorities(t.Platform.Priorities)
	c.pipelines(t.Platform.Pipelines)
	c.services(t.Platform.Services)
	c.require(t.Platform.WeightBytesPerSecond >= 0, PlatformPath+".WeightBytesPerSecond", t.Platform.WeightBytesPerSecond, nonNegativeExpected)
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
		c.require(!seen[p.Priority], path+".Priority", p.Priority, uniqueExpected)
		c.require(p.Share >= 0 && p.Share <= 1, path+".Share", p.Share, "0 to 1")
		c.require(p.DeadlineMs >= 1 && p.DeadlineMs <= maxDeadline, path+".DeadlineMs", p.DeadlineMs, "1 to 86400000")
		seen[p.Priority] = true
		sum += p.Share
	}
	c.require(sum <= 1+shareRounding, PlatformPath+".Priorities", fmt.Sprintf("shares that sum to %g", sum), "a sum of at most 1")
}

func (c *checker) pipelines(list []Pipeline) {
	seen := map[string]bool{}
	for i, p := range list {
		path := fmt.Sprintf("%s.Pipelines[%d]", PlatformPath, i)
		c.require(validName(p.Name), path+".Name", p.Name, nameExpected)
		c.require(!seen[p.Name], path+".Name", p.Name, uniqueExpected)
		c.require(len(p.Stages) >= 1 && len(p.Stages) <= maxStages, path+".Stages", len(p.Stages), "1 to 16 stages")
		seen[p.Name] = true
		c.stages(path, p.Stages)
	}
}

func (c *checker) stages(parent string, list []Stage) {
	seen := map[string]bool{}
	for i, s := range list {
		path := fmt.Sprintf("%s.Stages[%d]", parent, i)
		known := slices.Contains(core.StageKinds, s.Kind) && s.Kind != core.Plain
		c.require(validName(s.Name), path+".Name", s.Name, nameExpected)
		c.require(!seen[s.Name], path+".Name", s.Name, uniqueExpected)
		c.require(known, path+".Kind", s.Kind, kindsExpected)
		c.require(validName(s.Model), path+".Model", s.Model, nameExpected)
		c.require(s.MaxTokens >= 0 && s.MaxTokens <= maxTokens, path+".MaxTokens", s.MaxTokens, "0 to 1048576")
		seen[s.Name] = true
	}
}

func (c *checker) services(list []Plain) {
	seen := map[string]bool{}
	for i, s := range list {
		path := fmt.Sprintf("%s.Services[%d]", PlatformPath, i)
		c.require(validName(s.Name), path+".Name", s.Name, nameExpected)
		c.require(!seen[s.Name], path+".Name", s.Name, uniqueExpected)
		seen[s.Name] = true
		calls := map[string]bool{}
		for j, call := range s.Calls {
			at := fmt.Sprintf("%s.Calls[%d].Name", path, j)
			c.require(validName(call.Name), at, call.Name, nameExpected)
			c.require(!calls[call.Name], at, call.Name, uniqueExpected)
			calls[call.Name] = true
		}
	}
}

func (c *checker) team(t Tree, id core.TeamID, keys map[string]core.TeamID) {
	team := t.Teams[id]
	path := TeamPath(id)
	c.require(validName(string(team.Organisation)), path+".Organisation", team.Organisation, nameExpected)
	c.require(team.Weight >= 0, path+".Weight", team.Weight, nonNegativeExpected)
	c.require(team.Limits.Concurrency >= 0, path+".Limits.Concurrency", team.Limits.Concurrency, nonNegativeExpected)
	c.require(team.Limits.RequestsPerSecond >= 0, path+".Limits.RequestsPerSecond", team.Limits.RequestsPerSecond, nonNegativeExpected)
	c.require(team.Limits.TokensPerSecond >= 0, path+".Limits.TokensPerSecond", team.Limits.TokensPerSecond, nonNegativeExpected)
	for i, k := range team.Keys {
		at := fmt.Sprintf("%s.Keys[%d].Sha256", path, i)
		raw, err := hex.DecodeString(k.Sha256)
		c.require(err == nil && len(raw) == sha256Bytes, at, k.Sha256, "64 hexadecimal digits")
		owner, taken := keys[k.Sha256]
		c.require(!taken, at, fmt.Sprintf("a key that team %s has too", owner), "a key of one team")
		keys[k.Sha256] = id
	}
	for i, name := range team.Pipelines {
		_, ok := t.Pipeline(name)
		c.require(ok, fmt.Sprintf("%s.Pipelines[%d]", path, i), name, definedExpected)
	}
	for i, name := range team.Services {
		ok := slices.ContainsFunc(t.Platform.Services, func(p Plain) bool { return p.Name == name })
		c.require(ok, fmt.Sprintf("%s.Services[%d]", path, i), name, definedExpected)
	}
}
