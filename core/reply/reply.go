package reply

import (
	"errors"
	"fmt"
	"mime"
)

// ErrNotDue means that an answer is not of the kind that its request is due.
var ErrNotDue = errors.New("not the answer that is due")

// The statuses that decide what an answer holds.
const (
	statusOK             = 200
	statusPartialContent = 206
	// firstError and lastError limit the statuses of errors.
	firstError = 400
	lastError  = 599
)

// The media types of answers that are parsed.
const (
	eventsType = "text/event-stream"
	jsonType   = "application/json"
)

// Kind is what a request is due as its success. What asks for it decides, and nothing in the answer.
type Kind string

// The kinds of successes.
const (
	// None is an answer without a body.
	None Kind = "None"
	// Events is a stream of events.
	Events Kind = "Events"
	// Body is one body of any type other than a stream of events.
	Body Kind = "Body"
	// JSON is a JSON document.
	JSON Kind = "JSON"
)

// Head holds what the head of an answer says of its body.
type Head struct {
	Status int
	// Length is the length of the body in bytes, or -1 if the head does not say.
	Length int64
	// Types and Encodings hold the values of the headers Content-Type and Content-Encoding, one for each line.
	Types, Encodings []string
}

// Check returns an error that wraps ErrNotDue if an answer claims success and is not of the kind. A failure may have any body, but it is
// no stream of events, and to a client that waits for one it says what it is.
func (k Kind) Check(h Head) error {
	named := mediaType(h.Types)
	switch {
	case h.Status > lastError:
		return fmt.Errorf("%w: status %d", ErrNotDue, h.Status)
	case k == None:
		return nil
	case h.Status/100 == 2:
		return k.checkSuccess(h, named)
	case named == eventsType:
		return fmt.Errorf("%w: events with status %d", ErrNotDue, h.Status)
	case k == Events && named == "" && h.Length != 0:
		return fmt.Errorf("%w: status %d with a body of content type %q", ErrNotDue, h.Status, h.Types)
	}
	return nil
}

// CheckError returns an error that wraps ErrNotDue unless a head is that of an error whose body is a JSON document.
func CheckError(h Head) error {
	switch {
	case h.Status < firstError || h.Status > lastError:
		return fmt.Errorf("%w: status %d", ErrNotDue, h.Status)
	case len(h.Encodings) > 0:
		return fmt.Errorf("%w: content encoding %q", ErrNotDue, h.Encodings)
	case mediaType(h.Types) != jsonType:
		return fmt.Errorf("%w: content type %q in place of %s", ErrNotDue, h.Types, jsonType)
	}
	return nil
}

// checkSuccess is Check for a success whose head names a media type.
func (k Kind) checkSuccess(h Head, named string) error {
	switch {
	case len(h.Encodings) > 0:
		return fmt.Errorf("%w: content encoding %q", ErrNotDue, h.Encodings)
	case k == Body && h.Status == statusPartialContent:
		return fmt.Errorf("%w: a part of a body", ErrNotDue)
	case k == Body && named == eventsType:
		return fmt.Errorf("%w: a stream of events in place of a body", ErrNotDue)
	case k == Body:
		return nil
	case h.Status != statusOK:
		return fmt.Errorf("%w: status %d", ErrNotDue, h.Status)
	case named != k.mediaType():
		return fmt.Errorf("%w: content type %q in place of %s", ErrNotDue, h.Types, k.mediaType())
	}
	return nil
}

// mediaType returns the media type that a head names, or an empty string if it names none, several or one that cannot be parsed.
func mediaType(types []string) string {
	if len(types) != 1 {
		return ""
	}
	kind, _, err := mime.ParseMediaType(types[0])
	if err != nil {
		// The head names no media type that anybody could read.
		return ""
	}
	return kind
}

// mediaType returns the media type of a kind that has only one.
func (k Kind) mediaType() string {
	if k == Events {
		return eventsType
	}
	return jsonType
}
