// Command bed-2 starts entry nodes as processes beside stand-ins of the platform and plays one case of this review.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// bed is a small deployment: a store, replicas and nodes.
type bed struct {
	folder string
	prefix string
	store  *emulator.Store
	began  time.Time
	// extra are further lines of the nodes' settings.
	extra []string

	lock   sync.Mutex
	record *os.File
	nodes  []*node
}

type node struct {
	bed       *bed
	name      string
	ip        string
	callers   string
	readiness string
	endpoint  *emulator.StoreEndpoint
	// storeAddress is where the node reaches the store.
	storeAddress string
	process      *exec.Cmd
	ended        chan struct{}
}

func newBed(record string) *bed {
	folder, err := os.MkdirTemp("", "bed")
	check(err)
	file, err := os.Create(record)
	check(err)
	running = &bed{
		folder: folder, prefix: fmt.Sprintf("127.%d.%d.", 100+os.Getpid()%100, 1+os.Getpid()/100%250),
		store: emulator.NewStore(), began: time.Now(), record: file,
	}
	return running
}

// running is the bed of this process.
var running *bed

// check ends the case if there is an error: it could not run.
func check(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	if running != nil {
		running.note("could not run: %v", err)
		running.end()
	}
	os.Exit(couldNotRun)
}

// note writes a line to the record.
func (bed *bed) note(format string, args ...any) {
	bed.lock.Lock()
	defer bed.lock.Unlock()
	fmt.Fprintf(bed.record, "%8.3f s  %s\n", time.Since(bed.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve starts a server at a free port and returns its address.
func (bed *bed) serve(host int, handler http.Handler) string {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", bed.prefix, host))
	check(err)
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// addNode prepares a node.
func (bed *bed) addNode() *node {
	index := len(bed.nodes)
	ip := fmt.Sprintf("%s%d", bed.prefix, index+1)
	free, err := emulator.FreeAddresses(ip, 2)
	check(err)
	added := &node{bed: bed, name: fmt.Sprintf("front-a-%d", index+1), ip: ip, callers: free[0], readiness: free[1]}
	added.endpoint = bed.store.NewEndpoint(added.name)
	added.storeAddress = added.endpoint.Address()
	bed.nodes = append(bed.nodes, added)
	return added
}

// start starts the node's process with the command of the deploy file.
func (node *node) start(bootstrap bool) {
	bed := node.bed
	settings := filepath.Join(bed.folder, node.name+".conf")
	text := fmt.Sprintf("nodeName=%s\nzone=a\nip=%s\nlisten.front=%s\nlisten.readyAddr=%s\ninnerPorts=7600,7615\nbootstrap=%t\n"+
		"limits.cpuShare=0.4\nlimits.cores=1\nlimits.memoryMb=284\nlimits.maxFds=4100\nbounds.leaseMs=3000\nbounds.graceS=8\nbounds.drainMs=2000\n"+
		"bounds.configApplyMs=2000\nbounds.retryBudgetRatio=0.2\nbounds.budgetSlack=56\nplatform.address=%s\nplatform.writesPerS=400\n",
		node.name, node.ip, node.callers, node.readiness, bootstrap, node.storeAddress) + strings.Join(bed.extra, "\n")
	check(os.WriteFile(settings, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(bed.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	node.process = exec.Command("target/mimosatide", "entry")
	node.process.Env = append(os.Environ(), "MIMOSATIDE_NODE_FILE="+settings)
	node.process.Stdout, node.process.Stderr = log, log
	check(node.process.Start())
	node.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}(node.process, node.ended)
}

// ready reports whether the node says that it is ready.
func (node *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + node.readiness + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (bed *bed) awaitReady() {
	for _, node := range bed.nodes {
		for began := time.Now(); !node.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Since(began) > 15*time.Second {
				check(fmt.Errorf("%s is not ready", node.name))
			}
		}
	}
}

// end kills the processes and removes the temporary folder.
func (bed *bed) end() {
	for _, node := range bed.nodes {
		if node.ended != nil {
			_ = node.process.Process.Kill()
			<-node.ended
		}
	}
	_ = os.RemoveAll(bed.folder)
}
