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
)

// The behaviour of callers.
const (
	callerCount  = 10
	callerPause  = 30 * time.Millisecond
	callerWait   = 3 * time.Second
	callerGiveUp = 12 * time.Second
)

// result is what a caller has seen of one request.
type result struct {
	id    string
	route string
	node  *node
	key   string
	sent  time.Time
	ended time.Time
	// status is zero when no head of an answer came.
	status int
	body   string
	err    error
	// signature names the target that the answer says it is from.
	signature string
}

// routes are the kinds of requests that callers send.
var routes = []string{"look", "buy", "chat", "draft"}

// call sends one request to a node by an HTTP client that keeps its connections.
func call(client *http.Client, address string, sent result, tokens int) result {
	ctx, cancel := context.WithTimeout(context.Background(), callerGiveUp)
	defer cancel()
	method, body := http.MethodGet, ""
	if sent.route != "look" {
		method, body = http.MethodPost, "body of "+sent.id
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+sent.route+"/1", strings.NewReader(body))
	if err != nil {
		sent.err = err
		return sent
	}
	// A request must not be sent again under the same id by the client itself.
	request.GetBody = nil
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", sent.id)
	request.Header.Set("Authorization", "Bearer "+sent.key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(callerWait.Milliseconds()))
	request.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", tokens-10, 10))
	if sent.route == "chat" || sent.route == "draft" {
		request.Header.Set("Model", fmt.Sprintf("m%d", rand.IntN(modelCount)))
	}
	sent.sent = time.Now()
	response, err := client.Do(request)
	if err == nil {
		sent.status = response.StatusCode
		sent.signature = response.Header.Get("Response-Signature")
		var read []byte
		read, err = io.ReadAll(response.Body)
		sent.body = string(read)
		_ = response.Body.Close()
	}
	sent.err = err
	sent.ended = time.Now()
	return sent
}

// runCallers sends requests until the context ends and returns when all are answered.
func (world *world) runCallers(ctx context.Context, group *sync.WaitGroup) {
	for index := range callerCount {
		random := rand.New(rand.NewPCG(world.random.Uint64(), uint64(index)))
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			defer client.CloseIdleConnections()
			for count := 0; ctx.Err() == nil; count++ {
				sent := result{
					id: fmt.Sprintf("c%d-%d", index, count), route: routes[random.IntN(len(routes))],
					node: world.nodes[random.IntN(len(world.nodes))], key: world.schoolKey(),
				}
				tokens := 50
				if index%3 == 0 {
					sent.key, tokens = "club", 400
				}
				got := call(client, sent.node.callerWay.address(), sent, tokens)
				world.lock.Lock()
				world.results = append(world.results, got)
				world.lock.Unlock()
				time.Sleep(time.Duration(random.Int64N(int64(2 * callerPause))))
			}
		})
	}
}
