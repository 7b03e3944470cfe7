package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide/internal/quarantine"
)

const (
	simulatedTime = 40 * time.Second
	// tick is the step of the simulated clock, digestTicks the number of ticks between the
	// reports of a node.
	tick        = 10 * time.Millisecond
	digestTicks = 20
	nodeCount   = 8
	// roots is the number of first parts.
	roots       = 3
	engineCount = 10
	downtime    = 3 * time.Second
	// settleTime is how long after the fifth crash, or the last one if there are fewer,
	// requests with the deadly part may still be sent and sound ones still be refused.
	settleTime = 6 * time.Second
	// maxLateDeadly is how many requests with the deadly part may be sent later than half of
	// settleTime after the fifth crash.
	maxLateDeadly = 3
)

// simulatedRequest is a request at an engine.
type simulatedRequest struct {
	node     int
	features quarantine.Features
	// beginsAt is when the engine begins to answer, endsAt when the answer is complete.
	beginsAt time.Duration
	endsAt   time.Duration
	deadly   bool
	proven   bool
}

// simulation drives the trackers of several nodes with requests at engines that crash as
// they begin to answer one with the deadly part.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	trackers []*quarantine.Tracker
	engines  [engineCount][]*simulatedRequest
	upAt     [engineCount]time.Duration
	// reports are on their way to a node.
	reports []simulatedReport
	content uint64
	crashes []time.Duration
	// deadlySent are the times at which requests with the deadly part were sent, soundSent
	// and soundRefused those of the sound ones with its first part.
	deadlySent, soundSent, soundRefused []time.Duration
	// depth is the position of the deadly part, sessions the number of second parts.
	// deadlyRoots that of the first parts that the deadly part comes with.
	depth       int
	sessions    int
	deadlyRoots int
	// lostReports is the fraction of the reports that don't arrive.
	lostReports float64
	// maxReading is the longest time that an engine takes to read a prompt.
	maxReading time.Duration
}

type simulatedReport struct {
	to     int
	at     time.Duration
	report quarantine.Report
}

func (simulation *simulation) time() time.Time { return start.Add(simulation.now) }

// prompt returns the shared parts of a sound or deadly request.
func (simulation *simulation) prompt(deadly bool) []string {
	root := simulation.random.IntN(roots)
	if deadly {
		root = simulation.random.IntN(simulation.deadlyRoots)
	}
	parts := []string{fmt.Sprintf("root-%d", root), fmt.Sprintf("session-%d-%d", root, simulation.random.IntN(simulation.sessions))}
	if !deadly {
		return parts[:1+simulation.random.IntN(2)]
	}
	parts = parts[:max(simulation.depth, 1)]
	if simulation.depth == 0 {
		return []string{"deadly", parts[0]}
	}
	return append(parts, "deadly")
}

// arrive sends a request from a random node to a random engine, unless it is in quarantine.
func (simulation *simulation) arrive(deadly bool) {
	parts := simulation.prompt(deadly)
	simulation.content++
	request := &simulatedRequest{
		node: simulation.random.IntN(nodeCount), features: quarantine.NewFeatures(simulation.content, parts), deadly: deadly,
	}
	held := simulation.trackers[request.node].Holds(request.features, simulation.time())
	if !deadly && parts[0] == "root-0" {
		simulation.soundSent = append(simulation.soundSent, simulation.now)
		if held {
			simulation.soundRefused = append(simulation.soundRefused, simulation.now)
		}
	}
	if !held {
		simulation.send(request)
	}
}

func (simulation *simulation) send(request *simulatedRequest) {
	engine := simulation.random.IntN(engineCount)
	if simulation.now < simulation.upAt[engine] {
		return
	}
	if request.deadly {
		simulation.deadlySent = append(simulation.deadlySent, simulation.now)
	}
	request.beginsAt = simulation.now + 20*time.Millisecond + time.Duration(simulation.random.Int64N(int64(simulation.maxReading)))
	request.endsAt = request.beginsAt + time.Duration(100+simulation.random.IntN(1200))*time.Millisecond
	simulation.engines[engine] = append(simulation.engines[engine], request)
}

