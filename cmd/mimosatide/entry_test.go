package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"mimosatide.example/mimosatide/platform"
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
