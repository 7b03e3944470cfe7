package allowance

import (
	"math"
	"time"
)

const (
	// recentTimeConstant is the time constant of the average by which a node notices that an account
	// spends faster: short enough to follow within the time in which a full bucket is emptied.
	recentTimeConstant = 500 * time.Millisecond
	// horizonDigests is how many digest intervals pass until all nodes know what one has spent, at least.
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
	// lightShare is the share of the size of the request that a mean token belongs to, up to which a request
	// counts as light: refusing one of that size makes room for four of them. The size of the mean
	// request would not do: where most requests are light, they are hardly smaller than that.
	lightShare = 0.25
	// lightRoomShare is the largest share of the account's room that light requests take from the others,
	// so that those are not starved.
	lightRoomShare = 0.75
	// lightDebtTime is how much of the rate light requests may take the bucket below zero. A sudden demand of six
	// times the rate makes a debt of more than two seconds of the rate before the nodes hear of each other. Light
	// requests are granted also then, but below zero they get lightDebtShare of the rate at most, so that the
	// bucket recovers well within 8 s.
	lightDebtTime  = 3 * time.Second
	lightDebtShare = 0.4
	// hearingTime is the time within which most nodes of a large fleet hear of each other under load. Digests
	// that relays forward take half a second to a second.
	hearingTime = 800 * time.Millisecond
	// correctionHorizons is the number of horizons over which the level is corrected. A correction that is faster
	// than about three times the delay of what it is based on overshoots, so that the level swings.
	correctionHorizons = 2.5
	// sharePrior is the number of requests of an account as which the sizes of all accounts count for its own.
	sharePrior = 4
	// maxSpread bounds the time over which the callers of a contended account are told to return: a third of
	// the longest deadlines of their requests, after which they return anyway.
	maxSpread = 4 * time.Second
	// returnShare is the share of the rate that light requests get which return, and that others get.
	returnShare = 0.5
)

// requestSizes are moving averages of the requests of all accounts at a node. A node sees too few requests
// of one account to tell its light ones from the others.
type requestSizes struct {
	at time.Time
	// tokens and light are the tokens of all requests and of the light ones, squares the sum of the squares of
	// all.
	tokens  float64
	light   float64
	squares float64
}

// record adds a request and reports whether it is light.
func (sizes *requestSizes) record(tokens float64, now time.Time) bool {
	if now.After(sizes.at) {
		decay := math.Exp(-now.Sub(sizes.at).Seconds() / sizesTimeConstant.Seconds())
		sizes.tokens, sizes.light, sizes.squares = sizes.tokens*decay, sizes.light*decay, sizes.squares*decay
		sizes.at = now
	}
	sizes.tokens += tokens
	sizes.squares += tokens * tokens
	isLight := tokens <= lightShare*sizes.typical()
	if isLight {
		sizes.light += tokens
	}
	return isLight
}

