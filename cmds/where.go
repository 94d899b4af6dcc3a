package cmds

import (
	"context"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"
	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/sched"
	"cyclamenford/io/assign"
	"cyclamenford/io/peer"
	"cyclamenford/setup"
)

// clusterKeyEnvVar is the environment variable that holds the cluster key.
const clusterKeyEnvVar = "CYCLAMENFORD_CLUSTER_KEY"

func whereCommand() *cli.Command {
	return &cli.Command{
		Name: "where", Usage: "tell to which endpoint of a relay a request would go now and why not to the others, without sending it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "Keeper", Usage: "any keeper's peer listener as `IP:PORT`; it names the leader", Required: true},
			&cli.StringFlag{Name: "Key", Usage: "the cluster `KEY` that all hosts share", Sources: cli.EnvVars(clusterKeyEnvVar)},
			&cli.StringFlag{Name: "Settings", Usage: "take the cluster key from this relay host's settings `FILE`"},
			&cli.StringFlag{Name: "Service", Usage: "the `SERVICE` that the request is for", Required: true},
			&cli.StringFlag{Name: "FailureDomain", Usage: "the failure `DOMAIN` of the entry host"},
			&cli.StringFlag{Name: "Host", Usage: "the `ID` of the entry host, whose pauses apply"},
			&cli.IntFlag{Name: "Tokens", Usage: "the `NUMBER` of prompt tokens; the sum of the parts by default"},
			&cli.IntFlag{Name: "Output", Usage: "the largest `NUMBER` of output tokens"},
			&cli.StringSliceFlag{Name: "Parts", Usage: "the parts of the prompt as `ID:TOKENS`, in their order"},
			&cli.StringFlag{Name: "Version", Usage: "the software `VERSION` to which a continued stream is bound"},
			&cli.IntFlag{Name: "Priority", Usage: "the `RANK` of the request, 0 for the most urgent"},
			&cli.DurationFlag{Name: "Aim", Usage: "the `TIME` in which the first byte should come", Value: time.Minute},
			&cli.DurationFlag{Name: "Deadline", Usage: "the `TIME` in which the request must be served", Value: time.Minute},
			&cli.DurationFlag{Name: "Timeout", Usage: "give up after this `TIME`", Value: 5 * time.Second},
			&cli.BoolFlag{Name: "Json", Usage: "print JSON for scripts"},
		},
		Action: whereAction,
	}
}

func whereAction(ctx context.Context, c *cli.Command) error {
	ask, err := whereRequest(c)
	if err != nil {
		return err
	}
	key, err := clusterKey(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("Timeout"))
	defer cancel()
	client := peer.NewClient(key, nil, nil)
	reply, err := assign.Explain(ctx, client, c.String("Keeper"), ask)
	if stopErr := client.Stop(ctx); err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	if !c.Bool("Json") {
		printFate(c.Root().Writer, ask, reply)
	}
	return term.Show(c, reply, whereHeader(reply), whereRows(reply))
}

// clusterKey returns the key of --Key or of the file of --Settings.
func clusterKey(c *cli.Command) ([]byte, error) {
	if path := c.String("Settings"); path != "" {
		s, err := setup.LoadRelay(path)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", term.ErrUsage, err)
		}
		return []byte(s.Keys.Cluster), nil
	}
	if c.String("Key") == "" {
		return nil, fmt.Errorf("%w: expected --Key, %s or --Settings", term.ErrUsage, clusterKeyEnvVar)
	}
	return []byte(c.String("Key")), nil
}

// whereRequest returns the request that the flags describe.
func whereRequest(c *cli.Command) (order.PlacementRequest, error) {
	ask := order.PlacementRequest{
		Key: order.Key{Host: core.HostID(c.String("Host"))}, Service: c.String("Service"), FailureDomain: core.FailureDomain(c.String("FailureDomain")),
		Priority: c.Int("Priority"), MaxAttempts: 1,
		Aim: core.Millis(c.Duration("Aim").Milliseconds()), Left: core.Millis(c.Duration("Deadline").Milliseconds()),
		Continuation: order.Continuation{Bound: c.IsSet("Version"), Version: c.String("Version")},
	}
	sum := 0
	for _, text := range c.StringSlice("Parts") {
		// An ID may have colons of its own.
		colon := strings.LastIndexByte(text, ':')
		tokens, err := strconv.ParseUint(text[colon+1:], 10, 31)
		if colon <= 0 || err != nil {
			return ask, fmt.Errorf("%w: --Parts %q: expected ID:TOKENS", term.ErrUsage, text)
		}
		ask.Prompt.Parts = append(ask.Prompt.Parts, order.Part{ID: text[:colon], Tokens: int(tokens)})
		sum += int(tokens)
	}
	ask.Prompt.Tokens, ask.Prompt.Output = c.Int("Tokens"), c.Int("Output")
	if !c.IsSet("Tokens") {
		ask.Prompt.Tokens = sum
	}
	if ask.Prompt.Tokens < sum || ask.Prompt.Output < 0 || ask.Priority < 0 || max(ask.Prompt.Tokens, ask.Prompt.Output) > math.MaxInt32 {
		return ask, fmt.Errorf("%w: expected --Tokens of at least the sum of the parts (%d), and no negative numbers", term.ErrUsage, sum)
	}
	return ask, nil
}

