package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed wire.json
var wireFile []byte

// names holds the platform's names for headers, paths and fields, and its messages.
type names struct {
	Request, Remaining, Expected, Inputs, Pieces, PieceKey, Tokens, Prefix, Stamp, Load, NotRun, LastEvent, Resumes string

	ConfigPath, InstancesPath, ReadyPath, StageRunPath, StageFreePath string

	Beat      map[string]any
	BeatSeq   string
	KeysField string
	Config    map[string]any
	StageItem map[string]any
}

func loadNames() (names, error) {
	var n names
	if err := json.Unmarshal(wireFile, &n); err != nil {
		return n, fmt.Errorf("decode names: %w", err)
	}
	return n, nil
}
