//go:build review

// Command bed plays the cases of the review against real processes of `mimosatide entry`,
// started with the command of the deploy file. The clients, the servers, the store and the
// platform are stand-ins in this process; all addresses are loopback addresses.
package main

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCouldNot  = 2
	restartDelay  = 500 * time.Millisecond
	memoryLimitMB = 284
)

// checksFences says that replicas check the epoch numbers of orders.
var checksFences = os.Getenv("FENCING") != "0"

// bed is the deployment of one case.
type bed struct {
	folder  string
	program string
	trouble bool
	network string
	store   *emulator.Store
	nodes   []*node
	began   time.Time

	lock   sync.Mutex
	record *os.File
}

// note writes a line to record.txt, with the seconds since the start.
func (bed *bed) note(format string, arguments ...any) {
	bed.lock.Lock()
	defer bed.lock.Unlock()
	fmt.Fprintf(bed.record, "%8.3f %s\n", time.Since(bed.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// fail ends a case that could not run.
func (bed *bed) fail(format string, arguments ...any) {
	bed.note("could not run: "+format, arguments...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", arguments...)
	bed.stop()
	os.Exit(exitCouldNot)
}

func (bed *bed) address(host int) string {
	return bed.network + strconv.Itoa(host)
}

// listen opens a free port of a loopback address.
func (bed *bed) listen(host int) net.Listener {
	listener, err := net.Listen("tcp", bed.address(host)+":0")
	if err != nil {
		bed.fail("%v", err)
	}
	return listener
}

// node is one machine with its process.
type node struct {
	bed      *bed
	name     string
	zone     string
	ip       string
	callers  string
	ready    string
	inner    int
	settings string
	endpoint *emulator.StoreEndpoint
	// storeAddress is where the process reaches the store.
	storeAddress string

	lock    sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// stopping says that the case stops the process, so that its end is no end of its own.
	stopping bool
	// ownEnds counts the ends that the case did not bring about.
	ownEnds int
	// peakMB is the largest resident memory that was seen.
	peakMB int
}

// addNode adds a machine; start starts its process.
func (bed *bed) addNode(zone string) *node {
	index := len(bed.nodes)
	created := &node{bed: bed, name: fmt.Sprintf("front-%s-%d", zone, index+1), zone: zone, ip: bed.address(index + 1)}
	free, err := emulator.FreeAddresses(created.ip, 3)
	if err != nil {
		bed.fail("%v", err)
	}
	created.callers, created.ready = free[0], free[1]
	_, inner, _ := strings.Cut(free[2], ":")
	created.inner, _ = strconv.Atoi(inner)
	created.endpoint = bed.store.NewEndpoint(created.name)
	created.storeAddress = created.endpoint.Address()
	created.settings = filepath.Join(bed.folder, created.name+".conf")
	bed.nodes = append(bed.nodes, created)
	return created
}

// start writes the settings and starts the process with the command of the deploy file.
func (node *node) start(first bool) {
	text := fmt.Sprintf(`nodeName=%s
role=entry
machineClass=front
serves=front
ip=%s
zone=%s
region=pl-central
listen.front=%s
listen.readyAddr=%s
innerPorts=%d,%d
bootstrap=%t
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%d
limits.maxFds=4100
limits.linkMbps=1000.0
discovery=platform
heartbeatMs=1200
bounds.stableWindowMs=3000
bounds.leaseMs=3000
bounds.graceS=8
bounds.drainMs=2000
bounds.configApplyMs=2000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=56
bounds.requireFencing=%t
platform.address=%s
platform.form=table
`, node.name, node.ip, node.zone, node.callers, node.ready, node.inner, node.inner+15, first, memoryLimitMB, checksFences, node.storeAddress)
	if err := os.WriteFile(node.settings, []byte(text), 0o600); err != nil {
		node.bed.fail("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(node.bed.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		node.bed.fail("%v", err)
	}
	process := exec.Command(node.bed.program, "entry")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSATIDE_NODE_FILE=" + node.settings}
	process.Stdout, process.Stderr = log, log
	// The process ends with this one, however this one ends.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		node.bed.fail("%v", err)
	}
	ended := make(chan struct{})
	node.lock.Lock()
	node.process, node.ended = process, ended
	node.lock.Unlock()
	node.bed.note("%s starts", node.name)
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
}

// signal sends a signal to the node's process.
func (node *node) signal(signal syscall.Signal) {
	node.lock.Lock()
	defer node.lock.Unlock()
	if node.process != nil {
		_ = node.process.Process.Signal(signal)
	}
}

// residentMB returns the resident memory of the process in megabytes.
func (node *node) residentMB() int {
	node.lock.Lock()
	process := node.process.Process.Pid
	node.lock.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}

// keepWithinMemory does what the platform does: it kills a process that exceeds its memory,
// and starts it again after a short delay.
func (node *node) keepWithinMemory(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		resident := node.residentMB()
		node.lock.Lock()
		node.peakMB = max(node.peakMB, resident)
		node.lock.Unlock()
		if resident <= memoryLimitMB {
			continue
		}
		node.lock.Lock()
		node.ownEnds++
		ended := node.ended
		node.lock.Unlock()
		node.bed.note("%s has %d MB of memory, its limit is %d: the platform kills it", node.name, resident, memoryLimitMB)
		node.signal(syscall.SIGKILL)
		<-ended
		time.Sleep(restartDelay)
		node.start(false)
	}
}

// awaitReady waits until all nodes say that they are ready.
func (bed *bed) awaitReady() {
	for _, node := range bed.nodes {
		for began := time.Now(); !node.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Since(began) > 15*time.Second {
				bed.fail("%s is not ready", node.name)
			}
		}
	}
}

func (node *node) isReady() bool {
	connection, err := net.DialTimeout("tcp", node.ready, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(connection, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
	answer, _ := io.ReadAll(connection)
	return strings.HasPrefix(string(answer), "HTTP/1.1 200")
}

// stop ends all processes that the case started.
func (bed *bed) stop() {
	for _, node := range bed.nodes {
		node.signal(syscall.SIGCONT)
		node.signal(syscall.SIGKILL)
		node.lock.Lock()
		ended := node.ended
		node.lock.Unlock()
		if ended != nil {
			<-ended
		}
	}
}

// scenarios are the cases by name. Each returns what was broken, empty if the rule held.
var scenarios = map[string]func(bed *bed) string{
	"memory": playMemory,
	"stop":   playStop,
	"holder": playHolder,
	"turn":   playTurn,
}

func main() {
	folder := flag.String("record", "", "folder of the case, where record.txt is written")
	program := flag.String("program", "target/mimosatide", "the program under review")
	flag.Parse()
	play, found := scenarios[flag.Arg(0)]
	if !found {
		fmt.Fprintln(os.Stderr, "usage: bed -record FOLDER CASE")
		os.Exit(exitCouldNot)
	}
	os.Exit(run(*folder, *program, play))
}

func run(folder, program string, play func(bed *bed) string) int {
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer func() { _ = record.Close() }()
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	created := &bed{
		folder: temporary, program: program, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now(),
		network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)), store: emulator.NewStore(),
	}
	created.note("disruption: %t", created.trouble)
	broken := play(created)
	created.stop()
	if broken != "" {
		created.note("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return exitBroken
	}
	created.note("held")
	fmt.Println("held")
	return exitHeld
}
