package front

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"

	"cyclamenford/core"
	"cyclamenford/core/state"
	"cyclamenford/core/tree"
)

// keyring maps the hashes of bearer keys to teams. It is rebuilt when the revision of the settings changes.
type keyring struct {
	mu       sync.Mutex
	revision uint64
	built    bool
	teams    map[string]core.TeamID
}

// find returns the team with the given key hash.
func (k *keyring) find(image state.Image, hash string) (core.TeamID, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.built || k.revision != image.Revision {
		k.teams = map[string]core.TeamID{}
		for id, team := range image.Tree.Teams {
			for _, key := range team.Keys {
				k.teams[strings.ToLower(key.Sha256)] = id
			}
		}
		k.revision, k.built = image.Revision, true
	}
	id, ok := k.teams[hash]
	return id, ok
}

// HashKey returns the SHA-256 hash of a bearer key in hexadecimal, which is the form stored in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authenticate returns the team that the request's bearer key belongs to.
func (f *Front) authenticate(h http.Header) (core.TeamID, tree.Team, *core.Problem) {
	image := f.control.Image()
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", tree.Team{}, core.NewProblem(http.StatusUnauthorized, core.NotRun, core.ReasonUnauthenticated,
			"Authorization: expected Bearer KEY")
	}
	id, ok := f.keys.find(image, HashKey(key))
	if !ok {
		return "", tree.Team{}, core.NewProblem(http.StatusUnauthorized, core.NotRun, core.ReasonUnauthenticated,
			"the bearer key belongs to no team")
	}
	return id, image.Tree.Teams[id], nil
}
