package load

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// The range of the latency histograms in microseconds, and their precision.
const (
	lowestLatencyMicros      = 1
	highestLatencyMicros     = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// accountReport summarizes the answers to one account.
type accountReport struct {
	sent       int
	served     int
	tokens     int
	refused    map[string]int
	firstToken *hdrhistogram.Histogram
}

// Report summarizes the answers to a mix.
type Report struct {
	Sent   int
	Served int
	// Lost counts requests that got neither a whole answer nor a refusal.
	Lost int
	// BrokenOff counts streams that ended with an error event. They are counted in Refused too.
	BrokenOff      int
	Refused        map[string]int
	FirstToken     *hdrhistogram.Histogram
	WholeAnswer    *hdrhistogram.Histogram
	accounts       map[string]*accountReport
	notRunRequests []string
	servedOrders   map[string]int
	lostDetails    []string
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		Refused:      map[string]int{},
		FirstToken:   newHistogram(),
		WholeAnswer:  newHistogram(),
		accounts:     map[string]*accountReport{},
		servedOrders: map[string]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatencyMicros, highestLatencyMicros, latencySignificantDigits)
}

func (report *Report) add(result outcome) {
	report.Sent++
	account := report.account(result.request.account)
	account.sent++
	answer := result.answer
	switch {
	case answer.Reason != "":
		report.Refused[answer.Reason]++
		account.refused[answer.Reason]++
		if answer.Run == "NotRun" {
			report.notRunRequests = append(report.notRunRequests, answer.Request)
		}
		if answer.Status == 200 {
			report.BrokenOff++
		}
	case result.err != nil || !answer.Whole:
		report.Lost++
		report.lostDetails = append(report.lostDetails, fmt.Sprintf("%s %s: status %d, %v", result.request.call.Node, result.request.call.Path, answer.Status, result.err))
	default:
		report.Served++
		account.served++
		account.tokens += answer.Tokens
		_ = report.WholeAnswer.RecordValue(answer.Took.Microseconds())
		if answer.Tokens > 0 {
			_ = report.FirstToken.RecordValue(answer.FirstToken.Microseconds())
			_ = account.firstToken.RecordValue(answer.FirstToken.Microseconds())
		}
		if result.request.orderBody != "" {
			report.servedOrders[result.request.orderBody]++
		}
	}
}

func (report *Report) account(name string) *accountReport {
	known, found := report.accounts[name]
	if !found {
		known = &accountReport{refused: map[string]int{}, firstToken: newHistogram()}
		report.accounts[name] = known
	}
	return known
}

// Check compares the answers with what the targets recorded, and returns one
// description of each promise that was broken: no request is lost, a request
// refused as NotRun has not run, an order runs once, no engine is overcommitted,
// and no target sees a caller's key.
func (report *Report) Check(ctx context.Context, fleet Fleet) ([]string, error) {
	truth, err := fleet.Truth(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var violations []string
	if report.Lost > 0 {
		violations = append(violations, fmt.Sprintf("%d requests were lost: %v", report.Lost, report.lostDetails[:min(5, len(report.lostDetails))]))
	}
	for _, request := range report.notRunRequests {
		if truth.Runs[request] > 0 {
			violations = append(violations, "request "+request+" ran although it was refused as not run")
		}
	}
	for body, count := range truth.Bodies {
		if count > 1 && body != "" {
			violations = append(violations, fmt.Sprintf("order %s ran %d times", body, count))
		}
	}
	for body := range report.servedOrders {
		if truth.Bodies[body] != 1 {
			violations = append(violations, fmt.Sprintf("order %s was served but ran %d times", body, truth.Bodies[body]))
		}
	}
	if truth.Overcommitted > 0 {
		violations = append(violations, fmt.Sprintf("engines were overcommitted %d times", truth.Overcommitted))
	}
	if truth.KeysSeen > 0 {
		violations = append(violations, fmt.Sprintf("targets saw a caller's key %d times", truth.KeysSeen))
	}
	return violations, nil
}

// Print writes the totals and tables of latencies and accounts. Times are in milliseconds.
func (report *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "sent %d, served %d, lost %d, broken off %d, refused %v\n", report.Sent, report.Served, report.Lost, report.BrokenOff, report.Refused)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME (MS)\tP50\tP90\tP99\tP99.9\tMAX")
	printQuantiles(table, "first token", report.FirstToken)
	printQuantiles(table, "whole answer", report.WholeAnswer)
	fmt.Fprintln(table, "\nACCOUNT\tSENT\tSERVED\tTOKENS\tREFUSED\tFIRST TOKEN P99 (MS)")
	for _, name := range slices.Sorted(maps.Keys(report.accounts)) {
		account := report.accounts[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%v\t%.1f\n", name, account.sent, account.served, account.tokens, account.refused,
			milliseconds(account.firstToken.ValueAtQuantile(99)))
	}
	return errors.Trace(table.Flush())
}

func printQuantiles(out io.Writer, name string, histogram *hdrhistogram.Histogram) {
	fmt.Fprintf(out, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", name,
		milliseconds(histogram.ValueAtQuantile(50)), milliseconds(histogram.ValueAtQuantile(90)),
		milliseconds(histogram.ValueAtQuantile(99)), milliseconds(histogram.ValueAtQuantile(99.9)), milliseconds(histogram.Max()))
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}

func splitHostPort(address string) (string, int, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, errors.Trace(err)
	}
	port, err := strconv.Atoi(text)
	return host, port, errors.Trace(err)
}
