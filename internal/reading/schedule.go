package reading

import (
	"slices"
	"time"
)

// lead is how long before the engine has read all the next turn is given: the time until a home looks for the next
// prompt, and that of the messages until it arrives.
const lead = 40 * time.Millisecond

// maxPrefixes is the number of shared prefixes that an engine is taken to hold: the cache of an engine has room for
// some dozens of 6,000 tokens beside the requests that run.
const maxPrefixes = 24

// schedule is when an engine has read the long prompts that it was sent, as its home believes.
type schedule struct {
	born time.Time
	// readUntil is when the engine has read them all.
	readUntil time.Time
	// prefixes are the shared prefixes that it has read, the one used last at the end.
	prefixes []uint32
}

// of returns the schedule of the turn's incarnation.
func (known schedule) of(turn Turn) schedule {
	if turn.Born.After(known.born) {
		return schedule{born: turn.Born}
	}
	return known
}

// cost returns the time that the engine takes to read a prompt, less the prefix that it has read for another one.
func (known schedule) cost(turn Turn) time.Duration {
	if turn.Prefix != 0 && slices.Contains(known.prefixes, turn.Prefix) {
		return turn.Cost
	}
	return turn.Cost + turn.Shared
}

// fits reports whether the engine can read a prompt beside those that it has yet to read within room. One that
// has read nearly all always can.
func (known schedule) fits(turn Turn, now time.Time) bool {
	pending := known.readUntil.Sub(now)
	return pending <= lead || pending+known.cost(turn) <= turn.Room
}

// with returns the schedule with a further prompt.
func (known schedule) with(turn Turn, now time.Time) schedule {
	begins := now
	if known.readUntil.After(now) {
		begins = known.readUntil
	}
	next := schedule{born: known.born, readUntil: begins.Add(known.cost(turn)), prefixes: known.prefixes}
	if latest := now.Add(maxAhead); next.readUntil.After(latest) {
		next.readUntil = latest
	}
	if turn.Prefix == 0 {
		return next
	}
	next.prefixes = slices.DeleteFunc(slices.Clone(known.prefixes), func(prefix uint32) bool { return prefix == turn.Prefix })
	next.prefixes = append(next.prefixes, turn.Prefix)
	next.prefixes = next.prefixes[max(len(next.prefixes)-maxPrefixes, 0):]
	return next
}
