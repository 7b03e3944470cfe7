package soak_test

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// The times of faults.
const (
	// faultGap is the longest pause between two faults; each lasts up to faultLength, so that they overlap.
	faultGap    = 500 * time.Millisecond
	faultLength = 2500 * time.Millisecond
	// rowLife is how long the row of a crashed target stays in the store.
	rowLife = time.Second
	// endMargin is added to the grace before a process is killed that was told to end.
	endMargin = time.Second
)

// fault is a disturbance; it returns what ends it, or nil.
type fault struct {
	name  string
	begin func(world *world, program string) func()
}

// faults lists every disturbance that a run draws from.
func faults() []fault {
	return []fault{
		{"pause a node", (*world).pause},
		{"kill a node", func(world *world, program string) func() { return world.restart(program, syscall.SIGKILL) }},
		{"end a node", func(world *world, program string) func() { return world.restart(program, syscall.SIGTERM) }},
		{"reload a node", func(world *world, _ string) func() {
			world.draw().signal(syscall.SIGHUP)
			return nil
		}},
		{"refuse a node at the store", func(world *world, _ string) func() {
			entrance := world.draw().entrance
			entrance.Refuse(true)
			return func() { entrance.Refuse(false) }
		}},
		{"take the store down", (*world).storeDown},
		{"lose the store's answers", func(world *world, _ string) func() {
			entrance := world.draw().entrance
			entrance.LoseAnswers(0.5)
			return func() { entrance.LoseAnswers(0) }
		}},
		{"slow the store", func(world *world, _ string) func() {
			entrance := world.draw().entrance
			entrance.Slow(time.Duration(world.random.IntN(300)) * time.Millisecond)
			return func() { entrance.Slow(0) }
		}},
		{"forget the store's history", func(world *world, _ string) func() {
			world.store.Forget()
			return nil
		}},
		{"disturb a node's way to the store", func(world *world, _ string) func() { return world.disturb(world.draw().storeWay) }},
		{"disturb the way between nodes", func(world *world, _ string) func() { return world.disturb(world.draw().peerWay) }},
		{"disturb the way to a target", func(world *world, _ string) func() {
			return world.disturb(world.ways[world.random.IntN(len(world.ways))])
		}},
		{"disturb a node's callers", func(world *world, _ string) func() { return world.disturb(world.draw().callerWay) }},
		{"crash a target", (*world).crash},
		{"let a target leave", func(world *world, _ string) func() {
			target := world.targets[world.random.IntN(len(world.targets))]
			target.Leave(true)
			return func() { target.Leave(false) }
		}},
		{"let a target misbehave", func(world *world, _ string) func() {
			target := world.targets[world.random.IntN(len(world.targets))]
			target.Misbehave(world.random.Float64()/2, world.random.Float64()/2, world.random.Float64()/2)
			return func() { target.Misbehave(0, 0, 0) }
		}},
		{"change the configuration", func(world *world, _ string) func() {
			world.rotateKey()
			return nil
		}},
	}
}

func (world *world) draw() *node {
	return world.nodes[world.random.IntN(len(world.nodes))]
}

func (world *world) pause(string) func() {
	node := world.draw()
	node.touch()
	node.signal(syscall.SIGSTOP)
	return func() {
		node.signal(syscall.SIGCONT)
		node.touch()
	}
}

// restart ends a process and starts it again; one that was told to end must do so within its grace.
func (world *world) restart(program string, signal syscall.Signal) func() {
	node := world.draw()
	node.lock.Lock()
	busy := node.busy
	node.busy = true
	node.lock.Unlock()
	if busy {
		return nil
	}
	if signal == syscall.SIGKILL {
		node.touch()
	}
	node.signal(signal)
	return func() {
		if signal == syscall.SIGTERM {
			select {
			case <-node.ended:
			case <-time.After(grace + endMargin):
				node.touch()
			}
		}
		node.signal(syscall.SIGCONT)
		node.signal(syscall.SIGKILL)
		<-node.ended
		world.lock.Lock()
		world.first = false
		world.lock.Unlock()
		node.start(program)
		node.lock.Lock()
		node.busy = false
		node.lock.Unlock()
	}
}

func (world *world) storeDown(string) func() {
	silent := world.random.IntN(2) == 0
	each := func(down bool) {
		for _, node := range world.nodes {
			if silent {
				node.entrance.Silence(down)
			} else {
				node.entrance.Refuse(down)
			}
		}
	}
	each(true)
	return func() { each(false) }
}

// disturb cuts, silences, slows or resets a way.
func (world *world) disturb(way *proxy) func() {
	switch world.random.IntN(5) {
	case 0:
		way.set(flow{blocked: true}, flow{})
	case 1:
		way.set(flow{}, flow{blocked: true})
	case 2:
		way.set(flow{blocked: true}, flow{blocked: true})
	case 3:
		delay := time.Duration(world.random.IntN(200)) * time.Millisecond
		way.set(flow{delay: delay}, flow{delay: delay})
	default:
		way.reset()
		return nil
	}
	return func() { way.set(flow{}, flow{}) }
}

func (world *world) crash(string) func() {
	index := world.random.IntN(len(world.targets))
	target := world.targets[index]
	target.Crash()
	time.AfterFunc(rowLife, func() { target.RemoveIfDown() })
	return func() {
		if err := target.Restart(); err != nil {
			world.t.Logf("target %d not restarted: %v", index, err)
		}
	}
}

// disturbAll draws faults until the context ends, and waits until they have ended.
func (world *world) disturbAll(ctx context.Context, program string, drawn func(name string)) {
	var group sync.WaitGroup
	all := faults()
	for ctx.Err() == nil {
		fault := all[world.random.IntN(len(all))]
		length := time.Duration(world.random.Int64N(int64(faultLength)))
		drawn(fault.name)
		if end := fault.begin(world, program); end != nil {
			group.Go(func() {
				time.Sleep(length)
				end()
			})
		}
		time.Sleep(time.Duration(world.random.Int64N(int64(faultGap))))
	}
	group.Wait()
}

// heal ends every fault that a later one may have left behind.
func (world *world) heal() {
	for _, node := range world.nodes {
		node.signal(syscall.SIGCONT)
		node.entrance.Refuse(false)
		node.entrance.Silence(false)
		node.entrance.LoseAnswers(0)
		node.entrance.Slow(0)
		for _, way := range []*proxy{node.storeWay, node.callerWay, node.peerWay} {
			way.set(flow{}, flow{})
		}
	}
	for index, target := range world.targets {
		world.ways[index].set(flow{}, flow{})
		target.Misbehave(0, 0, 0)
		target.Leave(false)
	}
}
