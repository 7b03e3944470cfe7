package platform

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/framing/hertzconn"
)

// maxConnections bounds the connections to the platform's address.
const maxConnections = 256

// Settings are the parameters of a Client.
type Settings struct {
	// Address is the host and port of the platform's services.
	Address string
	// Timeout bounds the dial, the writing of a request and the reading of its answer,
	// each on its own.
	Timeout time.Duration
}

// Client implements mimosatide.Table, mimosatide.ObjectStore and mimosatide.HostList
// over HTTP.
type Client struct {
	settings Settings
	http     *client.Client
}

// New returns a client for the platform's services.
func New(settings Settings) (*Client, error) {
	http, err := client.NewClient(
		client.WithDialer(hertzconn.NewDialer()),
		client.WithDialTimeout(settings.Timeout),
		client.WithClientReadTimeout(settings.Timeout),
		client.WithWriteTimeout(settings.Timeout),
		client.WithMaxConnsPerHost(maxConnections),
	)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Client{settings: settings, http: http}, nil
}

// Read returns the rows of the given keys that exist.
func (platform *Client) Read(ctx context.Context, keys ...string) ([]mimosatide.Row, error) {
	var answer rowsWire
	if err := platform.post(ctx, "/table/read", readWire{Keys: keys}, &answer); err != nil {
		return nil, errors.Trace(err)
	}
	return rowsFromWire(answer), nil
}

// Scan returns the rows whose keys start with prefix, in the order of their keys.
func (platform *Client) Scan(ctx context.Context, prefix string) ([]mimosatide.Row, error) {
	var answer rowsWire
	if err := platform.post(ctx, "/table/scan", scanWire{Prefix: prefix}, &answer); err != nil {
		return nil, errors.Trace(err)
	}
	return rowsFromWire(answer), nil
}

// Commit applies a transaction. Any failure of the call gives CommitUnknown.
func (platform *Client) Commit(ctx context.Context, transaction mimosatide.Transaction) mimosatide.CommitOutcome {
	var answer outcomeWire
	err := platform.post(ctx, "/table/commit", transactionToWire(transaction), &answer)
	if err != nil {
		// The table may have committed the transaction before the answer was lost.
		return mimosatide.CommitUnknown
	}
	return outcomeFromWire(answer)
}

// PutObject stores an object under a name.
func (platform *Client) PutObject(ctx context.Context, name string, value []byte) error {
	status, _, err := platform.do(ctx, "PUT", "/objects/"+url.PathEscape(name), value)
	if err != nil {
		return errors.Trace(err)
	}
	if status != 200 {
		return errors.Errorf("put object %q: status %d", name, status)
	}
	return nil
}

// GetObject returns the object of a name, or a not-found error.
func (platform *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	status, body, err := platform.do(ctx, "GET", "/objects/"+url.PathEscape(name), nil)
	switch {
	case err != nil:
		return nil, errors.Trace(err)
	case status == 404:
		return nil, errors.NotFoundf("object %q", name)
	case status != 200:
		return nil, errors.Errorf("get object %q: status %d", name, status)
	}
	return body, nil
}

// ListHosts returns the hosts that the platform knows.
func (platform *Client) ListHosts(ctx context.Context) ([]mimosatide.Host, error) {
	status, body, err := platform.do(ctx, "GET", "/hosts", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if status != 200 {
		return nil, errors.Errorf("get host list: status %d", status)
	}
	var wire hostsWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, errors.Annotate(err, "decode host list")
	}
	hosts := make([]mimosatide.Host, 0, len(wire.Hosts))
	for _, host := range wire.Hosts {
		hosts = append(hosts, mimosatide.Host{Name: host.Name, State: mimosatide.HostState(host.State)})
	}
	return hosts, nil
}

// post sends a request as JSON and decodes the answer.
func (platform *Client) post(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Trace(err)
	}
	status, body, err := platform.do(ctx, "POST", path, body)
	if err != nil {
		return errors.Trace(err)
	}
	if status != 200 {
		return errors.Errorf("%s: status %d", path, status)
	}
	return errors.Trace(json.Unmarshal(body, answer))
}

// do makes one HTTP call and returns the status and the body of the answer.
func (platform *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + platform.settings.Address + path)
	if body != nil {
		request.Header.SetContentTypeBytes([]byte("application/json"))
		request.SetBody(body)
	}
	if err := platform.http.Do(ctx, request, response); err != nil {
		return 0, nil, errors.Trace(err)
	}
	if err := hertzconn.CheckEnd(response); err != nil {
		return 0, nil, errors.Trace(err)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}
