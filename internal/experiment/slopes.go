package experiment

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
	"mimosatide.example/mimosatide/internal/fleet"
	"mimosatide.example/mimosatide/internal/limit"
	"mimosatide.example/mimosatide/internal/peer"
	"mimosatide.example/mimosatide/internal/placement"
	"mimosatide.example/mimosatide/internal/platform"
)

const (
	// slopeTick is the step of the virtual time, slopeDuration the length of a simulation.
	slopeTick     = 20 * time.Millisecond
	slopeDuration = time.Minute
	// relayReadInterval is the interval at which each member that is not a relay asks one for a read.
	relayReadInterval = fleet.DefaultReadEvery
)

// Role is the role of a member in a large fleet, besides serving callers.
type Role string

// The roles. A relay reads the table for other members; a witness votes and holds
// shares. The position in the member list decides: relays come first, then the other
// witnesses, then all other members.
const (
	RelayRole   Role = "relay"
	WitnessRole Role = "witness"
	MemberRole  Role = "member"
)

// RoleCost is the cost of the fleet's core for one node. All costs but Heap are per second.
type RoleCost struct {
	Role    Role
	Members int
	// CPUTime is the time spent in the core's steps.
	CPUTime time.Duration
	// Sent and Received count messages.
	Sent     float64
	Received float64
	// BytesOut and BytesIn count the encoded messages, without transport framing.
	BytesOut float64
	BytesIn  float64
	// RowsRead and Commits count accesses to the table.
	RowsRead float64
	Commits  float64
	// Heap is the growth of the heap in bytes.
	Heap int64
}

// roleSimulation runs the core of one node among simulated members.
type roleSimulation struct {
	core  *fleet.Core
	table *platform.MemoryTable
	self  mimosatide.Member
	// hosts maps each member's address to its host.
	hosts map[string]string
	// row is the version of the head's row.
	row  mimosatide.RowVersion
	cost RoleCost
	// inbox holds the events for the next tick.
	inbox []fleet.Event
}

// MeasureRole simulates a minute of a fleet of the given size and returns the cost
// of the core for one node in the given role. It returns an error if the node's
// configuration is not fresh in the end.
func MeasureRole(role Role, members int) (RoleCost, error) {
	positions := map[Role]int{RelayRole: 0, WitnessRole: fleet.DefaultRelayLimit, MemberRole: fleet.DefaultWitnessLimit}
	position := min(positions[role], members-1)
	list := make([]mimosatide.Member, members)
	for index := range list {
		list[index] = mimosatide.Member{
			Address: fmt.Sprintf("10.%d.%d.%d:7400", index/65536, index/256%256, index%256),
			Host:    fmt.Sprintf("host-%d", index), Zone: fmt.Sprintf("zone-%d", index%9),
		}
	}
	before := heapInUse()
	run := &roleSimulation{
		table: platform.NewMemoryTable(), self: list[position], hosts: map[string]string{},
		cost: RoleCost{Role: role, Members: members},
	}
	for _, member := range list {
		run.hosts[member.Address] = member.Host
	}
	run.prepare(list)
	run.core = fleet.New(fleet.DefaultSettings(run.self, "slope"))
	run.simulate(list, role)
	seconds := slopeDuration.Seconds()
	run.cost.CPUTime /= time.Duration(seconds)
	for _, total := range []*float64{
		&run.cost.Sent, &run.cost.Received, &run.cost.BytesOut, &run.cost.BytesIn, &run.cost.RowsRead, &run.cost.Commits,
	} {
		*total /= seconds
	}
	run.cost.Heap = heapInUse() - before
	if !run.core.Fresh(slopeDuration) {
		return run.cost, errors.New("measured node is not fresh after the run, so its costs are not those of its role")
	}
	return run.cost, nil
}

