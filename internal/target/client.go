package target

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/framing/hertzconn"
)

// Headers of the protocol between nodes and targets.
const (
	// RequestHeader holds the request's id; a target returns it with its answer.
	RequestHeader = "Mimosatide-Request"
	// PlacementHeader holds the id of the placement that is to serve the request.
	PlacementHeader = "Mimosatide-Placement"
	// FencingTokenHeader holds the fencing token under which the request is sent.
	FencingTokenHeader = "Mimosatide-Number"
	// PriorityHeader holds the priority of the request's account; a larger number runs first.
	PriorityHeader = "Mimosatide-Priority"
	// lastEventHeader holds the index of the last event received of a resumed stream.
	lastEventHeader = "Last-Event-ID"
)

// Defaults of the settings, and fixed bounds.
const (
	DefaultDialTimeout     = time.Second
	DefaultProgressTimeout = 5 * time.Second
	DefaultOrderTimeout    = 2 * time.Second
	DefaultMaxAnswer       = 16 << 20 // bytes
	// maxConnections bounds the connections to one target.
	maxConnections = 4096
	// maxEventSize bounds one event of a stream, in bytes.
	maxEventSize = 1 << 20
)

// Settings are the parameters of a Client.
type Settings struct {
	// DialTimeout is the deadline for opening a connection.
	DialTimeout time.Duration
	// ProgressTimeout is the longest time without data from the target. The HTTP client
	// also uses it as its read timeout, which runs from the end of the request and isn't
	// restarted by data, so that an answer that takes longer in total fails as CallCut.
	ProgressTimeout time.Duration
	// OrderTimeout is the read timeout for the answers to orders, reports and cancellations.
	OrderTimeout time.Duration
	// MaxAnswer is the largest body of an answer that isn't streamed, in bytes.
	MaxAnswer int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:     DefaultDialTimeout,
		ProgressTimeout: DefaultProgressTimeout,
		OrderTimeout:    DefaultOrderTimeout,
		MaxAnswer:       DefaultMaxAnswer,
	}
}

// Client implements mimosatide.Target over HTTP.
type Client struct {
	settings Settings
	// pooled reuses connections. It is for requests that may run more than once.
	pooled *client.Client
	// unpooled opens a connection for each call. It is for requests that must run at
	// most once: the HTTP library retries a call if its pooled connection was closed. It is
	// for orders, reports and cancellations, too: their answers name nothing, so that on a
	// connection that has carried another call they may be repeated ones to that call.
	unpooled *client.Client
	// unnamed holds the addresses of targets whose last answer named no request. They are
	// sent nothing over pooled connections, where such an answer may be a repeated one.
	unnamed sync.Map
}

// New returns a client with the given settings.
func New(settings Settings) (*Client, error) {
	pooled, err := newHTTPClient(settings, true)
	if err != nil {
		return nil, errors.Trace(err)
	}
	unpooled, err := newHTTPClient(settings, false)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Client{settings: settings, pooled: pooled, unpooled: unpooled}, nil
}

func newHTTPClient(settings Settings, keepAlive bool) (*client.Client, error) {
	return client.NewClient(
		client.WithDialer(boundedDialer{Dialer: hertzconn.NewDialer(), maxAnswer: settings.MaxAnswer}),
		client.WithDialTimeout(settings.DialTimeout),
		client.WithClientReadTimeout(settings.ProgressTimeout),
		client.WithResponseBodyStream(true),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithKeepAlive(keepAlive),
	)
}

// Run sends a call and returns the answer. It calls onEvent for each event of a stream.
func (target *Client) Run(
	ctx context.Context, spec mimosatide.TargetSpec, call mimosatide.Call, onEvent func(mimosatide.Event) error,
) mimosatide.Answer {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	target.setRequest(request, spec, call)
	_, unnamed := target.unnamed.Load(spec.Address)
	mayReuse := !call.FreshConnection && !unnamed && call.Request != ""
	httpClient := target.unpooled
	if mayReuse {
		httpClient = target.pooled
	}
	if err := httpClient.Do(ctx, request, response); err != nil {
		return failedAnswer(ctx, err)
	}
	if err := hertzconn.CheckEnd(response); err != nil {
		forceClose(response)
		return mimosatide.Answer{Failure: mimosatide.CallCut, Detail: err.Error()}
	}
	if response.StatusCode() < 200 {
		// The library returns an informational answer if the final one is cut.
		forceClose(response)
		return mimosatide.Answer{Failure: mimosatide.CallCut, Detail: "no answer after an informational one"}
	}
	answered := string(response.Header.Peek(RequestHeader))
	if answered != "" && answered != call.Request {
		forceClose(response)
		return mimosatide.Answer{Failure: mimosatide.CallMismatched, Detail: "the answer names request " + answered}
	}
	if answered == "" {
		target.unnamed.Store(spec.Address, true)
	} else {
		target.unnamed.Delete(spec.Address)
	}
	if answered == "" && mayReuse {
		forceClose(response)
		return mimosatide.Answer{Failure: mimosatide.CallMismatched, Detail: "the answer names no request and may be that to an earlier one"}
	}
	if call.Stream && response.StatusCode() == 200 {
		return target.readStream(ctx, response, onEvent)
	}
	return target.readBody(ctx, response)
}

