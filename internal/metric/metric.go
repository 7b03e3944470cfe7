// Package metric counts what a node does and serves the figures to Prometheus.
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

const reportEvery = 500 * time.Millisecond

// latencyBuckets are the bounds of all histograms of times.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute,
}

// RetryReason names why a request was tried again.
type RetryReason string

// The reasons of a retry.
const (
	RetryNotSent   RetryReason = "NotSent"
	RetryNotLoaded RetryReason = "NotLoaded"
	RetryBusy      RetryReason = "TargetBusy"
	RetryCut       RetryReason = "Cut"
	RetrySilent    RetryReason = "Silent"
	RetryCrash     RetryReason = "TargetCrashed"
	RetryMismatch  RetryReason = "Mismatched"
	// RetryResume is a stream that goes on over a new connection.
	RetryResume RetryReason = "Resume"
)

// Meter holds a node's metrics.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter that reports to its own handler.
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
	scope, closer := tally.NewRootScope(options, reportEvery)
	return &Meter{scope: scope, closer: closer, reporter: reporter}
}

// Handler serves the metrics.
func (meter *Meter) Handler() http.Handler {
	return meter.reporter.HTTPHandler()
}

// Close stops reporting.
func (meter *Meter) Close() error {
	return meter.closer.Close()
}

// CountRequest counts a request that came in.
func (meter *Meter) CountRequest(account string) {
	meter.scope.Tagged(map[string]string{"account": account}).Counter("requests").Inc(1)
}

// CountServed counts an answered request and its tokens.
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

// CountTable counts rows read from and writes sent to the table.
func (meter *Meter) CountTable(reads, writes int) {
	meter.scope.Counter("table_reads").Inc(int64(reads))
	meter.scope.Counter("table_writes").Inc(int64(writes))
}

// SetGauge sets a figure of the node's present state.
func (meter *Meter) SetGauge(name string, value float64) {
	meter.scope.Gauge(name).Update(value)
}

// ObserveQueueWait notes how long a request waited until it was sent to a target.
func (meter *Meter) ObserveQueueWait(account string, wait time.Duration) {
	meter.observe("queue_wait", map[string]string{"account": account}, wait)
}

// ObserveFirstToken notes the time from a request's arrival to its first token.
func (meter *Meter) ObserveFirstToken(wait time.Duration) {
	meter.observe("first_token", nil, wait)
}

// ObserveAnswer notes the time from a request's arrival to the end of its answer.
func (meter *Meter) ObserveAnswer(took time.Duration) {
	meter.observe("answer", nil, took)
}

// ObserveColdStart notes the time to the first token of a request that found no replica.
func (meter *Meter) ObserveColdStart(wait time.Duration) {
	meter.observe("cold_start", nil, wait)
}

func (meter *Meter) observe(name string, tags map[string]string, value time.Duration) {
	meter.scope.Tagged(tags).Histogram(name, latencyBuckets).RecordDuration(value)
}
