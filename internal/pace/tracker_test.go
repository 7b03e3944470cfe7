package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"mimosatide.example/mimosatide/internal/pace"
)

var start = time.Unix(1_700_000_000, 0)

func target(index int) pace.Target {
	return pace.Target{ID: fmt.Sprint("i-", index), Service: "llm", Born: start}
}

// observeAll lets ten targets answer 20 requests each within two seconds; slowness is by how many
// times the first one is slower than the others, and ratio by how many times all are slower than expected.
func observeAll(tracker *pace.Tracker, slowness, ratio, noise float64) time.Time {
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for index := range 10 {
			actual := 50 * ratio * math.Exp2(noise*random.NormFloat64())
			if index == 0 {
				actual *= slowness
			}
			tracker.Observe(target(index), 50*time.Millisecond, time.Duration(actual*float64(time.Millisecond)), now)
		}
	}
	return now
}

// expectFactor checks that the factor of a target is within bounds.
func expectFactor(t *testing.T, state string, tracker *pace.Tracker, target pace.Target, now time.Time, least, most float64) {
	t.Helper()
	if got := tracker.Factor(target, now); got < least || got > most {
		t.Errorf("%s: got factor %v, want %v to %v", state, got, least, most)
	}
}

// TestFactorsExpressDifferencesWithinAService guards against a service that is slow as a whole, or
// differs from the constants, whose targets all look slow, and against noise taken for a pace.
func TestFactorsExpressDifferencesWithinAService(t *testing.T) {
	for _, ratio := range []float64{1, 2, 8, 40} {
		for _, slowness := range []float64{2, 0.5} {
			tracker := pace.New(logr.Discard())
			now := observeAll(tracker, slowness, ratio, 0.3)
			expectFactor(t, fmt.Sprintf("%v times slower than %v times the expected time", slowness, ratio),
				tracker, target(0), now, slowness*0.8, slowness*1.25)
			for index := 1; index < 10; index++ {
				expectFactor(t, fmt.Sprintf("usual target at %v times the expected time", ratio), tracker, target(index), now, 1, 1)
			}
		}
	}
	tracker := pace.New(logr.Discard())
	now := observeAll(tracker, 1, 20, 3)
	for index := range 10 {
		expectFactor(t, "times of an eighth to eight times the usual", tracker, target(index), now, 0.7, 1.4)
	}
}

// TestSingleObservationsChangeLittle guards against targets that are avoided because of one slow
// request, whether it was answered or still waits, or of some milliseconds of network; against a stall
// that many waiting requests don't show; and against a target that gets no requests for good after it.
func TestSingleObservationsChangeLittle(t *testing.T) {
	tracker := pace.New(logr.Discard())
	now := observeAll(tracker, 1, 4, 0)
	tracker.Observe(target(0), 50*time.Millisecond, time.Hour, now)
	expectFactor(t, "after one outlier", tracker, target(0), now, 1, 1.25)
	counted := 0
	for age := time.Duration(0); age < time.Hour; age += 100 * time.Millisecond {
		if tracker.ObserveWaiting(target(1), 50*time.Millisecond, age, counted, now) {
			counted++
		}
	}
	if counted != 3 {
		t.Errorf("one request that waits counted %d times, want 3", counted)
	}
	expectFactor(t, "with one request that waits", tracker, target(1), now, 1.2, 1.6)
	for range 100 {
		tracker.Observe(target(2), time.Millisecond, 19*time.Millisecond, now)
		tracker.ObserveWaiting(target(3), 50*time.Millisecond, 2*time.Second, 0, now)
	}
	expectFactor(t, "with differences below the floor", tracker, target(2), now, 1, 1)
	expectFactor(t, "with many requests that wait", tracker, target(3), now, 4, pace.MaxFactor)
	expectFactor(t, "15 s later", tracker, target(3), now.Add(15*time.Second), 1, 1)
}

// TestNewIncarnationStartsAtTheUsualPace guards against the pace of a process that has ended.
func TestNewIncarnationStartsAtTheUsualPace(t *testing.T) {
	tracker := pace.New(logr.Discard())
	now := observeAll(tracker, 4, 1, 0)
	next := target(0)
	next.Born = start.Add(time.Second)
	expectFactor(t, "new incarnation", tracker, next, now, 1, 1)
	for range 20 {
		tracker.Observe(next, 50*time.Millisecond, 200*time.Millisecond, now)
		tracker.Observe(target(0), 50*time.Millisecond, 50*time.Millisecond, now)
	}
	expectFactor(t, "slow new incarnation, with late answers of the earlier one", tracker, next, now, 3, pace.MaxFactor)
}

