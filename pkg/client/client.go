// Package client is a client for the HTTP APIs of a node: Client for the operators'
// API and Caller for the callers' API.
//
// # Usage
//
//	operators, err := client.New(client.Settings{Address: "127.0.0.1:8081", Key: key})
//	config, err := operators.GetConfig(ctx)
//	patched, err := operators.PatchConfig(ctx, client.Patch{Base: config.Version, Format: client.MergePatch, Body: body})
//	var apiError *client.Error
//	if errors.As(err, &apiError) && apiError.Kind == "Stale" {
//		// the configuration has changed: read it again and rebuild the patch
//	}
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

// Formats of a patch, as media types.
const (
	// MergePatch is a JSON merge patch (RFC 7396).
	MergePatch = "application/merge-patch+json"
	// ListPatch is a list of JSON patch operations (RFC 6902).
	ListPatch = "application/json-patch+json"
)

// DefaultTimeout is the default of Settings.Timeout. It is long enough for a patch,
// which is answered only when it is in force on all nodes.
const DefaultTimeout = 15 * time.Second

// Settings are the parameters of a Client.
type Settings struct {
	// Address is the node's address for operators, as HOST:PORT.
	Address string
	// Key is the operators' key of the node.
	Key string
	// Operator is the name under which the history records patches.
	Operator string
	// Timeout bounds the dial and, on its own, the reading of an answer. Zero means
	// DefaultTimeout.
	Timeout time.Duration
}

// Config is the configuration in force at a node.
type Config struct {
	// Version is the version to base a patch on.
	Version uint64
	// Document is the whole configuration as a JSON object.
	Document json.RawMessage
}

// Patch is a change of one version of the configuration.
type Patch struct {
	// Base is the version that the patch is based on.
	Base uint64
	// Format is MergePatch or ListPatch.
	Format string
	Body   []byte
	// ID identifies the patch: a repeated call with the same id is the same patch. The
	// node chooses one if it is empty.
	ID string
}

// Patched is the outcome of an accepted patch.
type Patched struct {
	// Version is the configuration version that the patch created, or its base version
	// if it changes nothing.
	Version uint64
	// Patch is the id of the patch.
	Patch string
	// Changes is the number of changed entities. It is zero if the patch changes
	// nothing, or if it had been accepted by an earlier call.
	Changes int
}

// Fault is an error in a patched document.
type Fault struct {
	// Path is a JSON pointer into the document.
	Path    string
	Message string
}

// Change names an entity that a patch changed.
type Change struct {
	// Section is the section of the document that holds the entity.
	Section string
	Name    string
	Deleted bool
}

// HistoryEntry is an accepted patch.
type HistoryEntry struct {
	// Version is the configuration version that the patch created.
	Version uint64
	// Patch is the id of the patch.
	Patch string
	// Operator is the name that was given with the patch.
	Operator string
	Changes  []Change
}

// Detail is a named detail of a decision.
type Detail struct {
	Name  string
	Value string
}

// Decision is a recorded decision of a node.
type Decision struct {
	// Node is the address of the node that decided.
	Node string
	// AtMs is the time of the decision by that node's monotonic clock, in milliseconds.
	// It can't be compared with the times of other nodes.
	AtMs int64
	// What names the decision, such as Refused.
	What    string
	Reason  string
	Details []Detail
}

// Error is an error answer of the operators' API.
type Error struct {
	// Status is the HTTP status.
	Status int
	// Kind names the error: NotAnOperator, NoVersion, Stale, Faulty, Rejected, Unsettled,
	// StoreUnavailable, Unknown or Internal. Failed stands for an answer that isn't in
	// the API's format; Message is its body then.
	Kind    string
	Message string
	// Current and Given are set for a Stale patch: the version in force and the version
	// that the patch is based on.
	Current uint64
	Given   uint64
	// Faults lists all faults of a Faulty document.
	Faults []Fault
}

// Error returns the kind and the message, and each fault on a line of its own.
func (apiError *Error) Error() string {
	text := fmt.Sprintf("%s: %s", apiError.Kind, apiError.Message)
	if apiError.Kind == "Stale" {
		text += fmt.Sprintf(" (current version %d, given %d)", apiError.Current, apiError.Given)
	}
	for _, fault := range apiError.Faults {
		text += fmt.Sprintf("\n  %s: %s", fault.Path, fault.Message)
	}
	return text
}

// Client is a client of the operators' API of one node. It is safe for concurrent use.
//
// Its methods return an *Error if the node answers with an error. Any other error means
// that the node could not be reached, that it did not answer within the timeout, or that
// its answer could not be decoded. A cancelled ctx stops a call only before it is sent.
type Client struct {
	settings Settings
	http     *client.Client
}

// New returns a client of one node. It fails only if the HTTP library can't create a
// client.
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

// PatchConfig applies a patch and returns when it is in force on all nodes.
//
// After an *Error of the kind Unsettled or Failed, or an error that isn't an *Error, the
// patch may still be accepted: call again with the same Patch.ID to get the outcome. If
// the ID was empty, only the message of an Unsettled error names it. After any other
// *Error this call has changed nothing.
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

// GetHistory returns the last accepted patches, at most limit and at most 200, the
// newest last. A limit below one means 200.
func (operators *Client) GetHistory(ctx context.Context, limit int) ([]HistoryEntry, error) {
	var history struct{ Entries []HistoryEntry }
	err := operators.call(ctx, "GET", "/admin/history?limit="+strconv.Itoa(limit), nil, nil, &history)
	return history.Entries, err
}

// GetStatus returns the state of the fleet as the node sees it.
func (operators *Client) GetStatus(ctx context.Context) (Status, error) {
	var status Status
	err := operators.call(ctx, "GET", "/admin/status", nil, nil, &status)
	return status, err
}

// Explain returns the recorded decisions of all live nodes about a request, placement or
// patch, given by its id. If there are none, the error is an *Error of the kind Unknown.
func (operators *Client) Explain(ctx context.Context, subject string) ([]Decision, error) {
	var explained struct{ Entries []Decision }
	path := "/admin/explain/" + strings.ReplaceAll(url.PathEscape(subject), "%2F", "/")
	err := operators.call(ctx, "GET", path, nil, nil, &explained)
	return explained.Entries, err
}

// call makes a call to the API and decodes the answer into answer.
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
		return errors.Annotatef(err, "call node %s", operators.settings.Address)
	}
	if response.StatusCode() == 200 {
		return errors.Annotate(json.Unmarshal(response.Body(), answer), "decode answer of the node")
	}
	return decodeError(response.StatusCode(), response.Body())
}

// decodeError returns the Error of an answer with another status than 200.
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
