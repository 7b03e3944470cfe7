package node

import (
	"context"
	"time"
)

const gaugeInterval = time.Second

// The status types are encoded as JSON for the operators' API under the names of their fields.

type memberStatus struct {
	Address string
	Host    string
	Zone    string
	Live    bool
	// Shares is the number of rate shares that the member holds.
	Shares int
}

type placementStatus struct {
	ID      string
	Model   string
	Version string
	Target  string
	State   string
	// Adapters are the adapters that are ready.
	Adapters []string
}

type targetStatus struct {
	Name      string
	Kind      string
	Zone      string
	Reachable bool
	Leaving   bool
	// Running is the load in the target's last report: its running and queued requests.
	Running int
}

type accountStatus struct {
	Name string
	// Balance is the number of tokens that this node may still spend.
	Balance      float64
	Served       int
	Refused      int
	ServedTokens float64
	// MeanWaitMs is the sum of the waits until the first send, divided by the number of served
	// and refused requests, in milliseconds.
	MeanWaitMs float64
}

type nodeStatus struct {
	Node string
	// Version is the version of the configuration in force.
	Version uint64
	// Sequence is the newest known entry of the configuration log, Applied the newest applied one.
	Sequence uint64
	Applied  uint64
	Fresh    bool
	// FreshForMs is the time for which the configuration is still confirmed fresh, in
	// milliseconds; it is negative once the configuration is stale.
	FreshForMs int64
	Draining   bool
	Members    []memberStatus
	Targets    []targetStatus
	Placements []placementStatus
	Accounts   []accountStatus
	// Waiting is the number of waiting requests by model and account.
	Waiting map[string]map[string]int
}

// Status returns the state of this node and of the fleet as this node knows it. The value encodes to JSON.
func (node *Node) Status() any {
	head := node.fleet.head()
	status := nodeStatus{
		Node:       node.settings.Member.Address,
		Version:    uint64(node.store.View().Version),
		Sequence:   head.Sequence,
		Applied:    node.fleet.applied(),
		Fresh:      node.fleet.fresh(),
		FreshForMs: (time.Duration(node.fleet.freshUntil.Load()) - node.clock.Now()).Milliseconds(),
		Draining:   node.isDraining(),
		Waiting:    node.dispatch.Waiting(),
	}
	status.Members = node.memberStatus()
	status.Targets = node.targetStatus()
	status.Placements = node.placementStatus()
	status.Accounts = node.accountStatus()
	return status
}

func (node *Node) memberStatus() []memberStatus {
	live := map[string]bool{}
	for _, address := range node.fleet.Live() {
		live[address] = true
	}
	counts := map[string]int{}
	for holder, count := range node.fleet.shares() {
		counts[holder.Address] += count
	}
	var members []memberStatus
	for _, member := range node.fleet.head().Members {
		members = append(members, memberStatus{
			Address: member.Address,
			Host:    member.Host,
			Zone:    member.Zone,
			Live:    live[member.Address],
			Shares:  counts[member.Address],
		})
	}
	return members
}

func (node *Node) targetStatus() []targetStatus {
	var targets []targetStatus
	for _, spec := range node.store.View().Document.Targets() {
		targets = append(targets, targetStatus{
			Name:      spec.Name,
			Kind:      string(spec.Kind),
			Zone:      spec.Zone,
			Reachable: node.controller.Reachable(spec.Name),
			Leaving:   node.controller.Leaving(spec.Name),
			Running:   node.controller.ReportedLoad(spec.Name),
		})
	}
	return targets
}

func (node *Node) placementStatus() []placementStatus {
	var placements []placementStatus
	for _, known := range node.controller.Placements() {
		item := placementStatus{
			ID:      known.ID,
			Model:   known.Model,
			Version: known.Version,
			Target:  known.Target,
			State:   string(known.State),
		}
		for _, adapter := range known.Adapters {
			if adapter.Ready {
				item.Adapters = append(item.Adapters, adapter.Name)
			}
		}
		placements = append(placements, item)
	}
	return placements
}

func (node *Node) accountStatus() []accountStatus {
	now := node.clock.Now()
	stats := node.dispatch.AccountStats()
	var accounts []accountStatus
	for _, name := range node.limiter.Accounts() {
		totals := stats[name]
		item := accountStatus{
			Name:         name,
			Balance:      node.limiter.Balance(now, name),
			Served:       totals.Served,
			Refused:      totals.Refused,
			ServedTokens: totals.Tokens,
		}
		if count := totals.Served + totals.Refused; count > 0 {
			item.MeanWaitMs = float64(totals.Wait.Milliseconds()) / float64(count)
		}
		accounts = append(accounts, item)
	}
	return accounts
}

// reportGauges updates the gauges of the node's state until the context ends.
func (node *Node) reportGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		counts := node.hub.Counts()
		node.meter.SetGauge("peer_messages_sent", float64(counts.Sent))
		node.meter.SetGauge("peer_messages_received", float64(counts.Received))
		node.meter.SetGauge("peer_messages_dropped", float64(counts.Dropped))
		node.meter.SetGauge("members_live", float64(len(node.fleet.Live())))
		node.meter.SetGauge("configuration_version", float64(node.store.View().Version))
		fresh := 0.0
		if node.fleet.fresh() {
			fresh = 1
		}
		node.meter.SetGauge("configuration_fresh", fresh)
	}
}
