package oper

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/state"
	"cyclamenford/io/admin"
)

const (
	callTimeout    = 5 * time.Second
	maxAnswerBytes = 64 << 20
)

// Errors that are wrapped by the errors of a Client's methods.
var (
	ErrConflict = errors.New("the subtree has another version")
	ErrInvalid  = errors.New("the change is not valid")
	ErrNoQuorum = errors.New("the control state has no quorum in reach")
)

// Client calls the operators' API. It tries the hosts in turn until one answers.
type Client struct {
	hosts  []string
	key    string
	scheme string
	http   *http.Client
}

// New returns a Client for the operators' addresses of the given hosts. It uses plain HTTP if tlsConfig is nil.
func New(hosts []string, key string, tlsConfig *tls.Config) *Client {
	c := &Client{hosts: hosts, key: key, scheme: "http", http: &http.Client{}}
	if tlsConfig != nil {
		c.scheme = "https"
		c.http.Transport = &http.Transport{TLSClientConfig: tlsConfig}
	}
	return c
}

// NewOpID returns a random operation ID, by which repeated changes are recognised.
func NewOpID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

// Get requests a path and decodes the JSON response into value.
func (c *Client) Get(ctx context.Context, path string, value any) error {
	return c.callAnyHost(ctx, http.MethodGet, path, nil, nil, value)
}

// SetSettings replaces a subtree if it has the given version, or deletes it if doc is empty. Repeating a call with the same
// operation ID has no further effect.
func (c *Client) SetSettings(ctx context.Context, path string, version uint64, doc []byte, opID string) (admin.ChangeResult, error) {
	var a admin.ChangeResult
	h := http.Header{"Version": {strconv.FormatUint(version, 10)}, "Operation-Id": {opID}}
	method := http.MethodPut
	if len(doc) == 0 {
		method = http.MethodDelete
	}
	err := c.callAnyHost(ctx, method, "/v1/settings/"+path, h, doc, &a)
	return a, err
}

// SettingsVersion returns the last version in the history of a subtree, 0 if it has no history.
func (c *Client) SettingsVersion(ctx context.Context, path string) (uint64, error) {
	var history []admin.Subtree
	if err := c.Get(ctx, "/v1/history/"+path, &history); err != nil {
		return 0, err
	}
	if len(history) == 0 {
		return 0, nil
	}
	return history[len(history)-1].Version, nil
}

// Import sets the given subtrees in order, regardless of their current versions, and returns the revision of the last
// change.
func (c *Client) Import(ctx context.Context, docs map[string]json.RawMessage, order []string) (uint64, error) {
	revision := uint64(0)
	for _, path := range order {
		version, err := c.SettingsVersion(ctx, path)
		if err != nil {
			return 0, fmt.Errorf("import %s: %w", path, err)
		}
		a, err := c.SetSettings(ctx, path, version, docs[path], NewOpID())
		if err != nil {
			return 0, fmt.Errorf("import %s: %w", path, err)
		}
		revision = a.Revision
	}
	return revision, nil
}

// WaitForRevision returns once every serving host has applied a revision.
func (c *Client) WaitForRevision(ctx context.Context, revision uint64) error {
	var f admin.WaitResult
	if err := c.Get(ctx, "/v1/wait/"+strconv.FormatUint(revision, 10), &f); err != nil {
		return err
	}
	if !f.InForce {
		return fmt.Errorf("revision %d is not in force at %v", revision, f.Behind)
	}
	return nil
}

// Drain stops new work for an endpoint, or allows it again.
func (c *Client) Drain(ctx context.Context, endpoint core.EndpointID, on bool) (admin.ChangeResult, error) {
	method := http.MethodDelete
	if on {
		method = http.MethodPut
	}
	var a admin.ChangeResult
	err := c.callAnyHost(ctx, method, "/v1/drains/"+string(endpoint), nil, nil, &a)
	return a, err
}

// Evacuate stops new work for the endpoints of a failure domain, or allows it again.
func (c *Client) Evacuate(ctx context.Context, domain core.FailureDomain, on bool) (admin.ChangeResult, error) {
	method := http.MethodDelete
	if on {
		method = http.MethodPut
	}
	var a admin.ChangeResult
	err := c.callAnyHost(ctx, method, "/v1/evacuated/"+url.PathEscape(string(domain)), nil, nil, &a)
	return a, err
}

// ReleaseFromQuarantine releases request content from quarantine.
func (c *Client) ReleaseFromQuarantine(ctx context.Context, content string) error {
	return c.callAnyHost(ctx, http.MethodDelete, "/v1/quarantine/"+content, nil, nil, &admin.ChangeResult{})
}

// PlaceOrder places an order for an endpoint.
func (c *Client) PlaceOrder(ctx context.Context, p state.PlaceOrder, opID string) (state.Order, error) {
	var o state.Order
	body, err := json.Marshal(p)
	if err != nil {
		return o, fmt.Errorf("encode order: %w", err)
	}
	err = c.callAnyHost(ctx, http.MethodPost, "/v1/orders", http.Header{"Operation-Id": {opID}}, body, &o)
	return o, err
}

// callAnyHost tries the hosts in turn until one succeeds or rejects the request. With a deadline in ctx it repeats the
// round until then; without one it makes a single round.
func (c *Client) callAnyHost(ctx context.Context, method, path string, h http.Header, body []byte, value any) error {
	var lastErr error
	for {
		for _, host := range c.hosts {
			err := c.callHost(ctx, host, method, path, h, body, value)
			if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrInvalid) {
				return err
			}
			lastErr = err
			if ctx.Err() != nil {
				return lastErr
			}
		}
		if _, bounded := ctx.Deadline(); !bounded {
			return lastErr
		}
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// callHost sends the request to one host. Except for waits, callTimeout limits its duration.
func (c *Client) callHost(ctx context.Context, host, method, path string, h http.Header, body []byte, value any) error {
	if !strings.HasPrefix(path, "/v1/wait/") {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+host+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	for name, values := range h {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("ask %s: %w", host, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read response of %s: %w", host, err)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(host, resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("decode response of %s: %w", host, err)
	}
	return nil
}

// responseError converts an error response into an error.
func responseError(host string, status int, raw []byte) error {
	var f struct{ Error string }
	if err := json.Unmarshal(raw, &f); err != nil {
		f.Error = string(raw)
	}
	switch status {
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrConflict, f.Error)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%s: %w: %s", host, ErrNoQuorum, f.Error)
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusNotFound, http.StatusUnauthorized:
		return fmt.Errorf("%w: %s", ErrInvalid, f.Error)
	}
	return fmt.Errorf("%s: status %d: %s", host, status, f.Error)
}