// heapInUse returns the live heap in bytes after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// prepare writes the table rows of a running fleet whose shares are spread over the witnesses.
func (run *roleSimulation) prepare(list []mimosatide.Member) {
	holders := make([]fleet.Holder, fleet.DefaultShareCount)
	witnesses := min(len(list), fleet.DefaultWitnessLimit)
	for index := range holders {
		holders[index] = fleet.Holder{Address: list[index%witnesses].Address, Incarnation: 1}
	}
	writes := []mimosatide.Write{
		{Key: fleet.HeadKey, Value: fleet.EncodeHead(fleet.Head{Members: list})},
		{Key: fleet.SharesKey, Value: fleet.EncodeShares(holders)},
	}
	for _, member := range list[:witnesses] {
		if member != run.self {
			lease := fleet.EncodeLease(fleet.LeaseRow{Incarnation: 1, Nonce: "other"})
			writes = append(writes, mimosatide.Write{Key: "fleet/lease/" + member.Address, Value: lease})
		}
	}
	run.table.Commit(context.Background(), mimosatide.Transaction{Writes: writes})
	run.row = 1
}

// simulate runs the core for slopeDuration of virtual time. A relay also gets its
// part of the other members' read requests.
func (run *roleSimulation) simulate(list []mimosatide.Member, role Role) {
	dueRequests := 0.0
	requestsPerTick := 0.0
	if role == RelayRole && len(list) > fleet.DefaultRelayLimit {
		others := float64(len(list)-fleet.DefaultRelayLimit) / fleet.DefaultRelayLimit
		requestsPerTick = others * slopeTick.Seconds() / relayReadInterval.Seconds()
	}
	for now := slopeTick; now <= slopeDuration; now += slopeTick {
		events := append(run.inbox, fleet.Tick{})
		run.inbox = nil
		for dueRequests += requestsPerTick; dueRequests >= 1; dueRequests-- {
			from := list[(int(now/slopeTick)*31+int(dueRequests))%len(list)].Address
			events = append(events, run.receiveMessage(from, fleet.ReadRequest{Round: 1, Row: run.row}))
		}
		for _, event := range events {
			started := time.Now()
			effects := run.core.Step(now, event)
			run.cost.CPUTime += time.Since(started)
			run.handleEffects(effects)
		}
	}
}

// receiveMessage counts a message to the node and returns its event.
func (run *roleSimulation) receiveMessage(from string, message fleet.Message) fleet.Event {
	data, _ := peer.Encode(message)
	run.cost.Received++
	run.cost.BytesIn += float64(len(data))
	return fleet.Received{From: from, Message: message}
}

// handleEffects executes the core's effects: table calls on the table in memory,
// messages by the replies of the simulated peers.
func (run *roleSimulation) handleEffects(effects []fleet.Effect) {
	ctx := context.Background()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case fleet.ReadTable:
			run.cost.RowsRead += float64(len(effect.Keys))
			rows, _ := run.table.Read(ctx, effect.Keys...)
			run.inbox = append(run.inbox, fleet.TableRead{Call: effect.Call, Rows: rows})
		case fleet.CommitTable:
			run.cost.Commits++
			run.inbox = append(run.inbox, fleet.TableCommitted{Call: effect.Call, Outcome: run.table.Commit(ctx, effect.Transaction)})
		case fleet.SendMessage:
			data, _ := peer.Encode(effect.Message)
			run.cost.Sent++
			run.cost.BytesOut += float64(len(data))
			run.reply(effect)
		}
	}
}

func (run *roleSimulation) reply(effect fleet.SendMessage) {
	switch message := effect.Message.(type) {
	case fleet.Ping:
		report := fleet.HeadReport{Round: message.Round, Row: run.row, Host: run.hosts[effect.To]}
		run.inbox = append(run.inbox, run.receiveMessage(effect.To, report))
		// Each member pings some that follow it in the list, so the node gets as many pings as it sends.
		run.inbox = append(run.inbox, run.receiveMessage(effect.To, fleet.Ping{Round: message.Round, Row: run.row}))
	case fleet.ReadRequest:
		run.inbox = append(run.inbox, run.receiveMessage(effect.To, fleet.ReadResponse{Round: message.Round, Row: run.row}))
	}
}