// crash ends an engine with all requests at it.
func (simulation *simulation) crash(engine int) {
	simulation.crashes = append(simulation.crashes, simulation.now)
	simulation.upAt[engine] = simulation.now + downtime
	crash := uint64(len(simulation.crashes))
	for _, request := range simulation.engines[engine] {
		if simulation.now-request.beginsAt < 150*time.Millisecond {
			simulation.trackers[request.node].Suspect(crash, request.features, simulation.time())
		}
	}
	simulation.engines[engine] = nil
}

// step moves the requests and reports that are due.
func (simulation *simulation) step(index int) {
	for engine, requests := range simulation.engines {
		var left []*simulatedRequest
		crashes := false
		for _, request := range requests {
			crashes = crashes || request.deadly && simulation.now >= request.beginsAt
			if !request.proven && !request.deadly && simulation.now >= min(request.beginsAt+150*time.Millisecond, request.endsAt) {
				request.proven = true
				simulation.trackers[request.node].Acquit(request.features, simulation.time())
			}
			if simulation.now < request.endsAt {
				left = append(left, request)
			}
		}
		simulation.engines[engine] = left
		if crashes {
			simulation.crash(engine)
		}
	}
	for from, tracker := range simulation.trackers {
		if (index+from*3)%digestTicks != 0 {
			continue
		}
		report := tracker.Report(simulation.time())
		for to := range simulation.trackers {
			delay := time.Duration(1+simulation.random.IntN(60)) * time.Millisecond
			if to != from && !report.Empty() && simulation.random.Float64() >= simulation.lostReports {
				simulation.reports = append(simulation.reports, simulatedReport{to: to, at: simulation.now + delay, report: report})
			}
		}
	}
	var pending []simulatedReport
	for _, due := range simulation.reports {
		if due.at > simulation.now {
			pending = append(pending, due)
			continue
		}
		simulation.trackers[due.to].Apply(due.report, simulation.time())
	}
	simulation.reports = pending
}

// run plays a day in which a share of the requests is deadly after three seconds.
func run(seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 0))
	created := &simulation{
		random: random, depth: random.IntN(3), sessions: 1 + random.IntN(8), deadlyRoots: 1 + random.IntN(roots),
		lostReports: max(0, random.Float64()-0.6),
	}
	for range nodeCount {
		created.trackers = append(created.trackers, quarantine.New(logr.Discard()))
	}
	created.maxReading = time.Duration(50+random.IntN(2000)) * time.Millisecond
	soundRate, deadlyRate := 0.5+random.ExpFloat64()*6, 0.2+random.Float64()*2
	for index := range int(simulatedTime / tick) {
		created.now = time.Duration(index) * tick
		if random.Float64() < soundRate*tick.Seconds() {
			created.arrive(false)
		}
		if created.now > 3*time.Second && random.Float64() < deadlyRate*tick.Seconds() {
			created.arrive(true)
		}
		created.step(index)
	}
	return created
}

func countAfter(times []time.Duration, from time.Duration) int {
	count := 0
	for _, at := range times {
		if at > from {
			count++
		}
	}
	return count
}

// TestDeadlyPartsAreFoundAmongSharedOnes guards against requests that go on crashing
// engines, and against sound requests that are refused because they share parts with
// those, whatever the order in which the nodes learn of the crashes.
func TestDeadlyPartsAreFoundAmongSharedOnes(t *testing.T) {
	for seed := range uint64(200) {
		day := run(seed)
		if len(day.crashes) == 0 {
			continue
		}
		settled := day.crashes[min(len(day.crashes), 5)-1]
		if len(day.crashes) >= 5 {
			if late := countAfter(day.deadlySent, settled+settleTime/2); late > maxLateDeadly {
				t.Errorf("seed %d: got %d deadly requests sent after the fifth crash, %d crashes, want at most %d",
					seed, late, len(day.crashes), maxLateDeadly)
			}
		}
		sent, refused := countAfter(day.soundSent, settled+settleTime), countAfter(day.soundRefused, settled+settleTime)
		if 2*refused > sent {
			t.Errorf("seed %d: got %d of %d sound requests with the first part refused after %d crashes, want less than half",
				seed, refused, sent, len(day.crashes))
		}
	}
}
