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
	readyTimeout      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// callTimeout bounds the reading of one answer, which includes a whole stream.
	callTimeout = 60 * time.Second
)

// Fleet holds the addresses of the nodes and of the stand-in.
type Fleet struct {
	// Callers and Operators are the addresses at which each node serves callers and operators.
	Callers   []string
	Operators []string
	// Platform is the address of the stand-in's platform.
	Platform    string
	OperatorKey string
}

// LocalFleet returns the addresses at which scripts/cluster.sh starts the nodes and the stand-in.
func LocalFleet(nodes int, operatorKey string) Fleet {
	fleet := Fleet{Platform: "127.0.0.1:7000", OperatorKey: operatorKey}
	for index := 1; index <= nodes; index++ {
		fleet.Callers = append(fleet.Callers, fmt.Sprintf("127.0.0.1:80%d0", index))
		fleet.Operators = append(fleet.Operators, fmt.Sprintf("127.0.0.1:80%d1", index))
	}
	return fleet
}

// WaitReady waits until every node passes its readiness check. It returns a timeout error after 30 s.
func (fleet Fleet) WaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, node := range fleet.Callers {
		for !ready(ctx, node) {
			if time.Now().After(deadline) {
				return errors.Timeoutf("readiness check of node %s", node)
			}
			time.Sleep(readyPollInterval)
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

// Operator returns a client of the operators' API of the node with the given index.
func (fleet Fleet) Operator(node int) (*client.Client, error) {
	return client.New(client.Settings{Address: fleet.Operators[node], Key: fleet.OperatorKey, Operator: "load"})
}

// Patch applies a JSON merge patch to the configuration through a node and returns the accepted version.
func (fleet Fleet) Patch(ctx context.Context, node int, mergePatch any) (client.Patched, error) {
	operators, err := fleet.Operator(node)
	if err != nil {
		return client.Patched{}, errors.Trace(err)
	}
	config, err := operators.GetConfig(ctx)
	if err != nil {
		return client.Patched{}, errors.Trace(err)
	}
	body, err := json.Marshal(mergePatch)
	if err != nil {
		return client.Patched{}, errors.Trace(err)
	}
	return operators.PatchConfig(ctx, client.Patch{Base: config.Version, Format: client.MergePatch, Body: body})
}

// GrantKey stores a key of an account, as valid or as withdrawn.
func (fleet Fleet) GrantKey(ctx context.Context, key, account string, withdrawn bool) error {
	entry := map[string]any{"Account": account, "Withdrawn": withdrawn}
	keys := map[string]any{string(mimosatide.DigestKey(key)): entry}
	_, err := fleet.Patch(ctx, 0, map[string]any{"Keys": keys})
	return err
}

// ApplyFault injects or removes a fault in the stand-in.
func (fleet Fleet) ApplyFault(ctx context.Context, fault standin.Fault) error {
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
		return errors.Errorf("stand-in rejected the fault: %s", text)
	}
	return nil
}

// Truth returns what the stand-in's targets and table have recorded since they started.
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

// Chat returns a chat completion request that asks a model for the given number of tokens.
func Chat(node, key, model, text string, tokens int, stream bool) client.Call {
	body, _ := json.Marshal(map[string]any{
		"model":      model,
		"stream":     stream,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": text}},
	})
	return client.Call{Node: node, Method: http.MethodPost, Path: "/v1/chat/completions", Key: key, Body: body}
}
