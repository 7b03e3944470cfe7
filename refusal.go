package mimosatide

import "time"

// Reason is the reason why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonMalformed Reason = "Malformed"
	ReasonTooLarge  Reason = "TooLarge"
	ReasonNoKey     Reason = "NoKey"
	// ReasonTwoKeys means that the request has more than one API key.
	ReasonTwoKeys         Reason = "TwoKeys"
	ReasonUnknownKey      Reason = "UnknownKey"
	ReasonKeyWithdrawn    Reason = "KeyWithdrawn"
	ReasonUnknownModel    Reason = "UnknownModel"
	ReasonUnknownRoute    Reason = "UnknownRoute"
	ReasonWrongMethod     Reason = "WrongMethod"
	ReasonBadTokenCount   Reason = "BadTokenCount"
	ReasonLargerThanBurst Reason = "LargerThanBurst"
	ReasonOverRate        Reason = "OverRate"
	ReasonWaitExpired     Reason = "WaitExpired"
	// ReasonNoCapacity means that no target can serve the request in time: there is
	// none, or none can load the model.
	ReasonNoCapacity Reason = "NoCapacity"
	ReasonDraining   Reason = "Draining"
	// ReasonPoisonRequest means that targets crashed while they ran the request.
	ReasonPoisonRequest Reason = "PoisonRequest"
	// ReasonDuplicateRequest means that an earlier request used the idempotency key
	// and there is no answer of it to replay.
	ReasonDuplicateRequest Reason = "DuplicateRequest"
	// ReasonStoreUnavailable means that the platform's table does not answer.
	ReasonStoreUnavailable Reason = "StoreUnavailable"
	// ReasonNotFresh means that the node has no configuration, or could not confirm
	// that its configuration is still in force.
	ReasonNotFresh     Reason = "NotFresh"
	ReasonTargetFailed Reason = "TargetFailed"
	// ReasonOriginUnknown means that the request resumes a stream, and that it is not known which
	// version of the targets' software began it.
	ReasonOriginUnknown Reason = "OriginUnknown"
	// ReasonOverloaded means that the node has too many requests, or that no target ran
	// the request: each was unreachable or rejected it.
	ReasonOverloaded Reason = "Overloaded"
	// ReasonNoMemory means that the node has no memory left for the request's body.
	ReasonNoMemory Reason = "NoMemory"
	// ReasonAmbiguousBody means that the request leaves in doubt where its body ends.
	ReasonAmbiguousBody Reason = "AmbiguousBody"
	// ReasonBodyStalled means that the request's body stopped arriving.
	ReasonBodyStalled Reason = "BodyStalled"
	// ReasonCallerGone means that the caller disconnected before it got an answer.
	ReasonCallerGone Reason = "CallerGone"
)

// RunState says whether a target may have run a refused request.
type RunState string

// The run states of a refused request.
const (
	// NotRun means that no target ran the request: no byte of it was sent to one, or
	// each target that it was sent to answered that it did not run it.
	NotRun RunState = "NotRun"
	// RunUnknown means that a target may have run the request.
	RunUnknown RunState = "Unknown"
)

// Refusal is the answer to a request that was not served.
type Refusal struct {
	Reason Reason
	Run    RunState
	// Detail is a text for the caller.
	Detail string
	// RetryAfter is the time after which a retry is advised; zero if none is.
	RetryAfter time.Duration
}

// Refuse returns a refusal of a request that did not run.
func Refuse(reason Reason, detail string) Refusal {
	return Refusal{Reason: reason, Run: NotRun, Detail: detail}
}

// WithRun returns a copy with the given run state.
func (refusal Refusal) WithRun(run RunState) Refusal {
	refusal.Run = run
	return refusal
}

// WithRetryAfter returns a copy that advises a retry after the given time.
func (refusal Refusal) WithRetryAfter(after time.Duration) Refusal {
	refusal.RetryAfter = after
	return refusal
}

// Refused reports whether the request was refused; it is false for the zero value.
func (refusal Refusal) Refused() bool {
	return refusal.Reason != ""
}
