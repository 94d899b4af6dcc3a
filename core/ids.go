package core

// HostID identifies one host process. It is unique in a deployment.
type HostID string

// EndpointID identifies one endpoint. It is unique in a deployment.
type EndpointID string

// FailureDomain identifies a group of machines that may fail together.
type FailureDomain string

// OrganisationID identifies a customer. Its teams count as one in the fair division of capacity.
type OrganisationID string

// TeamID identifies a team, which has its own subtree of the settings and its own bearer keys.
type TeamID string

// RequestID identifies one request of a caller.
type RequestID string

// AttemptID identifies one dispatch of one stage to one endpoint.
type AttemptID string

// Incarnation identifies one run of a host or endpoint. A later start has a larger number.
type Incarnation uint64

// Life identifies one incarnation of an endpoint.
type Life struct {
	Endpoint    EndpointID
	Incarnation Incarnation
}

// Target is one incarnation of an endpoint with its network address.
type Target struct {
	Life
	Address string
}