// printFate prints what would happen to the request, and the age of what that rests on.
func printFate(w io.Writer, ask order.PlacementRequest, r assign.ExplainReply) {
	x := r.Explanation
	switch {
	case !r.Known:
		fmt.Fprintf(w, "%s is not a service of configuration %d\n", ask.Service, r.Config)
	case r.Plain:
		fmt.Fprintf(w, "%s is plain: each entry host chooses by itself, by what it has seen. The leader can only say what the roll lists.\n", ask.Service)
	case x.Fate == sched.Granted:
		e := x.Endpoints[0]
		fmt.Fprintf(w, "goes to %s: first byte expected in %d ms, %d of %d prompt tokens assumed cached\n", e.Endpoint, e.Expected, e.Cached, ask.Prompt.Tokens)
		if e.Home {
			fmt.Fprintln(w, "it is the home of the prompt's shared parts")
		}
	case x.Fate == sched.Waits:
		fmt.Fprintf(w, "waits for an endpoint, after %d others", x.Ahead)
		if x.Wait > 0 {
			fmt.Fprintf(w, "; a permit is expected in %d ms", x.Wait)
		}
		fmt.Fprintln(w)
	default:
		fmt.Fprintf(w, "is refused: %s (first byte predicted in %d ms, aim %d ms, deadline %d ms)\n", x.Reason, x.Predicted, ask.Aim, ask.Left)
	}
	fmt.Fprintf(w, "rests on configuration %d, revision %d, and what the leader of term %d has seen in %d ms", r.Config, r.Revision, r.Term, r.LeadsFor)
	if r.EndpointsCopied >= 0 {
		fmt.Fprintf(w, "; it took over a copy of the endpoints, %d ms old", r.EndpointsCopied)
	}
	if x.Copied {
		fmt.Fprintf(w, "; it took over a copy of the running requests, %d ms old", x.CopyAge)
	}
	if !x.Former.Settled {
		fmt.Fprintf(w, "; %d hosts have not listed their running requests yet", x.Former.Missing)
	}
	fmt.Fprintln(w)
}

func whereHeader(r assign.ExplainReply) []string {
	if r.Plain {
		return []string{"ENDPOINT", "DOMAIN", "VERSION", "ROLL", "ANNOUNCED MS"}
	}
	return []string{"ENDPOINT", "DOMAIN", "VERSION", "WHY", "CACHED", "RUNNING", "WINDOW", "ANNOUNCED MS", "REPORT MS"}
}

// whereRows returns a row for each endpoint. Ages and windows that do not exist are "-".
func whereRows(r assign.ExplainReply) [][]string {
	rows := make([][]string, 0, len(r.Explanation.Endpoints))
	for _, e := range r.Explanation.Endpoints {
		row := []string{string(e.Endpoint), string(e.FailureDomain), e.Version, whyNot(e, r)}
		if !r.Plain {
			window, report := "-", "-"
			if e.Window > 0 {
				window = strconv.FormatFloat(e.Window, 'f', 1, 64)
			}
			if e.Reported >= 0 {
				report = strconv.FormatInt(int64(e.Reported), 10)
			}
			row = append(row, strconv.Itoa(e.Cached), strconv.Itoa(e.Running), window)
			rows = append(rows, append(row, strconv.FormatInt(int64(e.Announced), 10), report))
			continue
		}
		rows = append(rows, append(row, strconv.FormatInt(int64(e.Announced), 10)))
	}
	return rows
}

// whyNot tells in a few words why an endpoint is not chosen.
func whyNot(e sched.EndpointExplanation, r assign.ExplainReply) string {
	why := ""
	switch {
	case e.Obstacle != "" && e.Left > 0:
		why = fmt.Sprintf("%s for %d ms", e.Obstacle, e.Left)
	case e.Obstacle != "":
		why = string(e.Obstacle)
	case r.Plain:
		why = "listed"
	case e.Chosen:
		why = "chosen"
	case r.Explanation.Fate != sched.Granted:
		why = "free"
	case e.Later < 0:
		why = fmt.Sprintf("starts %d ms earlier, but the chosen one is the home of the prompt's shared parts", -e.Later)
	default:
		why = fmt.Sprintf("starts %d ms later", e.Later)
	}
	if e.Cold {
		why += ", cold"
	}
	return why
}
