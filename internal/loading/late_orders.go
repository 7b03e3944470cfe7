package loading

import (
	"sync"
	"time"

	"mimosatide.example/mimosatide"
)

// lateOrders keeps which orders may still arrive at engines that don't check fencing tokens:
// those that were sent and not answered, also after their connection was closed.
type lateOrders struct {
	// arrivalTime is how long after the end of a send its order may arrive; zero if the engines
	// check fencing tokens.
	arrivalTime time.Duration

	lock sync.Mutex
	// byEngine holds the orders under each fencing token by the engine's ID.
	byEngine map[string]map[mimosatide.FencingToken]unansweredOrders
}

// unansweredOrders are those to one engine under one fencing token.
type unansweredOrders struct {
	underWay int
	// until is when the last one that has ended without an answer may arrive.
	until time.Time
}

func newLateOrders(arrivalTime time.Duration) *lateOrders {
	return &lateOrders{arrivalTime: arrivalTime, byEngine: map[string]map[mimosatide.FencingToken]unansweredOrders{}}
}

// begin records that an order is sent to an engine. The function that it returns has to be
// called at the end of the send.
func (late *lateOrders) begin(engine string, token mimosatide.FencingToken) func(answered bool) {
	if late.arrivalTime == 0 {
		return func(bool) {}
	}
	late.change(engine, token, func(orders *unansweredOrders) { orders.underWay++ })
	return func(answered bool) {
		late.change(engine, token, func(orders *unansweredOrders) {
			orders.underWay--
			if !answered {
				orders.until = time.Now().Add(late.arrivalTime)
			}
		})
	}
}

func (late *lateOrders) change(engine string, token mimosatide.FencingToken, apply func(*unansweredOrders)) {
	late.lock.Lock()
	defer late.lock.Unlock()
	byToken := late.byEngine[engine]
	if byToken == nil {
		byToken = map[mimosatide.FencingToken]unansweredOrders{}
		late.byEngine[engine] = byToken
	}
	orders := byToken[token]
	apply(&orders)
	byToken[token] = orders
	for each, orders := range byToken {
		if !orders.mayArrive() {
			delete(byToken, each)
		}
	}
	if len(byToken) == 0 {
		delete(late.byEngine, engine)
	}
}

func (orders unansweredOrders) mayArrive() bool {
	return orders.underWay > 0 || time.Now().Before(orders.until)
}

// expected reports whether an order under another fencing token may still arrive at an engine.
func (late *lateOrders) expected(engine string, token mimosatide.FencingToken) bool {
	late.lock.Lock()
	defer late.lock.Unlock()
	for each, orders := range late.byEngine[engine] {
		if each != token && orders.mayArrive() {
			return true
		}
	}
	return false
}