// typical returns the size of the request that a mean token belongs to.
func (sizes *requestSizes) typical() float64 {
	return sizes.squares / max(sizes.tokens, 1)
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
// therefore grants only the part of the requests that fits the room of all nodes, light ones first.
type contention struct {
	// spent and refused are moving averages of what all nodes have granted and refused, in tokens.
	spent   float64
	refused float64
	// asked and light are moving averages of the tokens that callers ask of this node, of all requests and
	// of light ones.
	asked float64
	light float64
	// lightReturns and heavyReturns are when the callers that were refused last have been told to return.
	lightReturns time.Time
	heavyReturns time.Time
}

func (contention *contention) decay(elapsed time.Duration) {
	decay := math.Exp(-elapsed.Seconds() / recentTimeConstant.Seconds())
	contention.spent *= decay
	contention.refused *= decay
	decay = math.Exp(-elapsed.Seconds() / sizesTimeConstant.Seconds())
	contention.asked *= decay
	contention.light *= decay
}

// record adds a request and returns the part of the account's tokens that light requests ask for. While few
// requests of the account are known, it is taken from the sizes of all accounts.
func (contention *contention) record(asked request, sizes *requestSizes) float64 {
	contention.asked += asked.tokens
	if asked.light {
		contention.light += asked.tokens
	}
	prior := sharePrior * sizes.typical()
	return (contention.light + prior*sizes.lightPart()) / max(contention.asked+prior, 1)
}

// demand returns the tokens a second that callers ask of all nodes.
func (contention *contention) demand() float64 {
	return (contention.spent + contention.refused) / recentTimeConstant.Seconds()
}

// margin returns the tokens that are kept in the bucket of a contended account.
func (limit Limit) margin() float64 {
	return min(limit.Rate*marginTime.Seconds(), limit.Burst/2)
}

// lightNeeds returns the level that a light request needs.
func (limit Limit) lightNeeds(tokens float64) float64 {
	return min(tokens, limit.margin()) - limit.Rate*lightDebtTime.Seconds()
}

// odds are the probabilities with which the requests of a contended account are granted.
type odds struct {
	light float64
	heavy float64
}

// oddsOf returns the odds that let all nodes together grant the rate and, over the correction time, bring the
// level to the margin. Light requests, whose part of the demand is lightPart, take the room of the others up to a
// share of it, since refusing one large request makes room for at least four of them. They go on below the
// margin, and with a part of the rate also while the bucket is in debt.
func oddsOf(limit Limit, demand, level, lightPart float64, correction time.Duration) odds {
	room := max(limit.Rate+(level-limit.margin())/correction.Seconds(), 0)
	light, heavy := demand*lightPart, demand*(1-lightPart)
	heavyRoom := min(room-min(light, lightRoomShare*room), heavy)
	lightRoom := max(limit.Rate+level/correction.Seconds()-heavyRoom, lightDebtShare*limit.Rate)
	return odds{light: probability(lightRoom, light), heavy: probability(heavyRoom, heavy)}
}

func probability(room, demand float64) float64 {
	if room >= demand {
		return 1
	}
	return max(room, 0) / demand
}

// admit decides whether a request may try the bucket, which holds level tokens. A heavy request that was drawn while the account is contended may take
// the level below zero, since its part was counted: otherwise the level would never hold the largest ones.
func (contention *contention) admit(limit Limit, asked request, level, lightPart float64, horizon time.Duration) (may, drawn bool) {
	demand := contention.demand()
	if demand < contendedShare*limit.Rate || demand*horizon.Seconds() <= level+limit.Rate*horizon.Seconds() {
		return true, false
	}
	correction := time.Duration(correctionHorizons * float64(horizon))
	odds := oddsOf(limit, demand, level, lightPart, correction)
	if asked.light {
		return asked.draw < odds.light, false
	}
	drawn = asked.draw < odds.heavy
	return drawn, drawn
}

// request is a request for tokens; draw is a random number from 0 to 1.
type request struct {
	tokens float64
	light  bool
	draw   float64
}

// returnIn returns the time after which the caller of a refused request should return, if there is room for one
// after room at the earliest. Callers return one after the other, at the rate of the node's part of the account's
// demand: half of it for light requests and half for the others. Those that would return later than
// maxSpread return at random in the second half of that time.
func (contention *contention) returnIn(limit Limit, asked request, part float64, room time.Duration, now time.Time) time.Duration {
	returns := &contention.heavyReturns
	if asked.light {
		returns = &contention.lightReturns
	}
	work := time.Duration(min(asked.tokens/max(limit.Rate*part*returnShare, 1), maxSpread.Seconds()) * float64(time.Second))
	next := returns.Add(work)
	if earliest := now.Add(room); next.Before(earliest) {
		next = earliest
	}
	if next.Sub(now) <= max(maxSpread, room) {
		*returns = next
		return next.Sub(now)
	}
	return max(time.Duration((0.5+asked.draw/2)*float64(maxSpread)), room)
}

// part returns the part of the account's demand that comes to this node, one of nodes.
func (contention *contention) part(nodes int) float64 {
	own := contention.asked / sizesTimeConstant.Seconds()
	return min(1, max(own/max(contention.demand(), 1), 1/float64(nodes)))
}
