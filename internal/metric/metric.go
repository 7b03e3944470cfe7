// Package metric records the metrics of a node or an entry node and serves them to
// Prometheus.
//
// All names start with mimosatide_; times are histograms in seconds.
//
// # Usage
//
//	meter := metric.New()
//	meter.CountRefusal(mimosatide.ReasonOverRate)
//	meter.ObserveQueueWait(wait)
//	http.Handle("/metrics", meter.Handler())
package metric

import (
	"io"
	"net/http"
	"time"

	prometheusclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"mimosatide.example/mimosatide"
)

// reportInterval is how often recorded values are passed to the Prometheus reporter.
const reportInterval = 500 * time.Millisecond

// latencyBuckets are the bucket bounds of all histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute,
}

// RetryReason is the reason why a request was retried.
type RetryReason string

// The reasons of a retry.
const (
	// RetryNotSent means that no byte of the request reached the target.
	RetryNotSent RetryReason = "NotSent"
	// RetryNotLoaded means that the target rejected the request because it has not loaded
	// the model or adapter.
	RetryNotLoaded RetryReason = "NotLoaded"
	// RetryBusy means that the target rejected the request for another reason.
	RetryBusy RetryReason = "TargetBusy"
	// RetryCut means that the connection ended before the answer was complete.
	RetryCut RetryReason = "Cut"
	// RetrySilent means that the target sent nothing within the progress limit.
	RetrySilent RetryReason = "Silent"
	// RetryCrash means that the target crashed under the request, or answered a request
	// that may be retried with a server error.
	RetryCrash RetryReason = "TargetCrashed"
	// RetryMismatch means that the answer is not the target's own answer to the request.
	RetryMismatch RetryReason = "Mismatched"
	// RetryResume means that a stream was resumed over a new connection.
	RetryResume RetryReason = "Resume"
	// RetryStall means that the request hung at its target without a first event.
	RetryStall RetryReason = "Stalled"
)

// AnswerKind is what became of a target's answer.
type AnswerKind string

// The kinds of answers that are not passed on to the caller.
const (
	// AnswerRefused is the statement that the request was not run, and it was believed.
	AnswerRefused AnswerKind = "Refused"
	// AnswerMismatched is an answer that is not the target's own answer to the request.
	AnswerMismatched AnswerKind = "Mismatched"
	// AnswerLate is the second answer to an earlier request on the same connection.
	AnswerLate AnswerKind = "Late"
	// AnswerUndeclared is a refusal that does not say that the request was not run.
	AnswerUndeclared AnswerKind = "Undeclared"
	// AnswerBroken is an answer whose connection ended before the target had the whole request.
	AnswerBroken AnswerKind = "Broken"
	// AnswerInvalidStatus is an answer whose status is not one of HTTP.
	AnswerInvalidStatus AnswerKind = "InvalidStatus"
	// AnswerAmbiguous is an answer whose header leaves in doubt where its body ends.
	AnswerAmbiguous AnswerKind = "AmbiguousBody"
)

// OversizeReason says which bound an answer of a target exceeded.
type OversizeReason string

// The bounds that an answer may exceed.
const (
	// OversizeHead is the bound of its head; the answer is cut.
	OversizeHead OversizeReason = "HeadTooLarge"
	// OversizeEvent is the bound of one event of a stream; the stream is cut.
	OversizeEvent OversizeReason = "EventTooLarge"
	// OversizeBody is the bound of an answer that is read completely before it is sent; the
	// answer is sent while it arrives.
	OversizeBody OversizeReason = "BodyTooLarge"
	// OversizeMemory is the memory for the answers of all targets together; an event is cut,
	// another answer is sent while it arrives.
	OversizeMemory OversizeReason = "NoMemory"
)

