package mimosatide

import "time"

// Reason names why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonMalformed        Reason = "Malformed"
	ReasonTooLarge         Reason = "TooLarge"
	ReasonNoKey            Reason = "NoKey"
	ReasonTwoKeys          Reason = "TwoKeys"
	ReasonUnknownKey       Reason = "UnknownKey"
	ReasonKeyWithdrawn     Reason = "KeyWithdrawn"
	ReasonUnknownModel     Reason = "UnknownModel"
	ReasonUnknownRoute     Reason = "UnknownRoute"
	ReasonWrongMethod      Reason = "WrongMethod"
	ReasonBadTokenCount    Reason = "BadTokenCount"
	ReasonLargerThanBurst  Reason = "LargerThanBurst"
	ReasonOverRate         Reason = "OverRate"
	ReasonWaitExpired      Reason = "WaitExpired"
	ReasonNoCapacity       Reason = "NoCapacity"
	ReasonDraining         Reason = "Draining"
	ReasonPoisonRequest    Reason = "PoisonRequest"
	ReasonDuplicateRequest Reason = "DuplicateRequest"
	ReasonStoreUnavailable Reason = "StoreUnavailable"
	ReasonNotFresh         Reason = "NotFresh"
	ReasonTargetFailed     Reason = "TargetFailed"
	ReasonOverloaded       Reason = "Overloaded"
	ReasonCallerGone       Reason = "CallerGone"
)

// RunState says whether a refused request may have run.
type RunState string

// The run states of a refused request.
const (
	// NotRun means that no byte of the request reached a target.
	NotRun RunState = "NotRun"
	// RunUnknown means that a target may have run the request.
	RunUnknown RunState = "Unknown"
)

// Refusal is the answer to a request that was not served.
type Refusal struct {
	Reason     Reason
	Run        RunState
	Detail     string
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

// WithRetryAfter returns a copy that advises when to try again.
func (refusal Refusal) WithRetryAfter(after time.Duration) Refusal {
	refusal.RetryAfter = after
	return refusal
}

// Refused says whether the value is a refusal at all.
func (refusal Refusal) Refused() bool {
	return refusal.Reason != ""
}
