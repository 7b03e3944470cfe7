package ingress

import "time"

// Limits are the limits of callers that the configuration names.
type Limits struct {
	// HeaderTimeout is how long the header of a request may take, and how long a connection may
	// be open before its first request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open between two requests.
	IdleTimeout time.Duration
	// MaxHeader is the largest header of a request in bytes.
	MaxHeader int
}

// The limits that no configuration names.
const (
	// bodyTimeout is how long a body may pause. Callers leave if a request has not been read
	// after one second.
	bodyTimeout = 5 * time.Second
	// pressedBodyTimeout replaces it while more than half of the memory for requests is used.
	pressedBodyTimeout = time.Second
	// minProgress is how many bytes of a body count as progress: with single ones, a body could
	// hold its memory up to the deadline of its request.
	minProgress = 1 << 10
	// WriteTimeout is how long a caller may accept nothing of a response. Over loopback, where a
	// segment has 64 KiB, a reader of 10 KB a second opens its window every 13 s only.
	WriteTimeout = 15 * time.Second
	// patience is how long a connection may wait for its caller until it is closed before busy
	// ones if there are too many.
	patience = time.Second
)

// Cause is why a connection was closed that had not ended by itself.
type Cause string

// The causes.
const (
	// CauseNone is that of a connection that stays open.
	CauseNone Cause = ""
	// CauseIdle is the end of the idle timeout, which is usual.
	CauseIdle Cause = "Idle"
	// CauseHeaderSlow is a header that did not end in time, CauseHeaderLarge one over the limit,
	// CauseHeaderMemory one that the memory for requests did not hold and CauseHeaderMalformed one
	// that is no HTTP.
	CauseHeaderSlow      Cause = "HeaderSlow"
	CauseHeaderLarge     Cause = "HeaderTooLarge"
	CauseHeaderMemory    Cause = "HeaderNoMemory"
	CauseHeaderMalformed Cause = "HeaderMalformed"
	// CauseAmbiguousBody is a header that leaves in doubt where the body ends, as by a length and
	// chunks: a part of the body could be taken for another request.
	CauseAmbiguousBody Cause = "AmbiguousBody"
	// CauseBodyStalled is a body that stopped arriving; its request is refused.
	CauseBodyStalled Cause = "BodyStalled"
	// CauseUnread is a response that its caller does not read.
	CauseUnread Cause = "ResponseUnread"
	// CauseReplaced is that of a connection that was closed for a new one, CauseFull that of a new
	// one which found no place.
	CauseReplaced Cause = "Replaced"
	CauseFull     Cause = "Full"
)

// causes lists all causes that are counted.
var causes = [...]Cause{
	CauseIdle, CauseHeaderSlow, CauseHeaderLarge, CauseHeaderMemory, CauseHeaderMalformed, CauseAmbiguousBody,
	CauseBodyStalled, CauseUnread, CauseReplaced, CauseFull,
}

// Overdue returns why a connection has to be closed at the given time, or CauseNone. pressed says
// that the memory for requests is running out.
func (limits Limits) Overdue(member *Member, now time.Duration, pressed bool) Cause {
	if member.blocked(now) >= WriteTimeout {
		return CauseUnread
	}
	stage, since := member.read()
	age := now - since
	switch {
	case stage == StageIdle && age >= limits.IdleTimeout, stage == StageNew && age >= limits.HeaderTimeout:
		return CauseIdle
	case stage == StageHeader && age >= limits.HeaderTimeout:
		return CauseHeaderSlow
	case stage == StageBody && (age >= bodyTimeout || pressed && age >= pressedBodyTimeout):
		return CauseBodyStalled
	default:
		return CauseNone
	}
}

const maxCauses = len(causes)
