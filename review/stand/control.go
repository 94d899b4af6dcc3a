package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// callControl sends a call to the keepers in turn until one answers with a status below 500, as the operator and the endpoints do.
func (d *deployment) callControl(method, path string, body []byte) (int, []byte, error) {
	client := http.Client{Timeout: time.Second}
	var last error
	first := rand.IntN(keepers)
	for i := range keepers {
		h := d.hosts[(first+i)%keepers]
		req, err := http.NewRequest(method, "http://"+h.ip+":"+d.control+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, fmt.Errorf("make call: %w", err)
		}
		resp, err := client.Do(req)
		if err != nil {
			last = err
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode >= 500 {
			last = errors.Join(err, fmt.Errorf("status %d", resp.StatusCode))
			continue
		}
		return resp.StatusCode, raw, nil
	}
	return 0, nil, fmt.Errorf("%s %s: %w", method, path, last)
}

// configure sends a configuration until it is acknowledged.
func (d *deployment) configure(config map[string]any) error {
	raw, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, _, err := d.callControl(http.MethodPut, d.names.ConfigPath, raw)
		if err == nil && status == http.StatusOK {
			d.record.note("configuration %v acknowledged", config["version"])
			return nil
		}
		d.record.note("configuration not acknowledged: status %d, %v", status, err)
	}
	return errors.New("no configuration was acknowledged")
}

// beat sends one announcement of an endpoint.
func (d *deployment) beat(e *endpoint) error {
	e.mu.Lock()
	e.seq++
	body := maps.Clone(d.names.Beat)
	state := "ready"
	if e.draining {
		state = "draining"
	}
	for field, value := range body {
		switch value {
		case "SERVICE":
			body[field] = e.service
		case "ADDRESS":
			body[field] = e.address
		case "ZONE":
			body[field] = e.zone
		case "VERSION":
			body[field] = e.version
		case "STATE":
			body[field] = state
		}
	}
	body["born"], body[d.names.BeatSeq], body["slots"] = e.born, e.seq, e.slots
	e.mu.Unlock()
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	status, text, err := d.callControl(http.MethodPut, d.names.InstancesPath+e.id, raw)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("announcement of %s: status %d: %s", e.id, status, strings.TrimSpace(string(text)))
	}
	return nil
}

// announce announces an endpoint periodically until stop is closed.
func (d *deployment) announce(e *endpoint, stop chan struct{}) {
	for {
		if err := d.beat(e); err != nil {
			d.record.note("announcement failed: %v", err)
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}
