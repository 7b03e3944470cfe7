package main_test

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"mimosatide.example/mimosatide/pkg/client"
)

// command runs an operators' command against a node and returns its combined output and exit code.
func (c *cluster) command(node int, arguments ...string) (string, int) {
	c.t.Helper()
	run := exec.Command(binary, append(arguments, "--node", c.fleet.Operators[node])...)
	run.Env = append(os.Environ(), "MIMOSATIDE_OPERATOR_KEY="+operatorKey)
	var output bytes.Buffer
	run.Stdout, run.Stderr = &output, &output
	err := run.Run()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		c.t.Fatal(err)
	}
	return output.String(), run.ProcessState.ExitCode()
}

// mustCommand runs a command that must succeed and returns its output.
func (c *cluster) mustCommand(node int, arguments ...string) string {
	c.t.Helper()
	out, code := c.command(node, arguments...)
	if code != 0 {
		c.t.Fatalf("%v: got exit code %d, want 0: %s", arguments, code, out)
	}
	return out
}

func TestOperatorsCommands(t *testing.T) {
	c := startCluster(t, 2, nil)
	patch := filepath.Join(t.TempDir(), "patch.json")
	write := func(text string) {
		if err := os.WriteFile(patch, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"Accounts":{"clubs":{"Weight":2}}}`)
	var patched client.Patched
	out := c.mustCommand(0, "config", "patch", patch, "--version", "1", "--patch", "weights", "--output", "json")
	if err := json.Unmarshal([]byte(out), &patched); err != nil || patched.Version != 2 {
		t.Fatalf("config patch: want version 2, got error %v, output %s", err, out)
	}
	t.Run("a repeated patch id returns the first result", func(t *testing.T) {
		if out := c.mustCommand(1, "config", "patch", patch, "--version", "1", "--patch", "weights", "-o", "json"); !strings.Contains(out, `"Version": 2`) {
			t.Error(out)
		}
	})
	t.Run("a stale patch reports both versions", func(t *testing.T) {
		out, code := c.command(1, "config", "patch", patch, "--version", "1")
		if code != 3 || !strings.Contains(out, "current version 2, given 1") {
			t.Errorf("want exit code 3 and both versions, got %d: %s", code, out)
		}
	})
	t.Run("an invalid patch reports every fault", func(t *testing.T) {
		write(`{"Accounts":{"clubs":{"Weight":-1}},"Keys":{"x":{"Account":"nobody"}}}`)
		out, code := c.command(0, "config", "patch", patch, "--version", "2")
		if code != 2 || !strings.Contains(out, "/Accounts/clubs/Weight") || !strings.Contains(out, "/Keys/x/Account") {
			t.Errorf("want exit code 2 and both faults, got %d: %s", code, out)
		}
	})
	t.Run("a wrong operators' key is refused", func(t *testing.T) {
		if out, code := c.command(0, "config", "show", "--operator-key", "not-the-key-of-operators"); code != 2 {
			t.Errorf("want exit code 2, got %d: %s", code, out)
		}
	})
	t.Run("history, accounts, models and status are shown", func(t *testing.T) {
		if out := c.mustCommand(1, "config", "history"); !strings.Contains(out, "Accounts/clubs") {
			t.Error(out)
		}
		if out := c.mustCommand(0, "account", "list"); !strings.Contains(out, "clubs") {
			t.Error(out)
		}
		if out := c.mustCommand(0, "model", "list"); !strings.Contains(out, "model-00") {
			t.Error(out)
		}
		if out := c.mustCommand(1, "status"); !strings.Contains(out, "shares=") || !strings.Contains(out, "fresh=true") {
			t.Error(out)
		}
	})
	t.Run("a granted key is printed once and listed by its digest", func(t *testing.T) {
		out := c.mustCommand(0, "key", "grant", "clubs")
		lines := strings.Fields(out)
		key := lines[len(lines)-1]
		if !strings.HasPrefix(key, "sk-") || strings.Contains(c.mustCommand(1, "key", "list"), key) {
			t.Error(out)
		}
	})
	t.Run("any node explains a request", func(t *testing.T) {
		answer := c.mustServe(0, "schools", "model-00", "explain this", 2)
		for node := range c.nodes {
			out := c.mustCommand(node, "explain", answer.Request)
			if !strings.Contains(out, "Sent") || !strings.Contains(out, "Served") || !strings.Contains(out, "Account=schools") {
				t.Errorf("node %d: want Sent, Served and the account, got %s", node, out)
			}
		}
		if _, code := c.command(0, "explain", "nothing"); code != 2 {
			t.Errorf("unknown subject: want exit code 2, got %d", code)
		}
	})
}

func TestServeReportsEveryInvalidSetting(t *testing.T) {
	run := exec.Command(binary, "serve", "--callers", "nowhere", "--term", "1ms")
	out, err := run.CombinedOutput()
	if err == nil {
		t.Fatal("want an error for invalid settings, got none")
	}
	for _, flag := range []string{"--callers", "--term", "--zone", "--host", "--peer-secret", "--operator-key"} {
		if !strings.Contains(string(out), flag) {
			t.Errorf("want %s to be reported, got %s", flag, out)
		}
	}
}

// TestNoKeyIsLogged checks that the logs contain no caller's key, no peer secret
// and no operators' key.
func TestNoKeyIsLogged(t *testing.T) {
	c := startCluster(t, 2, nil)
	c.mustServe(0, "schools", "model-00", "hello", 2)
	_, _ = c.chat(1, "unknown", "model-00", "hello", 2)
	_, _ = c.placeOrder(1, "stamps", "logged-1")
	for index, log := range c.logs {
		data, err := os.ReadFile(log)
		if err != nil || len(data) == 0 {
			t.Fatalf("log of node %d: want content, got %d bytes, error %v", index, len(data), err)
		}
		for _, secret := range []string{"sk-load", peerSecret, operatorKey} {
			if bytes.Contains(data, []byte(secret)) {
				t.Errorf("found %q in the log of node %d, want no secret", secret, index)
			}
		}
	}
}
