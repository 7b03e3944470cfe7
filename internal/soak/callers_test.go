package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"mimosatide.example/mimosatide/platform/emulator"
)

// The load that callers generate.
const (
	callerCount = 10
	// meanCallerPause is the mean pause of a caller between two requests.
	meanCallerPause = 30 * time.Millisecond
	// sharedParts is the number of prompt parts that the requests of models share.
	sharedParts = 3
	// meanDeadlyPause is the mean pause between two requests that crash their targets.
	meanDeadlyPause = 400 * time.Millisecond
	// In a run with long uploads, one of longUploadEvery requests that have a body has one of
	// longUpload bytes. The sockets between a node, a proxy and a target hold less, so that a
	// target that doesn't read it can end its answer while the node still writes.
	longUpload      = 7_500_000
	longUploadEvery = 4
	// callerDeadline is the time for an answer that a request names.
	callerDeadline = 3 * time.Second
	// clientTimeout bounds a request at the HTTP client.
	clientTimeout = 12 * time.Second
	// maxTakeUps is how often a caller takes up a stream that broke off, maxTakeUpPause how long it
	// waits before each of them.
	maxTakeUps     = 3
	maxTakeUpPause = 600 * time.Millisecond
)

// result is one request and the answer that its caller got.
type result struct {
	id    string
	route string
	node  *node
	key   string
	sent  time.Time
	ended time.Time
	// status is the HTTP status, or zero if no response header arrived.
	status int
	body   string
	err    error
	// signature is the Response-Signature header, which names the target.
	signature string
	// deadly says that the request crashes the target that begins to answer it.
	deadly bool
	// leaving is the incarnation of the target that said in this answer that it leaves;
	// empty if none did.
	leaving string
	// limited is the incarnation of the target that named a limit in this answer; empty if
	// it did not.
	limited string
	// begun is the first attempt of a stream that the request takes up after the event with the
	// number after; empty for a new request.
	begun string
	after int
	// model is the model that the request asks for, if its route has any.
	model string
	// uploadBytes is the least length of its body.
	uploadBytes int
}

// routes are the names of the routes that callers use.
var routes = []string{"look", "buy", "chat", "draft"}

// send sends the request that outcome describes and returns outcome with the answer
// added.
func send(client *http.Client, address string, outcome result, tokens int) result {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	method, body := http.MethodGet, ""
	if outcome.route != "look" {
		method, body = http.MethodPost, "body of "+outcome.id
		body += strings.Repeat(".", max(0, outcome.uploadBytes-len(body)))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+outcome.route+"/1", strings.NewReader(body))
	if err != nil {
		outcome.err = err
		return outcome
	}
	// The HTTP client must not send a request again under the same id by itself. Without
	// GetBody it cannot repeat a body, and it does not know that this one may be empty.
	request.GetBody = nil
	request.Body = io.NopCloser(strings.NewReader(body))
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", outcome.id)
	request.Header.Set("Authorization", "Bearer "+outcome.key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	request.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", tokens-10, 10))
	if outcome.route == "chat" || outcome.route == "draft" {
		if outcome.model == "" {
			outcome.model = fmt.Sprintf("m%d", rand.IntN(modelCount))
		}
		request.Header.Set("Model", outcome.model)
		if outcome.begun != "" {
			request.Header.Set("Resumes", outcome.begun)
			request.Header.Set("Last-Event-Id", fmt.Sprint(outcome.after))
		}
		deadly := ""
		if outcome.deadly {
			deadly = emulator.DeadlyPart + ":5,"
		}
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("shared-%d:20,%sown-%s:5", rand.IntN(sharedParts), deadly, outcome.id))
	}
	outcome.sent = time.Now()
	response, err := client.Do(request)
	if err == nil {
		outcome.status = response.StatusCode
		outcome.signature = response.Header.Get("Response-Signature")
		if response.Header.Get("Server-Leaving") != "" {
			outcome.leaving = response.Header.Get("Incarnation")
		}
		if response.Header.Get("Server-Limit") != "" {
			outcome.limited = response.Header.Get("Incarnation")
		}
		var read []byte
		read, err = io.ReadAll(response.Body)
		outcome.body = string(read)
		_ = response.Body.Close()
	}
	outcome.err = err
	outcome.ended = time.Now()
	return outcome
}

// runCallers starts callers in the group; they send requests until the context
// ends and wait for the last answer.
func (testbed *testbed) runCallers(ctx context.Context, group *sync.WaitGroup) {
	for index := range callerCount {
		random := rand.New(rand.NewPCG(testbed.random.Uint64(), uint64(index)))
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			defer client.CloseIdleConnections()
			for count := 0; ctx.Err() == nil; count++ {
				request := result{
					id: fmt.Sprintf("c%d-%d", index, count), route: routes[random.IntN(len(routes))],
					node: testbed.nodes[random.IntN(len(testbed.nodes))], key: testbed.schoolKey(),
				}
				if testbed.longUploads && count%longUploadEvery == index%longUploadEvery {
					request.uploadBytes = longUpload
				}
				tokens := 50
				if index%3 == 0 {
					request.key, tokens = "club", 400
				}
				got := send(client, request.node.callerProxy.address(), request, tokens)
				testbed.addResult(got)
				testbed.takeUp(client, got, tokens, random)
				time.Sleep(time.Duration(random.Int64N(int64(2 * meanCallerPause))))
			}
		})
	}
}

func (testbed *testbed) addResult(got result) {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	testbed.results = append(testbed.results, got)
}

// takeUp sends a resumable stream that broke off again, at any node, as long as its caller has got
// events and may still try.
func (testbed *testbed) takeUp(client *http.Client, got result, tokens int, random *rand.Rand) {
	for try := range maxTakeUps {
		received := got.after + strings.Count(got.body, "\n\n")
		if got.route != "draft" || received == 0 || received == streamSize || got.err == nil && got.status == http.StatusOK {
			return
		}
		if got.begun == "" {
			got.begun = got.id
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxTakeUpPause))))
		node := testbed.takeUpNode(random)
		got = send(client, node.callerProxy.address(), result{
			id: fmt.Sprintf("%s-again%d", got.begun, try), route: got.route, node: node, key: got.key, model: got.model,
			begun: got.begun, after: received,
		}, tokens)
		testbed.addResult(got)
	}
}

// runDeadlyCaller sends requests that crash the targets which begin to answer them, no two
// of them alike, until the context ends.
func (testbed *testbed) runDeadlyCaller(ctx context.Context, group *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(testbed.random.Uint64(), uint64(callerCount)))
	group.Go(func() {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
		defer client.CloseIdleConnections()
		for count := 0; ctx.Err() == nil; count++ {
			request := result{
				id: fmt.Sprintf("deadly-%d", count), route: "chat", deadly: true,
				node: testbed.nodes[random.IntN(len(testbed.nodes))], key: testbed.schoolKey(),
			}
			got := send(client, request.node.callerProxy.address(), request, 50)
			testbed.lock.Lock()
			testbed.results = append(testbed.results, got)
			testbed.lock.Unlock()
			time.Sleep(time.Duration(random.Int64N(int64(2 * meanDeadlyPause))))
		}
	})
}
