package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// The rules for requests that ran at a target when it crashed.
const (
	// MaxCrashes is the number of crashes after which a request is refused.
	MaxCrashes = 2
	// CrashRetention is how long a crash counts.
	CrashRetention = 10 * time.Minute
)

// Digest identifies a request by its account, path and body, so that a repeated
// request has the same digest.
type Digest string

// DigestRequest returns the SHA-256 digest of a request in hexadecimal.
func DigestRequest(account, path string, body []byte) Digest {
	hash := sha256.New()
	hash.Write([]byte(account))
	hash.Write([]byte{0})
	hash.Write([]byte(path))
	hash.Write([]byte{0})
	hash.Write(body)
	return Digest(hex.EncodeToString(hash.Sum(nil)))
}

// CrashReport states that a target crashed while a request ran there.
type CrashReport struct {
	Digest Digest
	// ID identifies the crash by the placement, or by the target and the request,
	// so that repeated reports of it count once.
	ID string
}

// CrashTracker counts the target crashes per request. A request with a crash is a
// suspect. CrashTracker is not safe for concurrent use.
type CrashTracker struct {
	// crashes holds the time of each crash by request and crash ID.
	crashes map[Digest]map[string]time.Duration
	// running holds the suspect that runs at each target.
	running map[string]Digest
}

// NewCrashTracker returns a tracker without crashes.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{crashes: map[Digest]map[string]time.Duration{}, running: map[string]Digest{}}
}

// Record counts a crash and reports whether it was new.
func (tracker *CrashTracker) Record(now time.Duration, report CrashReport) bool {
	tracker.removeExpired(now)
	known, found := tracker.crashes[report.Digest]
	if !found {
		known = map[string]time.Duration{}
		tracker.crashes[report.Digest] = known
	}
	if _, recorded := known[report.ID]; recorded {
		return false
	}
	known[report.ID] = now
	return true
}

// Crashes returns the number of crashes of a request within CrashRetention.
func (tracker *CrashTracker) Crashes(now time.Duration, digest Digest) int {
	count := 0
	for _, at := range tracker.crashes[digest] {
		if now-at <= CrashRetention {
			count++
		}
	}
	return count
}

// IsPoison reports whether a request has reached MaxCrashes and must be refused.
func (tracker *CrashTracker) IsPoison(now time.Duration, digest Digest) bool {
	return tracker.Crashes(now, digest) >= MaxCrashes
}

// MayStart reports whether a request may run at a target. Two suspects never run
// at one target at the same time, so that a harmless request is not charged with
// a second crash that another suspect caused.
func (tracker *CrashTracker) MayStart(now time.Duration, target string, digest Digest) bool {
	if tracker.Crashes(now, digest) == 0 {
		return true
	}
	_, busy := tracker.running[target]
	return !busy
}

// Start records that a request runs at a target.
func (tracker *CrashTracker) Start(now time.Duration, target string, digest Digest) {
	if tracker.Crashes(now, digest) > 0 {
		tracker.running[target] = digest
	}
}

// Finish records that a request no longer runs at a target.
func (tracker *CrashTracker) Finish(target string, digest Digest) {
	if tracker.running[target] == digest {
		delete(tracker.running, target)
	}
}

// All returns every crash within CrashRetention.
func (tracker *CrashTracker) All(now time.Duration) []CrashReport {
	tracker.removeExpired(now)
	var reports []CrashReport
	for digest, known := range tracker.crashes {
		for crash := range known {
			reports = append(reports, CrashReport{Digest: digest, ID: crash})
		}
	}
	return reports
}

func (tracker *CrashTracker) removeExpired(now time.Duration) {
	for digest, known := range tracker.crashes {
		for crash, at := range known {
			if now-at > CrashRetention {
				delete(known, crash)
			}
		}
		if len(known) == 0 {
			delete(tracker.crashes, digest)
		}
	}
}
