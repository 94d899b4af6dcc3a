package opers

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"cyclamenford/cmds/term"

	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/state"
	"cyclamenford/io"
	"cyclamenford/io/admin"
	"cyclamenford/io/oper"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the keepers and the serving leases", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			var s io.Status
			if err := o.Get(ctx, "/v1/status", &s); err != nil {
				return err
			}
			if !c.Bool("Json") {
				fmt.Fprintf(c.Root().Writer, "leader %s  term %d  revision %d  voters %v  learners %v\n",
					s.Leader, s.Term, s.Revision, s.Config.Voters, s.Config.Learners)
			}
			var rows [][]string
			for _, l := range s.Leases {
				rows = append(rows, []string{string(l.Host), strconv.FormatUint(l.Revision, 10), strconv.FormatInt(int64(l.LeftMs), 10)})
			}
			return term.Show(c, s, []string{"HOST", "REVISION", "LEASE LEFT MS"}, rows)
		}),
	}
}

func hostsCommand() *cli.Command {
	return &cli.Command{
		Name: "hosts", Usage: "list the hosts", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			var list []admin.Host
			if err := o.Get(ctx, "/v1/hosts", &list); err != nil {
				return err
			}
			var rows [][]string
			for _, h := range list {
				state := "serving"
				if h.Expired {
					state = "expired"
				}
				rows = append(rows, []string{string(h.ID), string(h.FailureDomain), state, h.Keeper})
			}
			return term.Show(c, list, []string{"HOST", "FAILURE DOMAIN", "STATE", "DISK"}, rows)
		}),
	}
}

func endpointsCommand() *cli.Command {
	return &cli.Command{
		Name: "endpoints", Usage: "list the endpoints as the asked host sees them", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			var list []admin.Endpoint
			if err := o.Get(ctx, "/v1/endpoints", &list); err != nil {
				return err
			}
			var rows [][]string
			for _, e := range list {
				state := "serving"
				if e.Drained {
					state = "drained"
				}
				rows = append(rows, []string{
					string(e.ID), string(e.Kind), fmt.Sprint(e.Models), string(e.FailureDomain),
					fmt.Sprintf("%d/%d", e.Load.Running, e.Slots), state,
				})
			}
			return term.Show(c, list, []string{"ENDPOINT", "KIND", "MODELS", "FAILURE DOMAIN", "RUNNING", "STATE"}, rows)
		}),
	}
}

func poolsCommand() *cli.Command {
	return &cli.Command{
		Name: "pools", Usage: "show the asked host's queues", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			var list []admin.Pool
			if err := o.Get(ctx, "/v1/pools", &list); err != nil {
				return err
			}
			var rows [][]string
			for _, p := range list {
				rows = append(rows, []string{p.Pool, strconv.Itoa(p.Waiting), strconv.Itoa(p.Running), strconv.Itoa(p.Endpoints)})
			}
			return term.Show(c, list, []string{"POOL", "WAITING", "RUNNING", "ENDPOINTS"}, rows)
		}),
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell why a request was treated as it was, at the host that took it", ArgsUsage: "REQUEST",
		Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			id, err := term.Argument(c, 0, "REQUEST")
			if err != nil {
				return err
			}
			var list []desk.Decision
			if err := o.Get(ctx, "/v1/decisions/"+id, &list); err != nil {
				return err
			}
			var rows [][]string
			for _, d := range list {
				rows = append(rows, []string{
					d.Stage, string(d.Endpoint), d.Order, d.Route, string(d.Reason), strconv.FormatInt(int64(d.WaitedMs), 10),
				})
			}
			return term.Show(c, list, []string{"STAGE", "ENDPOINT", "ORDER", "ROUTE", "REASON", "WAITED MS"}, rows)
		}),
	}
}

func requestsCommand() *cli.Command {
	return &cli.Command{
		Name: "requests", Usage: "tell what became of a non-repeatable call", ArgsUsage: "ORGANISATION KEY", Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			org, err := term.Argument(c, 0, "ORGANISATION KEY")
			if err != nil {
				return err
			}
			key, err := term.Argument(c, 1, "ORGANISATION KEY")
			if err != nil {
				return err
			}
			var call admin.CallRecord
			if err := o.Get(ctx, "/v1/calls/"+org+"/"+key, &call); err != nil {
				return err
			}
			row := []string{call.Phase.String(), string(call.Outcome), string(call.Host), string(call.Endpoint)}
			return term.Show(c, call, []string{"PHASE", "OUTCOME", "HOST", "ENDPOINT"}, [][]string{row})
		}),
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "stop new work to an endpoint, or resume it with --Off", ArgsUsage: "ENDPOINT",
		Flags: operatorFlags(&cli.BoolFlag{Name: "Off", Usage: "resume new work"}),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			endpoint, err := term.Argument(c, 0, "ENDPOINT")
			if err != nil {
				return err
			}
			a, err := o.Drain(ctx, core.EndpointID(endpoint), !c.Bool("Off"))
			if err != nil {
				return err
			}
			if err := o.WaitForRevision(ctx, a.Revision); err != nil {
				return err
			}
			return term.Show(c, a, []string{"RESULT", "REVISION"}, [][]string{{string(a.Result), strconv.FormatUint(a.Revision, 10)}})
		}),
	}
}

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name: "evacuate", Usage: "stop new work to the endpoints of a failure domain, resume it with --Off, or list the evacuations", ArgsUsage: "[DOMAIN]",
		Flags: operatorFlags(&cli.BoolFlag{Name: "Off", Usage: "resume new work"}),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			if c.Args().Len() == 0 {
				return listEvacuations(ctx, c, o)
			}
			a, err := o.Evacuate(ctx, core.FailureDomain(c.Args().First()), !c.Bool("Off"))
			if err != nil {
				return err
			}
			if err := o.WaitForRevision(ctx, a.Revision); err != nil {
				return err
			}
			return term.Show(c, a, []string{"RESULT", "REVISION"}, [][]string{{string(a.Result), strconv.FormatUint(a.Revision, 10)}})
		}),
	}
}

