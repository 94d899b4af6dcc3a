package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a script.
const (
	ruleHeld = iota
	ruleBroken
	couldNotRun
)

//go:embed names.json
var namesJSON []byte

// names holds the names of the platform's protocol that the cases use.
var names struct {
	ConfigPath, SettingsVariable, Command, Config, Route string
}

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

func main() { os.Exit(run()) }

// run plays the case and returns the exit code.
func run() int {
	cases := map[string]func(context.Context, *deployment) error{"memory": playMemory, "first-start": playFirstStart}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		return couldNotRun
	}
	if err := json.Unmarshal(namesJSON, &names); err != nil {
		fmt.Fprintln(os.Stderr, "read names:", err)
		return couldNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := newDeployment(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "prepare:", err)
		return couldNotRun
	}
	defer d.close()
	err = cases[os.Args[1]](ctx, d)
	switch {
	case errors.Is(err, errBroken):
		d.record("result: %v", err)
		return ruleBroken
	case err != nil:
		d.record("could not run: %v", err)
		return couldNotRun
	}
	d.record("result: the rule held")
	return ruleHeld
}
