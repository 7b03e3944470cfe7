package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/standin"
	"mimosatide.example/mimosatide/pkg/client"
)

const (
	readyWait   = 30 * time.Second
	readyPoll   = 50 * time.Millisecond
	callTimeout = 60 * time.Second
)

// Fleet is where the nodes and the stand-in are reached.
type Fleet struct {
	Callers     []string
	Operators   []string
	Platform    string
	OperatorKey string
}

// LocalFleet returns the addresses that scripts/cluster.sh uses.
func LocalFleet(nodes int, operatorKey string) Fleet {
	fleet := Fleet{Platform: "127.0.0.1:7000", OperatorKey: operatorKey}
	for index := 1; index <= nodes; index++ {
		fleet.Callers = append(fleet.Callers, fmt.Sprintf("127.0.0.1:80%d0", index))
		fleet.Operators = append(fleet.Operators, fmt.Sprintf("127.0.0.1:80%d1", index))
	}
	return fleet
}

// WaitReady waits until every node takes callers.
func (fleet Fleet) WaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyWait)
	for _, node := range fleet.Callers {
		for !ready(ctx, node) {
			if time.Now().After(deadline) {
				return errors.Timeoutf("node %s", node)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func ready(ctx context.Context, node string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Operator returns the operators' client of a node.
func (fleet Fleet) Operator(node int) (*client.Client, error) {
	return client.New(client.Settings{Address: fleet.Operators[node], Key: fleet.OperatorKey, Operator: "load"})
}

// Patch puts a merge patch in force.
func (fleet Fleet) Patch(ctx context.Context, node int, merge any) (client.Patched, error) {
	operators, err := fleet.Operator(node)
	if err != nil {
		return client.Patched{}, errors.Trace(err)
	}
	config, err := operators.GetConfig(ctx)
	if err != nil {
		return client.Patched{}, errors.Trace(err)
	}
	body, err := json.Marshal(merge)
	if err != nil {
		return client.Patched{}, errors.Trace(err)
	}
	return operators.PatchConfig(ctx, client.Patch{Base: config.Version, Format: client.MergePatch, Body: body})
}

// GrantKey puts a key in force for an account.
func (fleet Fleet) GrantKey(ctx context.Context, key, account string, withdrawn bool) error {
	entry := map[string]any{"Account": account, "Withdrawn": withdrawn}
	keys := map[string]any{string(mimosatide.DigestKey(key)): entry}
	_, err := fleet.Patch(ctx, 0, map[string]any{"Keys": keys})
	return err
}

// SwitchFault switches a fault of the stand-in.
func (fleet Fleet) SwitchFault(ctx context.Context, fault standin.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.Platform+"/faults", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return errors.Errorf("fault refused: %s", text)
	}
	return nil
}

// Truth asks the stand-in what really happened.
func (fleet Fleet) Truth(ctx context.Context) (standin.Truth, error) {
	var truth standin.Truth
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+fleet.Platform+"/truth", nil)
	if err != nil {
		return truth, errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return truth, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	return truth, errors.Trace(json.NewDecoder(response.Body).Decode(&truth))
}

// Chat returns a chat request for a model.
func Chat(node, key, model, text string, tokens int, stream bool) client.Call {
	body, _ := json.Marshal(map[string]any{
		"model":      model,
		"stream":     stream,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": text}},
	})
	return client.Call{Node: node, Method: http.MethodPost, Path: "/v1/chat/completions", Key: key, Body: body}
}