// TestReportsAreBoundedAndCountLess guards against digests that grow with the targets, reports
// that go round between peers, and one node's view that overrides those of the others.
func TestReportsAreBoundedAndCountLess(t *testing.T) {
	reporter, now := pace.New(logr.Discard()), start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for index := range 100 {
			reporter.Observe(target(index), 50*time.Millisecond, time.Duration(50+4*max(index-50, 0))*time.Millisecond, now)
		}
	}
	reports := reporter.Heard(1000, now)
	if len(reports) != pace.MaxReports || reports[0].Target != "i-99" {
		t.Fatalf("got %d reports, the first of %q; want %d and the slowest target", len(reports), reports[0].Target, pace.MaxReports)
	}
	again := reporter.Heard(1000, now.Add(500*time.Millisecond))
	if len(again) == 0 || len(again) > pace.MaxReports/2 || again[0].Target == "i-99" {
		t.Errorf("half a second later: got %d reports, the first %v; want 1 to %d of other targets", len(again), again[:1], pace.MaxReports/2)
	}
	receiver := pace.New(logr.Discard())
	receiver.Apply(append(reports, pace.Report{Target: "i-1", Born: start, Factor: 8}), now)
	root := math.Sqrt(reports[0].Factor)
	expectFactor(t, "reported by peers only", receiver, target(99), now, root-0.01, root+0.01)
	expectFactor(t, "reported beyond the bound", receiver, target(1), now, 1, 1)
	if passed := receiver.Heard(1000, now); len(passed) != 0 {
		t.Errorf("a peer's reports were passed on: %v", passed)
	}
	expectFactor(t, "2.1 s after the report", receiver, target(99), now.Add(2100*time.Millisecond), 1, 1)
	observeAll(receiver, 1, 1, 0)
	for _, factor := range []float64{math.NaN(), -1, math.Inf(1)} {
		receiver.Apply([]pace.Report{{Target: "i-5", Born: start, Factor: factor}}, now)
	}
	expectFactor(t, "reported, but of the usual pace here", receiver, target(5), now, 1, 1)
}

// TestSlowTargetsAreLoggedAndForgotten guards against a log that grows with the observations, and
// against states of targets that are gone.
func TestSlowTargetsAreLoggedAndForgotten(t *testing.T) {
	var lines []string
	tracker := pace.New(funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}))
	now := observeAll(tracker, 6, 1, 0)
	if got := tracker.Review(now); got.Slow != 1 || got.Largest < 2 {
		t.Errorf("got summary %+v, want one slow target", got)
	}
	for step := range 100 {
		now = now.Add(500 * time.Millisecond)
		if step < 48 && step%6 == 0 {
			// The report counts for five of the next six steps.
			tracker.Apply([]pace.Report{{Target: "i-1", Born: start, Factor: 8}}, now)
		}
		tracker.Review(now)
	}
	text := strings.Join(lines, "\n")
	if count := strings.Count(text, `"i-0"`); count != 2 || !strings.Contains(lines[0], `"msg"="target slow" "target"="i-0"`) {
		t.Errorf("got %d log lines, want one that the target became slow and one that it no longer is:\n%s", count, text)
	}
	if count := strings.Count(text, `"i-1"`); count < 2 || count > 6 || !strings.Contains(lines[len(lines)-1], `"msg"="target no longer slow"`) {
		t.Errorf("got %d log lines on a target that changes for 24 s, want 2 to 6, the last that it is no longer slow:\n%s", count, text)
	}
	observeAll(tracker, 6, 1, 0)
	tracker.Prune(func(string) bool { return false })
	if got := tracker.Review(start); got.Slow != 0 || got.Largest != 1 {
		t.Errorf("without targets: got summary %+v, want no slow one", got)
	}
}

// BenchmarkTracker measures the calls on the path of a request with the targets of a large deployment.
func BenchmarkTracker(b *testing.B) {
	tracker := pace.New(logr.Discard())
	var targets []pace.Target
	for index := range 10_000 {
		targets = append(targets, target(index))
		tracker.Observe(targets[index], 50*time.Millisecond, time.Duration(50+index%100)*time.Millisecond, start)
	}
	for name, call := range map[string]func(target pace.Target, now time.Time){
		"Factor": func(target pace.Target, now time.Time) { tracker.Factor(target, now) },
		"Observe": func(target pace.Target, now time.Time) {
			tracker.Observe(target, 50*time.Millisecond, 80*time.Millisecond, now)
		},
		"Heard":  func(_ pace.Target, now time.Time) { tracker.Heard(pace.MaxReports, now) },
		"Review": func(_ pace.Target, now time.Time) { tracker.Review(now) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				call(targets[index*7919%len(targets)], start.Add(time.Duration(index)*time.Microsecond))
			}
		})
	}
}

// TestHandleFollowsItsTarget guards against choices by the pace of an incarnation that has ended, or by none
// because the target was not known when its handle was first used.
func TestHandleFollowsItsTarget(t *testing.T) {
	tracker, at := pace.New(logr.Discard()), time.Unix(1_700_000_000, 0)
	handle := &pace.Handle{}
	expect := func(when string, born time.Time, slow bool) {
		t.Helper()
		reader := tracker.Read(at)
		defer reader.Close()
		if factor := reader.Factor(handle, "i", born); (factor > 1) != slow {
			t.Errorf("%s: got factor %v, want slow: %v", when, factor, slow)
		}
	}
	later := at.Add(time.Minute)
	expect("unknown target", at, false)
	tracker.Apply([]pace.Report{{Target: "i", Born: at, Factor: 8}}, at)
	expect("reported as slow", at, true)
	tracker.Apply([]pace.Report{{Target: "i", Born: later, Factor: 8}}, at)
	expect("earlier incarnation", at, false)
	expect("later incarnation", later, true)
	tracker.Prune(func(string) bool { return false })
	expect("removed", later, false)
}
