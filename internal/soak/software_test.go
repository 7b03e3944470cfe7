package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strings"
	"sync"
	"time"
)

const (
	// modelTargets is the number of the targets that are model engines, which come first.
	modelTargets = 3
	// softwareVersions is the number of versions that releases choose from, so that old ones return.
	softwareVersions = 3
	maxReleasePause  = 1500 * time.Millisecond
	// brokenStreams is the largest share of the streams that a target breaks off.
	brokenStreams = 0.6
)

// injectReleases replaces model engines by such with other software until the context ends. Some
// leave before, some crash, and at times all nodes are killed while the last targets of a version
// leave. It passes the name of each event to onFault.
func (testbed *testbed) injectReleases(ctx context.Context, program string, random *rand.Rand, onFault func(name string)) {
	var group sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(maxReleasePause))))
		software := fmt.Sprintf("v%d", random.IntN(softwareVersions))
		count := 1 + random.IntN(modelTargets)
		killAll := random.IntN(4) == 0
		onFault(fmt.Sprintf("release %s at %d targets, nodes killed meanwhile %t", software, count, killAll))
		if killAll {
			if start := testbed.restartAllNodes(program); start != nil {
				outage := time.Duration(random.Int64N(int64(time.Second)))
				group.Go(func() {
					time.Sleep(outage)
					start()
				})
			}
		}
		for _, target := range testbed.targets[:modelTargets] {
			target.SetFailureRates(brokenStreams*random.Float64(), 0, 0)
		}
		for _, index := range random.Perm(modelTargets)[:count] {
			target := testbed.targets[index]
			target.Upgrade(software)
			pause := time.Duration(random.Int64N(int64(drainTime)))
			if random.IntN(3) == 0 {
				target.Crash()
				group.Go(func() {
					time.Sleep(pause)
					if err := target.Restart(); err != nil {
						testbed.t.Logf("restart target %d: %v", index, err)
					}
				})
				continue
			}
			target.Leave(random.IntN(2) == 0)
			group.Go(func() {
				time.Sleep(pause)
				testbed.replaceLeaving(target)
			})
		}
	}
	group.Wait()
}

var writtenBy = regexp.MustCompile(`data: .* by (\S+)`)

// checkSoftware describes the streams with events of several versions of the targets' software, in
// one answer or over a caller's tries.
func checkSoftware(results []result) []string {
	var violations []string
	software := map[string]string{}
	for _, result := range results {
		begun := result.begun
		if begun == "" {
			begun = result.id
		}
		for _, match := range writtenBy.FindAllStringSubmatch(result.body, -1) {
			first, found := software[begun]
			if !found {
				software[begun] = match[1]
			} else if first != match[1] {
				violations = append(violations, fmt.Sprintf("stream %s holds events of %s and, in attempt %s at %s, sent %s, of %s",
					begun, first, result.id, result.node.name, result.sent.Format(time.TimeOnly+".000"), match[1]))
				break
			}
		}
	}
	return violations
}

// describeTakeUps tells how many streams were taken up, and how many of them went on.
func describeTakeUps(results []result) string {
	takeUps, wentOn, unknown := 0, 0, 0
	for _, result := range results {
		switch {
		case result.begun == "":
			continue
		case writtenBy.MatchString(result.body):
			wentOn++
		case strings.HasPrefix(result.body, "OriginUnknown"):
			unknown++
		}
		takeUps++
	}
	return fmt.Sprintf("%d streams taken up, of which %d went on and %d were refused for their unknown origin", takeUps, wentOn, unknown)
}
