package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"mimosatide.example/mimosatide/platform"
)

// TestReloadDuringTheStartDoesNotEndTheProcess holds an entry node in its start,
// reading its settings from a pipe, and sends it SIGHUP there.
func TestReloadDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(binary, "entry")
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the pipe waits until the process reads from it.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.WriteString("nodeName=n1\n"); err != nil {
		t.Errorf("the process does not read its settings any more: %v", err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
	// The settings are not complete, which the process says with its exit code.
	if err := process.Wait(); err == nil || process.ProcessState.ExitCode() != 1 {
		t.Errorf("the process ended with %v", process.ProcessState)
	}
}
