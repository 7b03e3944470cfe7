// Package client talks to a node's operators' API.
//
// # Usage
//
//	operators, err := client.New(client.Settings{Address: "127.0.0.1:8081", Key: key})
//	config, err := operators.GetConfig(ctx)
//	patched, err := operators.PatchConfig(ctx, client.Patch{Base: config.Version, Format: client.MergePatch, Body: body})
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/juju/errors"
)

// The formats of a patch.
const (
	MergePatch = "application/merge-patch+json"
	ListPatch  = "application/json-patch+json"
)

// DefaultTimeout bounds one call; a patch may take as long as it may take to be in force everywhere.
const DefaultTimeout = 15 * time.Second

// Settings are the parameters of a Client.
type Settings struct {
	// Address is a node's address for operators.
	Address string
	Key     string
	// Operator is the name that the history keeps.
	Operator string
	Timeout  time.Duration
}

// Config is the configuration in force.
type Config struct {
	Version  uint64
	Document json.RawMessage
}

// Patch is a change of the configuration against one version of it.
type Patch struct {
	Base   uint64
	Format string
	Body   []byte
	// ID makes a repeated call the same patch; it is made up when empty.
	ID string
}

// Patched is the outcome of an accepted patch.
type Patched struct {
	Version uint64
	Patch   string
	Changes int
}

// Fault is one thing that is wrong with a patched document.
type Fault struct {
	Path    string
	Message string
}

// Change names one changed entity.
type Change struct {
	Section string
	Name    string
	Deleted bool
}

// HistoryEntry is one accepted patch.
type HistoryEntry struct {
	Version  uint64
	Patch    string
	Operator string
	Changes  []Change
}

// Detail is one detail of a decision.
type Detail struct {
	Name  string
	Value string
}

// Decision is one decision that a node remembers; AtMs is that node's own clock in milliseconds.
type Decision struct {
	Node    string
	AtMs    int64
	What    string
	Reason  string
	Details []Detail
}

// Error is a refusal of the operators' API.
type Error struct {
	Status  int
	Kind    string
	Message string
	// Current and Given are the two versions of a stale patch.
	Current uint64
	Given   uint64
	Faults  []Fault
}

// Error returns the refusal with all its faults.
func (refusal *Error) Error() string {
	text := fmt.Sprintf("%s: %s", refusal.Kind, refusal.Message)
	if refusal.Kind == "Stale" {
		text += fmt.Sprintf(" (current version %d, given %d)", refusal.Current, refusal.Given)
	}
	for _, fault := range refusal.Faults {
		text += fmt.Sprintf("\n  %s: %s", fault.Path, fault.Message)
	}
	return text
}

// Client talks to one node.
type Client struct {
	settings Settings
	http     *client.Client
}

// New returns a client of one node.
func New(settings Settings) (*Client, error) {
	if settings.Timeout == 0 {
		settings.Timeout = DefaultTimeout
	}
	http, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(settings.Timeout),
		client.WithClientReadTimeout(settings.Timeout),
	)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Client{settings: settings, http: http}, nil
}

// GetConfig returns the configuration in force at the node.
func (operators *Client) GetConfig(ctx context.Context) (Config, error) {
	var config Config
	err := operators.call(ctx, "GET", "/admin/config", nil, nil, &config)
	return config, err
}

// PatchConfig puts a patch in force everywhere.
func (operators *Client) PatchConfig(ctx context.Context, patch Patch) (Patched, error) {
	headers := map[string]string{
		"If-Match":     strconv.FormatUint(patch.Base, 10),
		"Content-Type": patch.Format,
	}
	if patch.ID != "" {
		headers["Mimosatide-Patch"] = patch.ID
	}
	var patched Patched
	err := operators.call(ctx, "PATCH", "/admin/config", headers, patch.Body, &patched)
	return patched, err
}

// GetHistory returns the accepted patches, the newest last.
func (operators *Client) GetHistory(ctx context.Context, limit int) ([]HistoryEntry, error) {
	var history struct{ Entries []HistoryEntry }
	err := operators.call(ctx, "GET", "/admin/history?limit="+strconv.Itoa(limit), nil, nil, &history)
	return history.Entries, err
}

// GetStatus returns the state of the fleet as the node knows it.
func (operators *Client) GetStatus(ctx context.Context) (Status, error) {
	var status Status
	err := operators.call(ctx, "GET", "/admin/status", nil, nil, &status)
	return status, err
}

// Explain returns what all live nodes decided about a request, placement or patch.
func (operators *Client) Explain(ctx context.Context, subject string) ([]Decision, error) {
	var explained struct{ Entries []Decision }
	path := "/admin/explain/" + strings.ReplaceAll(url.PathEscape(subject), "%2F", "/")
	err := operators.call(ctx, "GET", path, nil, nil, &explained)
	return explained.Entries, err
}

func (operators *Client) call(ctx context.Context, method, path string, headers map[string]string, body []byte, answer any) error {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + operators.settings.Address + path)
	request.Header.Set("Authorization", "Bearer "+operators.settings.Key)
	request.Header.Set("Mimosatide-Operator", operators.settings.Operator)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	if err := operators.http.Do(ctx, request, response); err != nil {
		return errors.Annotatef(err, "node %s", operators.settings.Address)
	}
	if response.StatusCode() == 200 {
		return errors.Annotate(json.Unmarshal(response.Body(), answer), "answer of the node")
	}
	return decodeError(response.StatusCode(), response.Body())
}

func decodeError(status int, body []byte) error {
	var wire struct {
		Error   string
		Message string
		Current uint64
		Given   uint64
		Faults  []Fault
	}
	if err := json.Unmarshal(body, &wire); err != nil || wire.Error == "" {
		return &Error{Status: status, Kind: "Failed", Message: string(body)}
	}
	return &Error{
		Status:  status,
		Kind:    wire.Error,
		Message: wire.Message,
		Current: wire.Current,
		Given:   wire.Given,
		Faults:  wire.Faults,
	}
}
