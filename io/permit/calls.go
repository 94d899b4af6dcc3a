package permit

import (
	"cyclamenford/core"
	"cyclamenford/core/limit"
	"cyclamenford/io/keeper"
)

// calls holds the RPC methods that the issuer offers to hosts.
type calls struct{ issuer *Issuer }

// Take asks for a permit and waits for it as the arguments say.
func (c *calls) Take(args TakeArgs, reply *TakeReply) error {
	i := c.issuer
	i.mu.Lock()
	reply.Located = i.leader.Located()
	if !i.checkLeadership() {
		i.mu.Unlock()
		reply.Leading = false
		return nil
	}
	reply.Leading = true
	i.record(args.Report, args.Host)
	lives := i.candidates(args)
	if len(lives) == 0 {
		i.mu.Unlock()
		reply.Life, reply.Limited, reply.Bounded, reply.RetryAfter = args.Report.Life, true, true, NoIssuerHold
		i.meter.Count("permits_total", 1, "outcome", "bound_unknown")
		return nil
	}
	now := i.clock.Now()
	ask := limit.Ask{Life: i.issuer.First(now, lives), Priority: args.Priority, Due: now + args.Aim, Deadline: now, Final: args.Wait}
	if args.Wait {
		ask.Deadline = now + max(0, args.Left)
	}
	i.lastAsk++
	ask.Number = i.lastAsk
	waiter := make(chan limit.Answer, 1)
	i.waiters[ask.Number] = waiter
	reply.Bounded = i.issuer.Bounded(ask.Life)
	i.issuer.Ask(now, ask)
	i.deliver()
	i.mu.Unlock()
	answer, ok := <-waiter
	if !ok {
		reply.Located = keeper.Located{}
		return nil
	}
	reply.Life = ask.Life
	reply.Waited = max(0, answer.IssuedAt-now)
	reply.Permitted, reply.Limited, reply.RetryAfter = answer.Permitted, answer.Limited, answer.RetryAfter
	i.logAnswer(args, ask.Life, answer, i.clock.Now()-now)
	return nil
}

// logAnswer logs and counts the answer to a call.
func (i *Issuer) logAnswer(args TakeArgs, l core.Life, answer limit.Answer, waited core.Millis) {
	outcome := "refused"
	if answer.Permitted {
		outcome = "given"
	}
	i.log.Info("permit", "request", args.Request, "endpoint", l.Endpoint, "by", args.Host, "outcome", outcome,
		"limited", answer.Limited, "waited_ms", waited, "left_ms", args.Left, "wait", args.Wait, "retry_after_ms", answer.RetryAfter)
	i.meter.Count("permits_total", 1, "outcome", outcome)
}