// PrintSlopes prints how costs grow: the cost of every role by the size of the fleet,
// and the memory and time that a large configuration takes at one node.
func PrintSlopes(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROLE\tMEMBERS\tCORE (% OF ONE)\tMESSAGES OUT/S\tIN/S\tBYTES OUT/S\tIN/S\tROWS READ/S\tCOMMITS/S\tHEAP (KB)")
	for _, members := range []int{8, 100, 800, 3200} {
		for _, role := range []Role{RelayRole, WitnessRole, MemberRole} {
			cost, err := MeasureRole(role, members)
			if err != nil {
				return errors.Annotatef(err, "measuring role %s in a fleet of %d members", role, members)
			}
			fmt.Fprintf(table, "%s\t%d\t%.3f\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f\t%.4f\t%d\n", role, members, 100*cost.CPUTime.Seconds(),
				cost.Sent, cost.Received, cost.BytesOut, cost.BytesIn, cost.RowsRead, cost.Commits, cost.Heap>>10)
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	return printStateSlopes(out)
}

// slopeDocument returns a configuration document with the given numbers of entries.
func slopeDocument(models, adapters, keys, accounts int) (*configuration.Document, error) {
	var changes []configuration.Change
	for index := range accounts {
		value := []byte(`{"RateTokensPerSecond":1000,"BurstTokens":2000,"Weight":1,"Priority":0}`)
		changes = append(changes, configuration.Change{Section: configuration.AccountSection, Name: fmt.Sprint("account-", index), Value: value})
	}
	for index := range keys {
		value := []byte(fmt.Sprintf(`{"Account":"account-%d","Withdrawn":false}`, index%max(1, accounts)))
		digest := string(mimosatide.DigestKey(fmt.Sprint(index)))
		changes = append(changes, configuration.Change{Section: configuration.KeySection, Name: digest, Value: value})
	}
	for index := range models {
		list := ""
		for adapter := index; adapter < adapters; adapter += models {
			if list != "" {
				list += ","
			}
			list += fmt.Sprintf(`"adapter-%d":{"Version":"1","MemoryBytes":1000}`, adapter)
		}
		value := fmt.Sprintf(`{"Version":"1","MemoryBytes":1,"LoadTime":"40s","WaitLimit":"60s","MaxReplicas":4,"Concurrency":8,"Adapters":{%s}}`, list)
		changes = append(changes, configuration.Change{Section: configuration.ModelSection, Name: fmt.Sprint("model-", index), Value: []byte(value)})
	}
	return configuration.NewDocument().WithChanges(changes)
}

// printStateSlopes prints the memory and time that a large configuration takes at one node.
func printStateSlopes(out io.Writer) error {
	before := heapInUse()
	document, err := slopeDocument(1100, 37000, 20000, 2000)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(out, "document of 1100 models, 37000 adapters, 20000 keys, 2000 accounts: %d KB of heap\n", (heapInUse()-before)>>10)
	digest := mimosatide.DigestKey("1")
	change := configuration.Change{Section: configuration.KeySection, Name: string(digest), Value: []byte(`{"Account":"account-1","Withdrawn":true}`)}
	perChange := timeOf(50, func() { _, err = document.WithChanges([]configuration.Change{change}) })
	if err != nil {
		return errors.Trace(err)
	}
	body := []byte(fmt.Sprintf(`{"Keys":{"%s":{"Withdrawn":true}}}`, digest))
	perPatch := timeOf(3, func() { configuration.Patch(document, configuration.MergePatch, body) })
	fmt.Fprintf(out, "one change applied at a node: %s; one patch checked at the node that takes it: %s\n", perChange, perPatch)
	before = heapInUse()
	nodeLimiter := limit.New(limit.DefaultSettings())
	nodeLimiter.SetShares(0, 1, time.Hour)
	for _, account := range document.Accounts() {
		nodeLimiter.SetAccount(0, account)
	}
	fmt.Fprintf(out, "bank of 2000 accounts: %d KB of heap\n", (heapInUse()-before)>>10)
	live := make([]string, 3200)
	for index := range live {
		live[index] = fmt.Sprintf("10.0.%d.%d:7400", index/256, index%256)
	}
	fmt.Fprintf(out, "home of one model among 3200 live members: %s\n", timeOf(100, func() { placement.HomeOf("model-1", live) }))
	runtime.KeepAlive(document)
	runtime.KeepAlive(nodeLimiter)
	return nil
}

// timeOf returns the mean time of one call of work.
func timeOf(count int, work func()) time.Duration {
	started := time.Now()
	for range count {
		work()
	}
	return time.Since(started) / time.Duration(count)
}
