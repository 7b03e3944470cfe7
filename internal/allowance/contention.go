package allowance

import (
	"math"
	"time"
)

const (
	// recentTimeConstant is the time constant of the average by which a node notices that an account
	// spends faster: short enough to follow within the time in which a full bucket is emptied.
	recentTimeConstant = time.Second
	// horizonDigests is how many digest intervals pass until all nodes know what one has spent.
	horizonDigests = 2
	// sizesTimeConstant is the time constant of the averages of the sizes of requests: some dozens of
	// them come to a node in that time.
	sizesTimeConstant = 20 * time.Second
	// contendedShare is the share of its rate that an account has to ask for to be contended, so that a
	// few large requests in an ordinary second are not.
	contendedShare = 0.9
	// marginTime is how much of the rate is kept in the bucket of a contended account, for what the other
	// nodes have spent and this one has not heard of.
	marginTime = 300 * time.Millisecond
	// lightShare is the share of the mean request up to which a request counts as light:
	// refusing one of mean size makes room for four of them.
	lightShare = 0.25
	// lightRoomShare is the largest share of the account's room that is kept for light requests, so
	// that the others are not starved by them.
	lightRoomShare = 0.5
	// maxSpread bounds the time over which the callers of a contended account are told to return.
	maxSpread = 4 * time.Second
)

// requestSizes are moving averages of the requests of all accounts at a node. A node sees too few requests
// of one account to tell its light ones from the others.
type requestSizes struct {
	at time.Time
	// tokens and light are the tokens of all requests and of the light ones, count the number of all.
	tokens float64
	light  float64
	count  float64
}

// record adds a request and reports whether it is light.
func (sizes *requestSizes) record(tokens float64, now time.Time) bool {
	if now.After(sizes.at) {
		decay := math.Exp(-now.Sub(sizes.at).Seconds() / sizesTimeConstant.Seconds())
		sizes.tokens, sizes.light, sizes.count = sizes.tokens*decay, sizes.light*decay, sizes.count*decay
		sizes.at = now
	}
	isLight := sizes.count >= 1 && tokens <= lightShare*sizes.tokens/sizes.count
	sizes.tokens += tokens
	sizes.count++
	if isLight {
		sizes.light += tokens
	}
	return isLight
}

// lightPart returns the part of the tokens that light requests ask for.
func (sizes *requestSizes) lightPart() float64 {
	if sizes.tokens <= 0 {
		return 0
	}
	return sizes.light / sizes.tokens
}

// refusedSuffix marks, among the totals that nodes report to each other, that of the tokens which were
// refused to an account. Nodes that don't know it ignore it, as they ignore unknown accounts.
const refusedSuffix = "\x00refused"

// contention is what a node knows of the demand for an account's tokens. It answers an account that
// asks for several times its rate at many nodes at once: each node alone would grant what it has in
// its copy of the bucket before it hears of the others, and all of them together overspend. A node
// therefore grants only the part of the requests that fits the room of all nodes, and keeps that of
// the light ones free.
type contention struct {
	// spent and refused are moving averages of what all nodes have granted and refused, in tokens.
	spent   float64
	refused float64
}

func (contention *contention) decay(elapsed time.Duration) {
	decay := math.Exp(-elapsed.Seconds() / recentTimeConstant.Seconds())
	contention.spent *= decay
	contention.refused *= decay
}

// demand returns the tokens a second that callers ask of all nodes.
func (contention *contention) demand() float64 {
	return (contention.spent + contention.refused) / recentTimeConstant.Seconds()
}

// margin returns the tokens that are kept in the bucket of a contended account.
func (limit Limit) margin() float64 {
	return min(limit.Rate*marginTime.Seconds(), limit.Burst/2)
}

// admit decides whether a request may try the bucket, which holds level tokens; if not, it returns the
// time until the caller should return. A request that was drawn while the account is contended may take
// the level below zero, since its part was counted: otherwise the level would never hold the largest ones. Light requests, whose part of all tokens is lightPart, always may.
// The others get by lot what these leave, so that the level stays at a margin above zero: it is the
// copy of the bucket of one node, and the others spend from it too.
func (contention *contention) admit(limit Limit, asked request, level, lightPart float64, horizon time.Duration) (drawn bool, wait time.Duration) {
	demand := contention.demand()
	wanted := demand * horizon.Seconds()
	accrues := limit.Rate * horizon.Seconds()
	if asked.light || wanted <= level+accrues || demand < contendedShare*limit.Rate {
		return false, 0
	}
	room := level + accrues - limit.margin()
	room -= min(wanted*lightPart, lightRoomShare*max(room, 0))
	if asked.draw*wanted*(1-lightPart) < room {
		return true, 0
	}
	return false, max(contention.spread(limit, asked.draw, horizon), horizon)
}

// request is a request for tokens; draw is a random number from 0 to 1.
type request struct {
	tokens float64
	light  bool
	draw   float64
}

// spread returns a time that grows with what is asked beyond the limit, different for each draw, so that
// the refused callers don't return all at once.
func (contention *contention) spread(limit Limit, draw float64, horizon time.Duration) time.Duration {
	excess := contention.demand()/max(limit.Rate, 1) - 1
	if excess <= 0 {
		return 0
	}
	return min(time.Duration(excess*(0.5+draw)*float64(horizon)), maxSpread)
}
