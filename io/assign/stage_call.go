package assign

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/reply"
	"cyclamenford/io"
	"cyclamenford/io/permit"
	"cyclamenford/io/pipe"
)

// maxStageResponse bounds the body of the answer to a stage call in bytes. Its items are short handles.
const maxStageResponse = 1 << 20

var (
	// errCopiedAnswer means that an endpoint has sent the answer to an earlier call once more in the place of another one.
	errCopiedAnswer = errors.New("the endpoint sent an earlier answer once more")
	// errOtherPieces means that an answer does not hold one result of its own for each piece.
	errOtherPieces = errors.New("the answer does not hold one result for each piece")
)

// sendStageCall sends a stage call, which was decided at the given time, to its endpoint and returns the results and how
// the call ended. Of an answer that is not the one that is due, nothing is used.
func (a *Assigner) sendStageCall(c order.Call, decidedAt core.Millis) ([]order.ItemResult, order.AttemptOutcome, error) {
	call, err := a.dialect.StageCall(c.Endpoint, newCallID(), c.Items)
	if err != nil {
		return nil, order.Broken, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxCallTime(c).Duration())
	defer cancel()
	life := core.Life{Endpoint: c.Endpoint, Incarnation: c.Life}
	sentAt := a.clock.Now()
	// A call of a suspected request may have waited for its trial.
	permitted := c.Permitted && sentAt-decidedAt < permit.ValidityOf(c.Bounded)
	if !a.mayCall(life, c.FailureDomain, permitted, c.Bounded, len(c.Items), "stage call") {
		return nil, order.Rejected, nil
	}
	request := a.newPipeRequest(c.Address, "", call)
	request.SendBy = sentAt + io.CheckedTime
	if c.Bounded || a.permits.Bounded(life) {
		issuedAt := sentAt
		if permitted {
			issuedAt = decidedAt
		}
		request.SendBy = issuedAt + permit.BoundSendLimit
	}
	resp, err := a.pipe.Do(ctx, request)
	if errors.Is(err, pipe.ErrSentTooLate) {
		return nil, order.Rejected, err
	}
	if err != nil {
		return nil, outcomeOfSendError(err), err
	}
	defer resp.Close()
	verdict := a.dialect.ParseResponse(resp.Status, resp.Header)
	results, outcome, err := a.readStageAnswer(c, verdict, resp)
	// Answers without a result and an id are alike, so that one that comes once more could be taken for that to the next call on the
	// connection.
	if outcome == order.OtherEndpoint || err != nil || verdict.ID != call.ID && !hasHandle(results) {
		resp.EndConnection()
	}
	if outcome == order.Garbled {
		a.log.Warn("endpoint sent garbage", "call", call.ID, "number", c.Number, "service", c.Service, "endpoint", c.Endpoint, "status", resp.Status,
			"type", resp.Header["Content-Type"], "length", resp.Length, "reused", resp.Reused, "written", resp.Written, "err", err)
		a.meter.Count("endpoint_garbage_total", 1, "service", c.Service)
		return nil, outcome, err
	}
	a.applyStageNotice(life, verdict)
	a.recordStageLimit(life, verdict.Limit, sentAt)
	return results, outcome, err
}

// readStageAnswer reads the answer to a stage call and returns its results and how the call ended.
func (a *Assigner) readStageAnswer(c order.Call, verdict io.EndpointResponse, resp *pipe.Response) ([]order.ItemResult, order.AttemptOutcome, error) {
	if !verdict.NotRun {
		if err := reply.JSON.Check(resp.Head()); err != nil {
			return nil, order.Garbled, err
		}
	}
	body, err := resp.ReadAll(maxStageResponse)
	switch {
	case errors.Is(err, pipe.ErrAnswerTooLarge):
		return nil, order.Garbled, err
	case err != nil:
		return nil, order.Broken, err
	case verdict.OtherEndpoint:
		return nil, order.OtherEndpoint, nil
	case verdict.NotRun:
		return nil, order.Rejected, nil
	case resp.Status/100 != 2:
		return nil, order.Erred, fmt.Errorf("status %d", resp.Status)
	}
	results, err := a.dialect.ParseStageResults(body)
	if err != nil {
		return nil, order.Garbled, err
	}
	if err := checkResults(c.Items, results); err != nil {
		return nil, order.Garbled, err
	}
	// An answer that names its call is no earlier one.
	if verdict.ID == "" && hasHandle(results) && a.isCopy(core.Life{Endpoint: c.Endpoint, Incarnation: c.Life}, c.Items, body) {
		return nil, order.Garbled, errCopiedAnswer
	}
	return results, order.Served, nil
}

// hasHandle reports whether a piece has a result.
func hasHandle(results []order.ItemResult) bool {
	return slices.ContainsFunc(results, func(r order.ItemResult) bool { return r.Handle != "" })
}

// checkResults returns an error unless there is one result for each piece, and none of them twice.
func checkResults(items []order.Item, results []order.ItemResult) error {
	if len(results) != len(items) {
		return fmt.Errorf("%w: %d for %d pieces", errOtherPieces, len(results), len(items))
	}
	seen := make(map[string]bool, len(results))
	for _, r := range results {
		if r.Handle != "" && seen[r.Handle] {
			return fmt.Errorf("%w: %s twice", errOtherPieces, r.Handle)
		}
		seen[r.Handle] = true
	}
	return nil
}

// isCopy reports whether an endpoint has sent the answer to a call for other pieces before. The results of different pieces differ.
func (a *Assigner) isCopy(life core.Life, items []order.Item, body []byte) bool {
	var pieces []byte
	for _, i := range items {
		pieces = fmt.Appendf(pieces, "%s %d %d\n", i.ID, i.Stage, i.Piece)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answers.IsCopy(life, pieces, body)
}
