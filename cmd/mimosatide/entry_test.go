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

// TestRequestAfterAFreezeInAStopIsNotCut guards against requests that a process takes by the time
// since it handled SIGTERM, although the signal waited while the process stood still: they are
// passed on and cut when the grace period ends.
func TestRequestAfterAFreezeInAStopIsNotCut(t *testing.T) {
	const (
		ip     = "127.0.7.1"
		freeze = 2 * time.Second
		grace  = 8 * time.Second
	)
	store := emulator.NewStore()
	store.Put("op", "config", `{"version":1,"routes":[{"name":"buy","host":"a.example","prefix":"/buy/","kind":"non_idempotent","service":"desk",
	 "maxAttempts":1,"timeoutMs":8000,"targetLatencyMs":500,"public":true}],"services":[{"name":"desk","maxConns":100}],
	 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`)
	var slow, ran atomic.Bool
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if slow.Load() {
			ran.Store(true)
			select {
			case <-request.Context().Done():
			case <-time.After(3500 * time.Millisecond):
			}
		}
		writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
		writer.Header().Set("Response-Signature", "signature")
	}))
	t.Cleanup(target.Close)
	store.Put("servers", "d-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":6,"state":"ready","born":1}`,
		strings.TrimPrefix(target.URL, "http://")))
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
		ip, free[0], free[1], int(grace.Seconds()), endpoint.Address())
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
	send := func(id string) (int, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+free[0]+"/buy/1", strings.NewReader("one"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "a.example"
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Deadline-Ms", "4000")
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		return answer.StatusCode, err
	}
	status := 0
	for began := time.Now(); status != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if status, err = send("r-1"); time.Since(began) > 10*time.Second {
			t.Fatalf("request to a started node: got status %d and error %v, want 200", status, err)
		}
	}
	// The freeze comes when the process has been seen awake.
	time.Sleep(time.Second)
	http.DefaultClient.CloseIdleConnections()
	for _, signal := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGTERM} {
		if err := process.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
	}
	killed := time.AfterFunc(grace, func() { _ = process.Process.Kill() })
	t.Cleanup(func() { killed.Stop() })
	time.Sleep(freeze)
	if err := process.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	opened, err := net.Dial("tcp", free[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = opened.Close() })
	time.Sleep(3100 * time.Millisecond)
	slow.Store(true)
	if _, err := io.WriteString(opened, "POST /buy/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: r-2\r\nDeadline-Ms: 4000\r\nContent-Length: 3\r\n\r\none"); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(opened), nil)
	if err != nil && ran.Load() {
		t.Errorf("request that was sent 5 s after SIGTERM: got run and cut (%v), want neither or both", err)
	}
	if err == nil && answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("request that was sent 5 s after SIGTERM: got status %d, want 503", answer.StatusCode)
	}
}
