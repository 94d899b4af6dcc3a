package poison

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

// Content identifies a request by a hash of its organisation, target and body. It does not depend on request IDs or
// keys, so a request keeps it when it is sent again.
type Content uint64

// NewContent returns the Content of an organisation's request with the given body. target lists the parts of the
// request's target.
func NewContent(org core.OrganisationID, body []byte, target ...string) Content {
	// Writes to a hash never fail, so the errors are ignored.
	h := xxhash.New()
	writePart := func(part string) {
		_, _ = h.WriteString(strconv.Itoa(len(part)))
		_, _ = h.WriteString(part)
	}
	writePart(string(org))
	for _, part := range target {
		writePart(part)
	}
	_, _ = h.Write(body)
	return Content(h.Sum64())
}

// String returns the content in hexadecimal, the form used in log lines.
func (c Content) String() string { return strconv.FormatUint(uint64(c), 16) }

// NewPartContent returns the Content of a part of a prompt for the engines of a service, whichever request holds it.
func NewPartContent(service, part string) Content {
	return NewContent("", nil, "part", service, part)
}

// ForStage returns the Content of the pieces that one stage prepares for a request. It differs from that of the request
// because pieces that crash a stage's endpoint need not crash the endpoint that serves the request.
func (c Content) ForStage(stage int) Content {
	return NewContent("", nil, c.String(), strconv.Itoa(stage))
}
