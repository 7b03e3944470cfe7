package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mimosatide.example/mimosatide/platform"
	"mimosatide.example/mimosatide/platform/emulator"
)

// TestReloadSignalDuringStartDoesNotEndProcess guards against a SIGHUP that
// arrives before its handler is installed and terminates the process. The node
// reads its settings from a named pipe, which blocks its start.
func TestReloadSignalDuringStartDoesNotEndProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(binary, "entry")
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the pipe for writing blocks until the process has opened it for reading.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.WriteString("nodeName=n1\n"); err != nil {
		t.Errorf("write settings after SIGHUP: got %v, want the process to read them", err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
	// The settings are incomplete, so that the process must exit with an error.
	if err := process.Wait(); err == nil || process.ProcessState.ExitCode() != 1 {
		t.Errorf("got %v, want exit status 1", process.ProcessState)
	}
}

// slowTarget is a target of the service desk that answers after some time, once it is slow.
type slowTarget struct {
	slow, ran atomic.Bool
}

func (target *slowTarget) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if target.slow.Load() {
		target.ran.Store(true)
		select {
		case <-request.Context().Done():
		case <-time.After(3500 * time.Millisecond):
		}
	}
	writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	writer.Header().Set("Response-Signature", "signature")
}

// start starts the target and writes its row and a configuration with a route to it.
func (target *slowTarget) start(t *testing.T, store *emulator.Store) {
	t.Helper()
	store.Put("op", "config", `{"version":1,"routes":[{"name":"buy","host":"a.example","prefix":"/buy/","kind":"non_idempotent","service":"desk",
	 "maxAttempts":1,"timeoutMs":8000,"targetLatencyMs":500,"public":true}],"services":[{"name":"desk","maxConns":100}],
	 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`)
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	store.Put("servers", "d-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":6,"state":"ready","born":1}`,
		strings.TrimPrefix(server.URL, "http://")))
}

// startEntryNode starts an entry node as a process and returns it with the address for callers.
// The lines of extra replace the settings of the same names.
func startEntryNode(t testing.TB, store *emulator.Store, ip string, grace time.Duration, extra ...string) (*os.Process, string) {
	t.Helper()
	endpoint := store.NewEndpoint("n1")
	t.Cleanup(endpoint.Close)
	free, err := emulator.FreeAddresses(ip, 2)
	if err != nil {
		t.Fatal(err)
	}
	settings := filepath.Join(t.TempDir(), "settings")
	text := fmt.Sprintf("nodeName=n1\nzone=a\nip=%s\nlisten.front=%s\nlisten.readyAddr=%s\ninnerPorts=7600,7615\nbootstrap=true\n"+
		"limits.cpuShare=0.4\nlimits.memoryMb=284\nbounds.leaseMs=1000\nbounds.graceS=%d\nbounds.drainMs=1000\nbounds.configApplyMs=2000\n"+
		"bounds.retryBudgetRatio=0.2\nbounds.budgetSlack=56\nplatform.address=%s\n",
		ip, free[0], free[1], int(grace.Seconds()), endpoint.Address()) + strings.Join(extra, "\n")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(binary, "entry")
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process.Process, free[0]
}

// sendOrder sends a request that must not run twice over a connection and returns its status.
func sendOrder(connection net.Conn, id string) (int, error) {
	_, err := fmt.Fprintf(connection, "POST /buy/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 3\r\n\r\none", id)
	if err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// TestRequestAfterAFreezeInAStopIsNotCut guards against requests that a process takes by the time
// since it handled SIGTERM, although the signal waited while the process stood still: they are
// passed on and cut when the grace period ends.
func TestRequestAfterAFreezeInAStopIsNotCut(t *testing.T) {
	const (
		freeze = 2 * time.Second
		grace  = 8 * time.Second
	)
	store, target := emulator.NewStore(), &slowTarget{}
	target.start(t, store)
	process, callers := startEntryNode(t, store, "127.0.7.1", grace)
	signal := func(signals ...syscall.Signal) {
		for _, each := range signals {
			if err := process.Signal(each); err != nil {
				t.Fatal(err)
			}
		}
	}
	dial := func() (net.Conn, error) {
		opened, err := net.Dial("tcp", callers)
		if err == nil {
			t.Cleanup(func() { _ = opened.Close() })
		}
		return opened, err
	}
	served := func() bool {
		opened, err := dial()
		if err != nil {
			return false
		}
		status, err := sendOrder(opened, "r-1")
		return err == nil && status == http.StatusOK
	}
	for began := time.Now(); !served(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatal("started node: got no request served, want one")
		}
	}
	// The freeze comes when the process has been seen awake.
	time.Sleep(time.Second)
	signal(syscall.SIGSTOP, syscall.SIGTERM)
	killed := time.AfterFunc(grace, func() { _ = process.Kill() })
	t.Cleanup(func() { killed.Stop() })
	time.Sleep(freeze)
	signal(syscall.SIGCONT)
	late, err := dial()
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(3100 * time.Millisecond)
	target.slow.Store(true)
	status, err := sendOrder(late, "r-2")
	if err != nil && target.ran.Load() {
		t.Errorf("request that was sent 5 s after SIGTERM: got run and cut (%v), want neither or both", err)
	}
	if err == nil && status != http.StatusServiceUnavailable {
		t.Errorf("request that was sent 5 s after SIGTERM: got status %d, want 503", status)
	}
}
