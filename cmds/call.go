package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"

	"cyclamenford/core"
	"cyclamenford/io/caller"
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name: "call", Usage: "send a request as a caller: PIPELINE, or SERVICE/CALL, and a JSON body", ArgsUsage: "TARGET BODY",
		Flags: append(term.TLSFlags(),
			&cli.StringSliceFlag{Name: "Hosts", Usage: "the callers' listeners as `IP:PORT`", Value: []string{"127.0.0.1:7101"}},
			&cli.StringFlag{Name: "Key", Usage: "the team's bearer `KEY`", Required: true},
			&cli.StringFlag{Name: "Priority", Usage: "Urgent, Normal or Bulk"},
			&cli.Int64Flag{Name: "DeadlineMs", Usage: "the end-to-end deadline in `MS`"},
			&cli.StringFlag{Name: "IdempotencyKey", Usage: "the `KEY` of a call that may not be repeated; a fresh one by default"},
			&cli.BoolFlag{Name: "Whole", Usage: "wait for the whole answer instead of streaming it"},
		),
		Action: callAction,
	}
}

// callAction sends the request, prints the output as it arrives, and prints the outcome and timings to standard error.
func callAction(ctx context.Context, c *cli.Command) error {
	target, err := term.Argument(c, 0, "TARGET BODY")
	if err != nil {
		return err
	}
	body, err := term.Argument(c, 1, "TARGET BODY")
	if err != nil {
		return err
	}
	q := caller.Request{
		Path: "/v1/pipelines/" + target, Key: c.String("Key"), Body: []byte(body), Priority: c.String("Priority"),
		DeadlineMs: core.Millis(c.Int64("DeadlineMs")), IdempotencyKey: c.String("IdempotencyKey"), Stream: !c.Bool("Whole"),
	}
	if strings.Contains(target, "/") {
		q.Path, q.Stream = "/v1/services/"+target, false
		if q.IdempotencyKey == "" {
			q.IdempotencyKey = caller.NewIdempotencyKey(core.Millis(time.Now().UnixMilli()), "call")
		}
	}
	config, err := term.TLSConfig(c)
	if err != nil {
		return err
	}
	client := caller.New(config)
	w := c.Root().Writer
	client.OnText = func(text string) { fmt.Fprint(w, text) }
	r, err := client.Do(ctx, c.StringSlice("Hosts"), q)
	if err != nil {
		return err
	}
	if q.Stream && r.Events > 0 {
		fmt.Fprintln(w)
	} else if len(r.Output) > 0 {
		fmt.Fprintln(w, string(r.Output))
	}
	fmt.Fprintf(c.Root().ErrWriter, "%s %s request %s first %v whole %v events %d resumes %d\n",
		r.Outcome, r.Reason, r.RequestID, r.TimeToFirst.Round(time.Millisecond), r.Elapsed.Round(time.Millisecond), r.Events, r.Resumes)
	if r.Outcome != core.Completed {
		return fmt.Errorf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
	}
	return nil
}
