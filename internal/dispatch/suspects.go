package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// The rules for requests that were at a target when it crashed.
const (
	// MaxCrashes is after how many crashes a request is refused.
	MaxCrashes = 2
	// SuspicionTerm is how long a crash is remembered.
	SuspicionTerm = 10 * time.Minute
)

// Digest identifies a request by its account and what it asks, whoever sends it again.
type Digest string

// DigestRequest returns the digest of a request.
func DigestRequest(account, path string, body []byte) Digest {
	hash := sha256.New()
	hash.Write([]byte(account))
	hash.Write([]byte{0})
	hash.Write([]byte(path))
	hash.Write([]byte{0})
	hash.Write(body)
	return Digest(hex.EncodeToString(hash.Sum(nil)))
}

// Crash is one crash of a target while a request ran there.
type Crash struct {
	Digest Digest
	// Crash names the target and the moment, so that a repeated report counts once.
	Crash string
}

// Suspects counts the crashes at which each request was present. It is not safe for concurrent use.
type Suspects struct {
	crashes map[Digest]map[string]time.Duration
	// running is the suspect that runs at each target.
	running map[string]Digest
}

// NewSuspects returns an empty count.
func NewSuspects() *Suspects {
	return &Suspects{crashes: map[Digest]map[string]time.Duration{}, running: map[string]Digest{}}
}

// Note counts a crash, and says whether it was new.
func (suspects *Suspects) Note(now time.Duration, crash Crash) bool {
	suspects.forget(now)
	known, found := suspects.crashes[crash.Digest]
	if !found {
		known = map[string]time.Duration{}
		suspects.crashes[crash.Digest] = known
	}
	if _, again := known[crash.Crash]; again {
		return false
	}
	known[crash.Crash] = now
	return true
}

// Crashes returns how many crashes the request was present at.
func (suspects *Suspects) Crashes(now time.Duration, digest Digest) int {
	count := 0
	for _, at := range suspects.crashes[digest] {
		if now-at <= SuspicionTerm {
			count++
		}
	}
	return count
}

// Poisonous says whether the request is refused.
func (suspects *Suspects) Poisonous(now time.Duration, digest Digest) bool {
	return suspects.Crashes(now, digest) >= MaxCrashes
}

// MayStart says whether a request may run at a target. Two suspects never
// share one, so that an innocent request doesn't meet a second crash.
func (suspects *Suspects) MayStart(now time.Duration, target string, digest Digest) bool {
	if suspects.Crashes(now, digest) == 0 {
		return true
	}
	_, busy := suspects.running[target]
	return !busy
}

// Start notes that a request runs at a target.
func (suspects *Suspects) Start(now time.Duration, target string, digest Digest) {
	if suspects.Crashes(now, digest) > 0 {
		suspects.running[target] = digest
	}
}

// Finish notes that a request no longer runs at a target.
func (suspects *Suspects) Finish(target string, digest Digest) {
	if suspects.running[target] == digest {
		delete(suspects.running, target)
	}
}

// Known returns every crash that is remembered.
func (suspects *Suspects) Known(now time.Duration) []Crash {
	suspects.forget(now)
	var crashes []Crash
	for digest, known := range suspects.crashes {
		for crash := range known {
			crashes = append(crashes, Crash{Digest: digest, Crash: crash})
		}
	}
	return crashes
}

func (suspects *Suspects) forget(now time.Duration) {
	for digest, known := range suspects.crashes {
		for crash, at := range known {
			if now-at > SuspicionTerm {
				delete(known, crash)
			}
		}
		if len(known) == 0 {
			delete(suspects.crashes, digest)
		}
	}
}