// setRequest sets the HTTP request of a call, with only those of the caller's headers
// that a target may see.
func (target *Client) setRequest(request *protocol.Request, spec mimosatide.TargetSpec, call mimosatide.Call) {
	request.SetMethod(call.Method)
	request.SetRequestURI("http://" + spec.Address + call.Path)
	for _, name := range allowedHeaders {
		if value, found := call.Headers[name]; found {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(RequestHeader, call.Request)
	if call.Placement != "" {
		request.Header.Set(PlacementHeader, call.Placement)
		request.Header.Set(FencingTokenHeader, strconv.FormatUint(uint64(call.FencingToken), 10))
		request.Header.Set(PriorityHeader, strconv.Itoa(call.Priority))
	}
	if call.Resume {
		request.Header.Set(lastEventHeader, strconv.Itoa(call.After))
	}
	if len(call.Body) > 0 {
		request.SetBody(call.Body)
	}
}

// allowedHeaders are the caller's headers that are forwarded to a target.
var allowedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// failedAnswer classifies the error of a call that got no answer. Only after an error
// of the dial is it certain that no byte reached the target.
func failedAnswer(ctx context.Context, err error) mimosatide.Answer {
	answer := mimosatide.Answer{Failure: mimosatide.CallCut, Detail: err.Error()}
	var opError *net.OpError
	var netError net.Error
	switch {
	case errors.As(err, &opError) && opError.Op == "dial":
		answer.Failure = mimosatide.CallNotSent
	case ctx.Err() != nil:
		answer.Failure = mimosatide.CallCancelled
	case errors.As(err, &netError) && netError.Timeout():
		answer.Failure = mimosatide.CallSilent
	}
	return answer
}

type forceCloser interface {
	ForceClose() error
}

// forceClose closes the connection of an answer that isn't read to its end.
func forceClose(response *protocol.Response) {
	if stream, ok := response.BodyStream().(forceCloser); ok {
		_ = stream.ForceClose()
	}
}

// SendOrder sends an order to an engine and returns how far the engine has come with it.
func (target *Client) SendOrder(
	ctx context.Context, spec mimosatide.TargetSpec, order mimosatide.Order,
) (mimosatide.OrderState, error) {
	body, err := encodeOrder(order)
	if err != nil {
		return "", errors.Trace(err)
	}
	answer, err := target.exchange(ctx, "POST", spec, "/orders", body)
	if err != nil {
		return "", errors.Trace(err)
	}
	return decodeOrderState(answer)
}

// GetReport returns the state that an engine reports.
func (target *Client) GetReport(ctx context.Context, spec mimosatide.TargetSpec) (mimosatide.Report, error) {
	answer, err := target.exchange(ctx, "GET", spec, "/report", nil)
	if err != nil {
		return mimosatide.Report{}, errors.Trace(err)
	}
	return decodeReport(answer)
}

// Cancel tells the target that a request is no longer wanted.
func (target *Client) Cancel(ctx context.Context, spec mimosatide.TargetSpec, request string) {
	// A lost cancellation only wastes work, because the engine ends the request by itself.
	_, _ = target.exchange(ctx, "DELETE", spec, "/v1/requests/"+request, nil)
}

// exchange sends a request to a target over a new connection and returns the body of the
// answer. A status other than 200 is an error.
func (target *Client) exchange(
	ctx context.Context, method string, spec mimosatide.TargetSpec, path string, body []byte,
) ([]byte, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + spec.Address + path)
	request.SetOptions(config.WithReadTimeout(target.settings.OrderTimeout))
	if body != nil {
		request.Header.SetContentTypeBytes([]byte("application/json"))
		request.SetBody(body)
	}
	if err := target.unpooled.Do(ctx, request, response); err != nil {
		return nil, errors.Trace(err)
	}
	if err := hertzconn.CheckEnd(response); err != nil {
		forceClose(response)
		return nil, errors.Trace(err)
	}
	answer := target.readBody(ctx, response)
	if answer.Failure != mimosatide.CallSucceeded {
		return nil, errors.Errorf("%s %s: %s %s", method, path, answer.Failure, answer.Detail)
	}
	if answer.Status != 200 {
		return nil, errors.Errorf("%s %s: status %d", method, path, answer.Status)
	}
	return answer.Body, nil
}
