package io

import (
	"net/http"

	"cyclamenford/core"
	"cyclamenford/core/brittle"
	"cyclamenford/core/conf"
	"cyclamenford/core/event"
	"cyclamenford/core/limit"
	"cyclamenford/core/notice"
	"cyclamenford/core/order"
)

// CheckedTime is how long after its last checks a request may still be written to the connection to its endpoint. The host may stand still
// meanwhile. It is below the 5 s after which nothing may reach an evacuated failure domain, and allows for connecting under high load.
const CheckedTime = 2 * core.Second

// Dialect encodes and decodes the HTTP protocol and the configuration format of a deployment. It is used for requests
// of clients, calls to endpoints and configurations from operators, and it makes no routing decisions.
type Dialect interface {
	// ParseRequest parses the headers of a client's request. An error names the invalid header.
	ParseRequest(r *http.Request) (ClientRequest, error)
	// RequestHeader builds the headers of the request to the endpoint from those of the client.
	RequestHeader(client http.Header, o EndpointRequest) http.Header
	// ParseResponse parses what an endpoint's response reports about the request and the endpoint.
	ParseResponse(status int, h http.Header) EndpointResponse
	// SetProblemHeader sets the headers of an error response that the relay itself produces.
	SetProblemHeader(h http.Header, id core.RequestID, p *core.Problem)
	// EventGrammar returns the grammar of the events of a stream.
	EventGrammar() event.Grammar
	// StageCall builds the call with the given ID that runs pieces at an endpoint of a stage.
	StageCall(to core.EndpointID, id core.RequestID, items []order.Item) (EndpointCall, error)
	// ParseStageResults parses the response to a stage call. The results are in the order of the call's items.
	ParseStageResults(body []byte) ([]order.ItemResult, error)
	// FreeResults builds the call with the given ID that tells an endpoint to free the results with these handles.
	FreeResults(to core.EndpointID, id core.RequestID, handles []string) (EndpointCall, error)
	// ParseConfig parses a complete configuration. The caller validates it.
	ParseConfig(doc []byte) (conf.Config, error)
}

// ClientRequest holds the parameters of a client's request, parsed from its headers.
type ClientRequest struct {
	ID core.RequestID
	// Left is the time until the client's deadline, 0 if the client sets none.
	Left   core.Millis
	Bearer string
	Prompt order.Prompt
	// Pieces is the number of pieces for each stage.
	Pieces   []int
	PieceKey string
	// LastEvent is the number of the last event that the client received before it resumes a stream, -1 for a new stream.
	LastEvent int64
	// Resumes is the ID of the attempt that brought the first event of the stream that the client resumes.
	Resumes core.RequestID
}

// EndpointRequest holds the values that the relay adds to the headers of a request to an endpoint.
type EndpointRequest struct {
	Endpoint     core.EndpointID
	Organisation core.OrganisationID
	Left         core.Millis
	// Urgency is the scheduling rank at engines, where 0 runs first. It is -1 for services without ranks.
	Urgency int
	Inputs  []string
	// LastEvent is the number of the event after which the stream continues, -1 to forward the client's value unchanged.
	LastEvent int64
}

// EndpointResponse holds what the headers of an endpoint's response report about the request and the endpoint.
type EndpointResponse struct {
	// ID is the request ID that the endpoint echoes in its response, empty if the head is ambiguous.
	ID core.RequestID
	// FromRunner is true if the response comes from a runner and not from something in between. NotRun is true if the
	// runner has not started to work on the request.
	FromRunner bool
	NotRun     bool
	// OtherEndpoint is true if a different endpoint now uses the address.
	OtherEndpoint bool
	// InputGone is true if a prepared input no longer exists.
	InputGone bool
	// Notice is the endpoint's own state (leaving, pausing). It is empty if a different endpoint answered.
	Notice notice.Notice
	// Limit is what the answer says about the rate of requests that the endpoint accepts.
	Limit limit.Statement
	// Load is what the answer says of the endpoint's load.
	Load order.LoadReport
	// Brittle is how many refusals the endpoint bears, if it says so.
	Brittle brittle.Statement
	// HeaderError describes a header that could not be parsed and is therefore ignored.
	HeaderError string
}

// IsUnnamed reports whether an answer that is no refusal names no request, so that it is no answer to one.
func (r EndpointResponse) IsUnnamed() bool { return !r.NotRun && r.ID == "" }

// LacksRoom reports whether a brittle endpoint has refused the request for want of room.
func (r EndpointResponse) LacksRoom() bool {
	return r.NotRun && !r.OtherEndpoint && !r.InputGone && r.Brittle.Stated
}

// EndpointCall is an HTTP request that the relay itself sends to an endpoint.
type EndpointCall struct {
	// ID identifies the call. Endpoints echo it in their response.
	ID     core.RequestID
	Method string
	Path   string
	Header http.Header
	Body   []byte
}
