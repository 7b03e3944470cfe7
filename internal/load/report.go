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

// The range of the histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// accountReport is what one account got.
type accountReport struct {
	sent    int
	served  int
	tokens  int
	refused map[string]int
	first   *hdrhistogram.Histogram
}

// Report sums up what a mix got.
type Report struct {
	Sent   int
	Served int
	// Lost are requests that got no whole answer and no refusal.
	Lost int
	// Broken are streams that ended with an error event.
	Broken    int
	Refused   map[string]int
	FirstCall *hdrhistogram.Histogram
	Whole     *hdrhistogram.Histogram
	accounts  map[string]*accountReport
	notRun    []string
	orders    map[string]int
	lostText  []string
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		Refused:   map[string]int{},
		FirstCall: newHistogram(),
		Whole:     newHistogram(),
		accounts:  map[string]*accountReport{},
		orders:    map[string]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

func (report *Report) add(done outcome) {
	report.Sent++
	account := report.account(done.request.account)
	account.sent++
	answer := done.answer
	switch {
	case answer.Reason != "":
		report.Refused[answer.Reason]++
		account.refused[answer.Reason]++
		if answer.Run == "NotRun" {
			report.notRun = append(report.notRun, answer.Request)
		}
		if answer.Status == 200 {
			report.Broken++
		}
	case done.err != nil || !answer.Whole:
		report.Lost++
		report.lostText = append(report.lostText, fmt.Sprintf("%s %s: status %d, %v", done.request.call.Node, done.request.call.Path, answer.Status, done.err))
	default:
		report.Served++
		account.served++
		account.tokens += answer.Tokens
		_ = report.Whole.RecordValue(answer.Took.Microseconds())
		if answer.Tokens > 0 {
			_ = report.FirstCall.RecordValue(answer.FirstToken.Microseconds())
			_ = account.first.RecordValue(answer.FirstToken.Microseconds())
		}
		if done.request.order != "" {
			report.orders[done.request.order]++
		}
	}
}

func (report *Report) account(name string) *accountReport {
	known, found := report.accounts[name]
	if !found {
		known = &accountReport{refused: map[string]int{}, first: newHistogram()}
		report.accounts[name] = known
	}
	return known
}

// Check compares the answers with what really happened at the targets, and
// returns every promise that was broken.
func (report *Report) Check(ctx context.Context, fleet Fleet) ([]string, error) {
	truth, err := fleet.Truth(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var broken []string
	if report.Lost > 0 {
		broken = append(broken, fmt.Sprintf("%d requests were lost: %v", report.Lost, report.lostText[:min(5, len(report.lostText))]))
	}
	for _, request := range report.notRun {
		if truth.Runs[request] > 0 {
			broken = append(broken, "request "+request+" ran although it was refused as not run")
		}
	}
	for body, count := range truth.Bodies {
		if count > 1 && body != "" {
			broken = append(broken, fmt.Sprintf("order %s ran %d times", body, count))
		}
	}
	for body := range report.orders {
		if truth.Bodies[body] != 1 {
			broken = append(broken, fmt.Sprintf("order %s was answered but ran %d times", body, truth.Bodies[body]))
		}
	}
	if truth.Overcommitted > 0 {
		broken = append(broken, fmt.Sprintf("engines were overcommitted %d times", truth.Overcommitted))
	}
	if truth.KeysSeen > 0 {
		broken = append(broken, fmt.Sprintf("targets saw a caller's key %d times", truth.KeysSeen))
	}
	return broken, nil
}

// Print writes the report as tables. Times are in milliseconds.
func (report *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "sent %d, served %d, lost %d, broken off %d, refused %v\n", report.Sent, report.Served, report.Lost, report.Broken, report.Refused)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME (MS)\tP50\tP90\tP99\tP99.9\tMAX")
	printQuantiles(table, "first token", report.FirstCall)
	printQuantiles(table, "whole answer", report.Whole)
	fmt.Fprintln(table, "\nACCOUNT\tSENT\tSERVED\tTOKENS\tREFUSED\tFIRST TOKEN P99 (MS)")
	for _, name := range slices.Sorted(maps.Keys(report.accounts)) {
		account := report.accounts[name]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%v\t%.1f\n", name, account.sent, account.served, account.tokens, account.refused,
			milliseconds(account.first.ValueAtQuantile(99)))
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

func splitPort(address string) (string, int, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, errors.Trace(err)
	}
	port, err := strconv.Atoi(text)
	return host, port, errors.Trace(err)
}