// Meter holds a node's metrics.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter with a registry of its own, which only its Handler serves.
func New() *Meter {
	registry := prometheusclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	options := tally.ScopeOptions{
		Prefix:                 "mimosatide",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Handler returns the handler that serves the metrics in the Prometheus text format.
func (meter *Meter) Handler() http.Handler {
	return meter.reporter.HTTPHandler()
}

// Close reports the values recorded so far and stops reporting.
func (meter *Meter) Close() error {
	return meter.closer.Close()
}

// CountRequest counts a request that was received.
func (meter *Meter) CountRequest(account string) {
	meter.scope.Tagged(map[string]string{"account": account}).Counter("requests").Inc(1)
}

// CountServed counts a served request and the tokens that it cost.
func (meter *Meter) CountServed(account string, tokens float64) {
	scope := meter.scope.Tagged(map[string]string{"account": account})
	scope.Counter("served").Inc(1)
	scope.Counter("served_tokens").Inc(int64(tokens))
}

// CountRefusal counts a refused request by its reason.
func (meter *Meter) CountRefusal(reason mimosatide.Reason) {
	meter.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals").Inc(1)
}

// CountRetry counts a retry by its reason.
func (meter *Meter) CountRetry(reason RetryReason) {
	meter.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("retries").Inc(1)
}

// CountAnswer counts a target's answer that is not passed on.
func (meter *Meter) CountAnswer(kind AnswerKind) {
	meter.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("target_answers").Inc(1)
}

// CountTriage counts a request that waited for room at a target, by how its wait ended, or that was refused because
// no target could answer it in time.
func (meter *Meter) CountTriage(outcome string) {
	meter.scope.Tagged(map[string]string{"outcome": outcome}).Counter("triage").Inc(1)
}

// CountOversize counts an answer of a target that exceeded a bound.
func (meter *Meter) CountOversize(reason OversizeReason) {
	meter.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("oversized_answers").Inc(1)
}

// CountClosedConnections counts connections that were closed, by the cause; port is empty for callers.
func (meter *Meter) CountClosedConnections(port, cause string, count int64) {
	tags, name := map[string]string{"cause": cause}, "caller_connections_closed"
	if port != "" {
		tags["port"], name = port, "operator_connections_closed"
	}
	meter.scope.Tagged(tags).Counter(name).Inc(count)
}

// CountTableRows counts rows read from the table and writes sent to it.
func (meter *Meter) CountTableRows(reads, writes int) {
	meter.scope.Counter("table_reads").Inc(int64(reads))
	meter.scope.Counter("table_writes").Inc(int64(writes))
}

// SetGauge sets a gauge to the current value.
func (meter *Meter) SetGauge(name string, value float64) {
	meter.scope.Gauge(name).Update(value)
}

// SetCopyAge sets the time since the copy of a table was last known to be current.
func (meter *Meter) SetCopyAge(table string, age time.Duration) {
	meter.scope.Tagged(map[string]string{"table": table}).Gauge("copy_age_seconds").Update(age.Seconds())
}

// SetTableGauge sets a gauge of a table's copy to the current value.
func (meter *Meter) SetTableGauge(table, name string, value float64) {
	meter.scope.Tagged(map[string]string{"table": table}).Gauge(name).Update(value)
}

// SetServiceGauge sets a gauge of a service to the current value.
func (meter *Meter) SetServiceGauge(service, name string, value float64) {
	meter.scope.Tagged(map[string]string{"service": service}).Gauge(name).Update(value)
}

// ObserveQueueWait records how long a request waited until it was sent to a target.
func (meter *Meter) ObserveQueueWait(account string, wait time.Duration) {
	meter.observe("queue_wait", map[string]string{"account": account}, wait)
}

// ObserveFirstToken records the time to first token, counted from the request's arrival.
func (meter *Meter) ObserveFirstToken(wait time.Duration) {
	meter.observe("first_token", nil, wait)
}

// ObserveAnswer records the time from a request's arrival to the end of its answer.
func (meter *Meter) ObserveAnswer(duration time.Duration) {
	meter.observe("answer", nil, duration)
}

// ObserveColdStart records the time to first token of a request that found no replica
// of its model.
func (meter *Meter) ObserveColdStart(wait time.Duration) {
	meter.observe("cold_start", nil, wait)
}

func (meter *Meter) observe(name string, tags map[string]string, value time.Duration) {
	meter.scope.Tagged(tags).Histogram(name, latencyBuckets).RecordDuration(value)
}
