package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	stdio "io"
	"net/http"
	"strconv"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/state"
	"cyclamenford/io"
)

// maxDocBytes limits the size of a settings subtree. It is several times the size of the largest known subtree. The
// lower maxBodyBytes applies first.
const maxDocBytes = 16 << 20

// Subtree is the JSON form of a subtree of the settings.
type Subtree struct {
	Path     string
	Version  uint64
	Revision uint64
	Author   string
	UnixMs   core.Millis
	Doc      json.RawMessage `json:",omitempty"`
}

// ChangeResult is the response to an accepted change.
type ChangeResult struct {
	Result   state.Result
	Revision uint64
	Version  uint64
	Detail   string `json:",omitempty"`
}

// WaitResult is the response to a wait: whether all serving hosts have applied the revision, and which have not.
type WaitResult struct {
	InForce bool
	Behind  []core.HostID
}

// newSubtree converts a subtree of the replicated state to its JSON form.
func newSubtree(path string, s state.Subtree) Subtree {
	return Subtree{
		Path: path, Version: s.Version, Revision: s.Revision, Author: s.Author, UnixMs: s.Unix, Doc: s.Doc,
	}
}

func (a *Admin) listSettings(string, *http.Request) (any, error) {
	image := a.control.Image()
	list := []Subtree{}
	for _, path := range image.Paths() {
		s, _ := image.Subtree(path)
		v := newSubtree(path, s)
		v.Doc = nil
		list = append(list, v)
	}
	return list, nil
}

func (a *Admin) getSettings(_ string, r *http.Request) (any, error) {
	path := r.PathValue("path")
	s, ok := a.control.Image().Subtree(path)
	if !ok {
		return nil, &statusError{status: http.StatusNotFound, err: fmt.Errorf("no subtree at %q", path)}
	}
	return newSubtree(path, s), nil
}

func (a *Admin) listHistory(_ string, r *http.Request) (any, error) {
	path := r.PathValue("path")
	answer, err := a.control.Query(r.Context(), io.Query{Path: path})
	if err != nil {
		return nil, err
	}
	list := []Subtree{}
	for _, s := range answer.History {
		list = append(list, newSubtree(path, s))
	}
	return list, nil
}

// setSettings replaces or deletes a subtree if the Version header matches its current version.
func (a *Admin) setSettings(author string, r *http.Request) (any, error) {
	version, err := strconv.ParseUint(r.Header.Get("Version"), 10, 64)
	if err != nil {
		return nil, badRequest("header Version: found %q, expected the present version, 0 for a new subtree", r.Header.Get("Version"))
	}
	opID := r.Header.Get("Operation-Id")
	if opID == "" {
		return nil, badRequest("header Operation-Id: found none, expected a text that is used for this change alone")
	}
	doc, err := stdio.ReadAll(stdio.LimitReader(r.Body, maxDocBytes+1))
	if err == nil && len(doc) > maxDocBytes {
		return nil, badRequest("the body has more than %d bytes", maxDocBytes)
	}
	if err != nil {
		return nil, badRequest("read body: %w", err)
	}
	if r.Method == http.MethodDelete {
		doc = nil
	} else if len(doc) == 0 {
		return nil, badRequest("the body is empty, expected the subtree as JSON")
	}
	reply, err := a.control.Propose(r.Context(), state.Command{
		OpID:        author + "/" + opID,
		SetSettings: &state.SetSettings{Path: r.PathValue("path"), Version: version, Doc: doc, Author: author},
	})
	if err != nil {
		return nil, err
	}
	return changeResponse(reply)
}

// changeResponse converts the result of a change into a response: a conflict has status 409, any other rejection 422.
func changeResponse(reply state.Reply) (any, error) {
	switch reply.Result {
	case state.Accepted:
		return ChangeResult{Result: reply.Result, Revision: reply.Revision, Version: reply.Version}, nil
	case state.Conflict:
		return nil, &statusError{status: http.StatusConflict, err: errors.New(reply.Detail)}
	}
	return nil, &statusError{status: http.StatusUnprocessableEntity, err: errors.New(reply.Detail)}
}

// waitPollInterval is how often the leader is queried whether a revision is in force.
const waitPollInterval = 50 * time.Millisecond

// waitForRevision returns once every serving host has applied a revision, or when the request is cancelled.
func (a *Admin) waitForRevision(_ string, r *http.Request) (any, error) {
	revision, err := strconv.ParseUint(r.PathValue("revision"), 10, 64)
	if err != nil || revision == 0 {
		return nil, badRequest("revision: found %q, expected a number above 0", r.PathValue("revision"))
	}
	for {
		answer, err := a.control.Query(r.Context(), io.Query{AppliedBy: revision})
		if err != nil {
			return nil, err
		}
		if answer.InForce {
			return WaitResult{InForce: true}, nil
		}
		select {
		case <-r.Context().Done():
			return WaitResult{Behind: answer.Behind}, nil
		case <-time.After(waitPollInterval):
		}
	}
}
