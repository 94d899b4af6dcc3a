package dial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/reply"
)

// Order is the body of POST /v1/orders.
type Order struct {
	// Fence is the fencing number. An endpoint that checks it rejects an order whose number is lower than the last one
	// it accepted.
	Fence   uint64
	Kind    string
	Target  string
	Version string `json:",omitempty"`
	Bytes   int64  `json:",omitempty"`
}

// OrderAnswer is the response body of POST /v1/orders.
type OrderAnswer struct {
	Fence  uint64
	Failed bool `json:",omitempty"`
	Detail string
}

// Order sends an order and returns the endpoint's answer. key authenticates the issuer to endpoints that check it.
func (c *Client) Order(ctx context.Context, target core.Target, key string, o Order) (OrderAnswer, error) {
	if !c.permitted(ctx, target, 0) {
		return OrderAnswer{}, fmt.Errorf("send order: %w", ErrNoPermit)
	}
	body, err := json.Marshal(o)
	if err != nil {
		return OrderAnswer{}, fmt.Errorf("encode order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(target.Address, "/v1/orders"), bytes.NewReader(body))
	if err != nil {
		return OrderAnswer{}, fmt.Errorf("make order: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	a, connected, err := c.accepted(c.do(c.unpooled, exchange{name: "Order", target: target, due: reply.JSON}, req))
	if err != nil {
		return OrderAnswer{}, transportError(err, connected)
	}
	defer a.Body.Close()
	var answer OrderAnswer
	if err := c.readJSON(a, &answer); err != nil {
		return OrderAnswer{}, err
	}
	if answer.Fence != o.Fence {
		return OrderAnswer{}, c.refuse(a, errWrongFence)
	}
	c.reportState(a)
	return answer, nil
}
