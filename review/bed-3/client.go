package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is a request of a client.
type call struct {
	path     string
	body     string
	key      string
	model    string
	prefix   string
	deadline time.Duration
}

// answer is what the client got: status zero stands for a channel that ended without one.
type answer struct {
	status int
	body   string
	err    error
}

var attempts atomic.Int64

// send sends a request to a node, each over a channel of its own, and records it.
func send(ctx context.Context, log *record, node *node, request call) answer {
	id := fmt.Sprintf("%08x", attempts.Add(1))
	bounded, cancel := context.WithTimeout(ctx, request.deadline)
	defer cancel()
	outgoing, err := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+node.callers+request.path, strings.NewReader(request.body))
	if err != nil {
		return answer{err: err}
	}
	outgoing.Host = "api.example"
	outgoing.Close = true
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Bearer " + request.key, "Model": request.model, "Token-Usage": "1460,80",
		"Prompt-Prefix": request.prefix, "Deadline-Ms": fmt.Sprint(request.deadline.Milliseconds()),
	} {
		outgoing.Header.Set(name, value)
	}
	log.add("client sends %s %s to %s", id, request.path, node.name)
	got := receive(outgoing)
	log.add("client gets %s: status %d, %d bytes, error %v", id, got.status, len(got.body), got.err)
	return got
}

func receive(outgoing *http.Request) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(outgoing)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), err: err}
}