func listEvacuations(ctx context.Context, c *cli.Command, o *oper.Client) error {
	var list []admin.Evacuation
	if err := o.Get(ctx, "/v1/evacuated", &list); err != nil {
		return err
	}
	var rows [][]string
	for _, e := range list {
		state := "evacuated"
		if e.Ended {
			state = "ended"
		}
		rows = append(rows, []string{string(e.FailureDomain), state, strconv.FormatUint(e.Revision, 10), strconv.FormatInt(int64(e.AgeMs), 10)})
	}
	return term.Show(c, list, []string{"FAILURE DOMAIN", "STATE", "REVISION", "AGE MS"}, rows)
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "list the requests and parts of prompts that crash endpoints, or release one with --Release",
		Flags: operatorFlags(&cli.StringFlag{Name: "Release", Usage: "release the request or part with this `CONTENT`"}),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			if content := c.String("Release"); content != "" {
				return o.ReleaseFromQuarantine(ctx, content)
			}
			var list []admin.Suspect
			if err := o.Get(ctx, "/v1/quarantine", &list); err != nil {
				return err
			}
			var rows [][]string
			for _, s := range list {
				standing := "suspected"
				if s.Convicted {
					standing = "quarantined"
				}
				kind := "request"
				if s.Part {
					kind = "part of prompts"
				}
				rows = append(rows, []string{s.Content, kind, string(s.Organisation), standing, strconv.Itoa(s.Crashes), string(s.Trial)})
			}
			return term.Show(c, list, []string{"CONTENT", "KIND", "ORGANISATION", "STANDING", "CRASHES", "TRIAL"}, rows)
		}),
	}
}

func ordersCommand() *cli.Command {
	return &cli.Command{
		Name: "orders", Usage: "list the orders to endpoints, or place one with --Place",
		Flags: operatorFlags(
			&cli.StringFlag{Name: "Place", Usage: "place an order of this `KIND`: LoadModel, LoadAdapter, ChangeRole or Drain"},
			&cli.StringFlag{Name: "Endpoint", Usage: "the `ENDPOINT` to order"},
			&cli.StringFlag{Name: "Target", Usage: "the model, adapter or role `NAME`"},
			&cli.StringFlag{Name: "TargetVersion", Usage: "the model's or adapter's `VERSION`"},
			&cli.Int64Flag{Name: "Bytes", Usage: "the `BYTES` to load from the weight store"},
			&cli.StringFlag{Name: "Priority", Usage: "Urgent, Normal or Bulk", Value: core.Normal.String()},
			&cli.StringFlag{Name: "Operation", Usage: "an `ID` that makes a resend harmless; a fresh one by default"},
		),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, o *oper.Client) error {
			if c.String("Place") != "" {
				return placeOrder(ctx, c, o)
			}
			var list []state.Order
			if err := o.Get(ctx, "/v1/orders", &list); err != nil {
				return err
			}
			return showOrders(c, list)
		}),
	}
}

// placeOrder places an order with the operation ID of --Operation or a fresh one, and prints the order.
func placeOrder(ctx context.Context, c *cli.Command, o *oper.Client) error {
	priority, err := core.ParsePriority(c.String("Priority"))
	if err != nil {
		return fmt.Errorf("%w: %w", term.ErrUsage, err)
	}
	opID := c.String("Operation")
	if opID == "" {
		opID = oper.NewOpID()
	}
	order, err := o.PlaceOrder(ctx, state.PlaceOrder{
		Endpoint: core.EndpointID(c.String("Endpoint")), Kind: state.OrderKind(c.String("Place")),
		Target: c.String("Target"), Version: c.String("TargetVersion"), Bytes: c.Int64("Bytes"), Priority: priority,
	}, opID)
	if err != nil {
		return fmt.Errorf("operation %s: %w", opID, err)
	}
	return showOrders(c, []state.Order{order})
}

func showOrders(c *cli.Command, list []state.Order) error {
	var rows [][]string
	for _, o := range list {
		rows = append(rows, []string{
			strconv.FormatUint(o.Fence, 10), string(o.Place.Endpoint), string(o.Place.Kind), o.Place.Target, string(o.Phase), o.Detail,
		})
	}
	return term.Show(c, list, []string{"FENCE", "ENDPOINT", "KIND", "TARGET", "PHASE", "DETAIL"}, rows)
}
