package flow

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
	"cyclamenford/io/dial"
)

// ErrInvalidToken reports a resume token that is malformed or was not issued by this deployment to this organisation.
var ErrInvalidToken = errors.New("the resume token is not valid")

// resumePoint is the signed payload of a resume token: the attempt that produces the stream and the endpoint that runs it.
type resumePoint struct {
	Request      core.RequestID
	Attempt      core.AttemptID
	On           core.Target
	Organisation core.OrganisationID
}

func hexChecksum(h *xxhash.Digest) string {
	return fmt.Sprintf("%016x", h.Sum64())
}

// token returns a signed token with which the same organisation can resume the stream at any host.
func (r *Runner) token(q Request, attempt core.AttemptID, on core.Announcement) string {
	raw, err := json.Marshal(resumePoint{
		Request: q.ID, Attempt: attempt, On: on.Target(), Organisation: q.TeamSettings.Organisation,
	})
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(raw) + "." + r.sign(raw)
}

// sign returns the HMAC-SHA256 of a token's payload in hexadecimal.
func (r *Runner) sign(raw []byte) string {
	mac := hmac.New(sha256.New, r.options.TokenKey)
	mac.Write(raw)
	return hex.EncodeToString(mac.Sum(nil))
}

// parseToken verifies the signature and organisation of a resume token and returns its payload.
func (r *Runner) parseToken(token string, org core.OrganisationID) (resumePoint, error) {
	var p resumePoint
	body, signature, _ := strings.Cut(token, ".")
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return p, ErrInvalidToken
	}
	if !hmac.Equal([]byte(signature), []byte(r.sign(raw))) {
		return p, ErrInvalidToken
	}
	if err := json.Unmarshal(raw, &p); err != nil || p.Organisation != org {
		return p, ErrInvalidToken
	}
	return p, nil
}

// Resume reconnects to the endpoint named in the token and sends the caller the events of the stream that follow the
// given one.
func (r *Runner) Resume(ctx context.Context, q Request, token string, after uint64) (Answer, *core.Problem) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	p, err := r.parseToken(token, q.TeamSettings.Organisation)
	if err != nil {
		return Answer{}, core.NewProblem(http.StatusForbidden, core.NotRun, core.ReasonForbidden, "%v", err)
	}
	answer, problem := r.forwardResumed(ctx, q, p, token, after)
	if problem != nil && r.ended.Err() != nil {
		return Answer{}, core.NewProblem(http.StatusGatewayTimeout, core.Failed, core.ReasonHostStopping, "this host stops").WithRetryAfter(core.Second)
	}
	return answer, problem
}

// forwardResumed resumes the stream of an attempt and forwards its events until it stalls or the host stops.
func (r *Runner) forwardResumed(ctx context.Context, q Request, p resumePoint, token string, after uint64) (Answer, *core.Problem) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unregister := context.AfterFunc(r.ended, cancel)
	defer unregister()
	watchdog := time.AfterFunc(stallTimeout, cancel)
	defer watchdog.Stop()
	stream, err := r.Dial.Resume(ctx, p.On, p.Attempt, after+1)
	if err != nil {
		return Answer{}, resumeProblem(err)
	}
	defer stream.Close()
	if err := q.Sink.Start(token); err != nil {
		return Answer{}, core.NewProblem(499, core.Failed, core.ReasonCallerGone, "the caller has gone")
	}
	return forwardRest(stream, q.Sink, after+1, watchdog)
}

// forwardRest forwards the remaining events of a resumed stream, starting with event number next. The text before it is not known
// here, so that only the caller can compare the checksum, unless the stream is sent from its beginning.
func forwardRest(stream *dial.Stream, sink Sink, next uint64, watchdog *time.Timer) (Answer, *core.Problem) {
	hash := xxhash.New()
	for {
		e, err := stream.Next()
		watchdog.Reset(stallTimeout)
		if err == nil && e.Done && next == 1 && e.Checksum != hexChecksum(hash) {
			err = stream.Refuse(ErrChecksum)
		}
		switch {
		case err != nil:
			return Answer{}, streamProblem(err)
		case e.Done:
			return Answer{Count: e.Count, Checksum: e.Checksum}, nil
		}
		_, _ = hash.WriteString(e.Text)
		if err := sink.Event(e.Seq, e.Text); err != nil {
			return Answer{}, core.NewProblem(499, core.Failed, core.ReasonCallerGone, "the caller has gone")
		}
	}
}

// resumeProblem returns the problem of a stream that could not be resumed. Only a refusal of its engine shows that it is gone.
func resumeProblem(err error) *core.Problem {
	var e *dial.Error
	if errors.As(err, &e) && e.Refused {
		return core.NewProblem(http.StatusGone, core.Failed, core.ReasonUnknownStream, "the engine no longer has the stream: %v", err)
	}
	return streamProblem(err)
}

// streamProblem returns the problem of a resumed stream that has ended with an error.
func streamProblem(err error) *core.Problem {
	reason := core.ReasonConnectionLost
	var e *dial.Error
	if errors.As(err, &e) {
		reason = e.Reason
	}
	return core.NewProblem(http.StatusBadGateway, core.Failed, reason, "%v", err)
}
