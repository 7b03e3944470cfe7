package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

const (
	// firstNode and firstReplica are the last bytes of the first addresses of nodes and of replicas.
	firstNode    = 1
	firstReplica = 101
	// startTimeout bounds the time until all nodes are ready.
	startTimeout = 20 * time.Second
	// stopTimeout is how long a node may take to end after SIGTERM.
	stopTimeout = 9 * time.Second
)

// fleet is a small deployment: a store, and entry nodes as processes.
type fleet struct {
	record  *record
	program string
	folder  string
	// network is the first three bytes of the loopback addresses, with a dot at the end.
	network string
	store   *emulator.Store
	nodes   []*node
}

// node is an entry node, which runs as a process of its own.
type node struct {
	name     string
	callers  string
	ready    string
	endpoint *emulator.StoreEndpoint
	process  *exec.Cmd
	ended    chan struct{}
}

func newFleet(log *record, program string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "bed-3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &fleet{
		record: log, program: program, folder: folder, store: emulator.NewStore(),
		network: fmt.Sprintf("127.%d.%d.", 40+pid/250%200, 1+pid%250),
	}, nil
}

// address returns a loopback address of the deployment.
func (fleet *fleet) address(host int) string {
	return fmt.Sprintf("%s%d", fleet.network, host)
}

// start starts the nodes and waits until they are ready.
func (fleet *fleet) start(count int) error {
	for index := range count {
		if err := fleet.startNode(index); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(startTimeout)
	for _, node := range fleet.nodes {
		for !isReady(client, node) {
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready after %s", node.name, startTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func isReady(client *http.Client, node *node) bool {
	response, err := client.Get("http://" + node.ready + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// startNode starts one node with settings like those of a small deployment.
func (fleet *fleet) startNode(index int) error {
	ip := fleet.address(firstNode + index)
	free, err := emulator.FreeAddresses(ip, 2)
	if err != nil {
		return err
	}
	started := &node{
		name: fmt.Sprintf("front-%d", index+1), callers: free[0], ready: free[1], ended: make(chan struct{}),
	}
	started.endpoint = fleet.store.NewEndpoint(started.name)
	settings := strings.Join([]string{
		"nodeName=" + started.name, "role=entry", "machineClass=front", "serves=front", "ip=" + ip, "zone=a", "region=r",
		"zones.a=r", "listen.front=" + started.callers, "listen.readyAddr=" + started.ready, "innerPorts=7600,7615",
		"bootstrap=true", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100",
		"discovery=platform", "entry=vip", "heartbeatMs=1200", "bounds.stableWindowMs=3000", "bounds.drainMs=2000",
		"bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.retryBudgetRatio=0.2",
		"bounds.budgetWindowS=10", "bounds.budgetSlack=56", "bounds.requireFencing=true", "bounds.leaseMs=3000",
		"platform.address=" + started.endpoint.Address(), "platform.form=table", "platform.writesPerS=400", "platform.partWritesS=300",
	}, "\n") + "\n"
	path := filepath.Join(fleet.folder, started.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(fleet.folder, started.name+".log"))
	if err != nil {
		return err
	}
	started.process = exec.Command(fleet.program, "entry")
	started.process.Env = append(os.Environ(), "MIMOSATIDE_NODE_FILE="+path)
	started.process.Stdout, started.process.Stderr = log, log
	if err := started.process.Start(); err != nil {
		return err
	}
	go func() {
		_ = started.process.Wait()
		_ = log.Close()
		close(started.ended)
	}()
	fleet.nodes = append(fleet.nodes, started)
	return nil
}

// stop ends the processes that were started, and removes the temporary folder unless KEEP is set.
func (fleet *fleet) stop() {
	var group sync.WaitGroup
	for _, node := range fleet.nodes {
		_ = node.process.Process.Signal(syscall.SIGTERM)
		group.Go(func() {
			select {
			case <-node.ended:
			case <-time.After(stopTimeout):
				_ = node.process.Process.Kill()
				<-node.ended
			}
			node.endpoint.Close()
		})
	}
	group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	} else {
		fmt.Println("logs are in", fleet.folder)
	}
}
