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
	"strconv"
	"strings"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/state"
	"cyclamenford/io/admin"
)

const (
	callTimeout = 5 * time.Second
	maxBytes    = 64 << 20
)

// The errors that an answer can wrap.
var (
	ErrConflict = errors.New("the subtree has another version")
	ErrInvalid  = errors.New("the change is not valid")
	ErrNoQuorum = errors.New("the control state has no quorum in reach")
)

// Client calls the operators' interface of one host after the other until one answers.
type Client struct {
	hosts  []string
	key    string
	scheme string
	http   *http.Client
}

// New returns a client for the hosts' operators' listeners; tlsConfig is nil for plain HTTP.
func New(hosts []string, key string, tlsConfig *tls.Config) *Client {
	c := &Client{hosts: hosts, key: key, scheme: "http", http: &http.Client{}}
	if tlsConfig != nil {
		c.scheme = "https"
		c.http.Transport = &http.Transport{TLSClientConfig: tlsConfig}
	}
	return c
}

// NewOpID returns a fresh operation identifier.
func NewOpID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

// Get reads a path into value.
func (c *Client) Get(ctx context.Context, path string, value any) error {
	return c.call(ctx, http.MethodGet, path, nil, nil, value)
}

// Set replaces a subtree of the given version; resending it with the same operation identifier has no second effect.
func (c *Client) Set(ctx context.Context, path string, version uint64, doc []byte, opID string) (admin.Accepted, error) {
	var a admin.Accepted
	h := http.Header{"Version": {strconv.FormatUint(version, 10)}, "Operation-Id": {opID}}
	method := http.MethodPut
	if len(doc) == 0 {
		method = http.MethodDelete
	}
	err := c.call(ctx, method, "/v1/settings/"+path, h, doc, &a)
	return a, err
}

// Version returns the present version of a subtree, 0 when there is none.
func (c *Client) Version(ctx context.Context, path string) (uint64, error) {
	var history []admin.Subtree
	if err := c.Get(ctx, "/v1/history/"+path, &history); err != nil {
		return 0, err
	}
	if len(history) == 0 {
		return 0, nil
	}
	return history[len(history)-1].Version, nil
}

// Import sets the platform and every team of a tree, whatever versions are there.
func (c *Client) Import(ctx context.Context, docs map[string]json.RawMessage, order []string) (uint64, error) {
	revision := uint64(0)
	for _, path := range order {
		version, err := c.Version(ctx, path)
		if err != nil {
			return 0, fmt.Errorf("import %s: %w", path, err)
		}
		a, err := c.Set(ctx, path, version, docs[path], NewOpID())
		if err != nil {
			return 0, fmt.Errorf("import %s: %w", path, err)
		}
		revision = a.Revision
	}
	return revision, nil
}

// Wait returns once a revision is in force everywhere.
func (c *Client) Wait(ctx context.Context, revision uint64) error {
	var f admin.InForce
	if err := c.Get(ctx, "/v1/wait/"+strconv.FormatUint(revision, 10), &f); err != nil {
		return err
	}
	if !f.InForce {
		return fmt.Errorf("revision %d is not in force at %v", revision, f.Behind)
	}
	return nil
}

// Drain stops or resumes new work to an endpoint.
func (c *Client) Drain(ctx context.Context, endpoint core.EndpointID, on bool) (admin.Accepted, error) {
	method := http.MethodDelete
	if on {
		method = http.MethodPut
	}
	var a admin.Accepted
	err := c.call(ctx, method, "/v1/drains/"+string(endpoint), nil, nil, &a)
	return a, err
}

// Pardon releases a request from quarantine.
func (c *Client) Pardon(ctx context.Context, content string) error {
	return c.call(ctx, http.MethodDelete, "/v1/quarantine/"+content, nil, nil, &admin.Accepted{})
}

// Order places an order to an endpoint.
func (c *Client) Order(ctx context.Context, p state.PlaceOrder, opID string) (state.Order, error) {
	var o state.Order
	body, err := json.Marshal(p)
	if err != nil {
		return o, fmt.Errorf("encode order: %w", err)
	}
	err = c.call(ctx, http.MethodPost, "/v1/orders", http.Header{"Operation-Id": {opID}}, body, &o)
	return o, err
}

// call asks each host in turn; an answer other than «no quorum» is final.
func (c *Client) call(ctx context.Context, method, path string, h http.Header, body []byte, value any) error {
	var last error
	for {
		for _, host := range c.hosts {
			err := c.once(ctx, host, method, path, h, body, value)
			if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrInvalid) {
				return err
			}
			last = err
			if ctx.Err() != nil {
				return last
			}
		}
		if _, bounded := ctx.Deadline(); !bounded {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (c *Client) once(ctx context.Context, host, method, path string, h http.Header, body []byte, value any) error {
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
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return fmt.Errorf("read answer of %s: %w", host, err)
	}
	if resp.StatusCode != http.StatusOK {
		return failure(host, resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return fmt.Errorf("decode answer of %s: %w", host, err)
	}
	return nil
}

func failure(host string, status int, raw []byte) error {
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
