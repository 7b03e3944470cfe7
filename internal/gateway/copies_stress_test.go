//go:build stress

package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/allowance"
	"mimosatide.example/mimosatide/internal/balance"
	"mimosatide.example/mimosatide/internal/buffer"
	"mimosatide.example/mimosatide/internal/exchange"
	"mimosatide.example/mimosatide/internal/gateway"
	"mimosatide.example/mimosatide/internal/metric"
	"mimosatide.example/mimosatide/internal/pace"
	"mimosatide.example/mimosatide/internal/permit"
	"mimosatide.example/mimosatide/internal/quarantine"
	"mimosatide.example/mimosatide/internal/registry"
)

// faultyTarget refuses half of its requests and sends a third of its answers again, up to 12 ms
// later or where the next answer is due.
type faultyTarget struct {
	address string
	// odd adds answers that are cut, unnamed, undeclared or badly framed.
	odd                           bool
	copies, refusals, connections atomic.Int64

	lock sync.Mutex
	runs map[string]int
}

func startFaultyTarget(t *testing.T, odd bool) *faultyTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &faultyTarget{address: listener.Addr().String(), odd: odd, runs: map[string]int{}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			target.connections.Add(1)
			go target.serve(connection)
		}
	}()
	return target
}

func (target *faultyTarget) runsOf(id string) int {
	target.lock.Lock()
	defer target.lock.Unlock()
	return target.runs[id]
}

func (target *faultyTarget) run(id string) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.runs[id]++
}

// chance is true with a probability, but only of a target that is odd.
func (target *faultyTarget) chance(probability float64) bool {
	return target.odd && rand.Float64() < probability
}

func frame(status int, fields, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, fields)
	switch rand.IntN(3) {
	case 0:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	default:
		return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
}

func (target *faultyTarget) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	var lock sync.Mutex
	due, writing := "", false
	write := func(text string) error {
		_, err := io.WriteString(connection, text)
		return err
	}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Attempt-Id")
		if target.chance(0.02) {
			return
		}
		early := request.ContentLength > 2048 && rand.IntN(2) == 0
		if !early {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		lock.Lock()
		writing = true
		copyDue := due
		due = ""
		lock.Unlock()
		stream := strings.HasPrefix(request.URL.Path, "/chat/")
		name := "Attempt-Id: " + id + "\r\n"
		answer := ""
		refused := rand.IntN(2) == 0
		if copyDue != "" && write(copyDue) != nil {
			return
		}
		if early && !refused {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		if refused {
			target.refusals.Add(1)
			fields := name + "Not-Executed: 1\r\n"
			status := []int{503, 429}[rand.IntN(2)]
			if !stream && rand.IntN(8) == 0 {
				status, fields = 421, name
			}
			if target.chance(0.1) {
				fields = "Not-Executed: 1\r\n"
			}
			if target.chance(0.05) {
				fields += "Connection: close\r\n"
			}
			if target.chance(0.01) {
				fields += "Retry-After: 0.02\r\n"
			}
			answer = frame(status, fields, strings.Repeat("f", rand.IntN(40)))
		} else {
			target.run(id)
			time.Sleep(time.Duration(rand.IntN(4000)) * time.Microsecond)
			if target.chance(0.03) {
				return
			}
			fields := name + "Response-Signature: s\r\n"
			switch {
			case target.chance(0.05):
				answer = frame([]int{503, 429, 408}[rand.IntN(3)], fields, "own")
			case target.chance(0.05):
				answer = frame(500, fields, "own")
			case stream:
				answer = "HTTP/1.1 200 OK\r\n" + fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
				for index := range 3 {
					event := fmt.Sprintf("id: %d\ndata: %s\n\n", index+1, id)
					answer += strconv.FormatInt(int64(len(event)), 16) + "\r\n" + event + "\r\n"
				}
				answer += "0\r\n\r\n"
			default:
				answer = frame(200, fields, "run "+id)
			}
		}
		if write(answer) != nil {
			return
		}
		if early && refused {
			// The rest of the body is read on, and the connection kept.
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		repeated := answer
		if target.chance(0.1) {
			repeated = repeated[:rand.IntN(len(repeated))]
		}
		lock.Lock()
		writing = false
		if rand.IntN(3) == 0 {
			target.copies.Add(1)
			if rand.IntN(2) == 0 {
				due += repeated
			} else {
				time.AfterFunc(time.Duration(rand.IntN(12000))*time.Microsecond, func() {
					lock.Lock()
					defer lock.Unlock()
					if writing {
						due += repeated
						return
					}
					_ = write(repeated)
				})
			}
		}
		lock.Unlock()
	}
}

func startStressGateway(t *testing.T, targets []*faultyTarget) *httptest.Server {
	t.Helper()
	deployment := testDeployment()
	deployment.Limits.BodyBytes = 1 << 20
	known := registry.New(logr.Discard())
	suffixes := []string{"a", "b"}
	if os.Getenv("ROWS") == "1" {
		suffixes = suffixes[:1]
	}
	for index, target := range targets {
		for _, suffix := range suffixes {
			name := strconv.Itoa(index) + suffix
			known.Put(mimosatide.Instance{ID: "d-" + name, Service: "desk", Address: target.address, Zone: "a", Slots: 64})
			known.Put(mimosatide.Instance{
				ID: "e-" + name, Service: "llm", Address: target.address, Zone: "a", Slots: 64,
				Holdings: []mimosatide.Holding{{Model: "m"}},
			})
		}
	}
	limits := permit.NewLimits()
	gate := gateway.New(gateway.Dependencies{
		Deployment: func() *mimosatide.Deployment { return deployment }, DeploymentAge: func() time.Duration { return 0 },
		MaxDenialAge: time.Second, Targets: known, Tracker: balance.New("a", pace.New(logr.Discard())), Limits: limits,
		Permits: permit.NewDesk(limits, permit.NewIssuer(), noPeers{}, logr.Discard()), Ledger: allowance.New(true),
		Client: exchange.New(&net.Dialer{}), Engines: &fakeEngines{}, Loader: &fakeLoader{}, Origins: &fakeOrigins{known: map[string]string{}, sent: map[string]string{}}, RetryBudget: gateway.NewRetryBudget(4, 100000),
		Quarantine: quarantine.New(logr.Discard()), Meter: metric.New(), Answers: buffer.NewBudget(16 << 20),
		Draining: make(chan struct{}), EndsBy: func() (time.Time, bool) { return time.Time{}, false },
	}, logr.Discard())
	server := httptest.NewServer(gate)
	t.Cleanup(server.Close)
	return server
}

// TestRefusedRequestsAreNotRunUnderCopies guards against requests that run although they were
// refused, or twice, while targets send answers and refusals again.
func TestRefusedRequestsAreNotRunUnderCopies(t *testing.T) {
	span := 15 * time.Second
	if text := os.Getenv("SPAN"); text != "" {
		span, _ = time.ParseDuration(text)
	}
	for _, each := range []struct {
		name       string
		odd, again bool
	}{
		{"copies only, unique ids", false, false},
		{"copies only, an id is used again after a refusal", false, true},
		{"odd answers too, unique ids", true, false},
		{"odd answers too, an id is used again after a refusal", true, true},
	} {
		t.Run(each.name, func(t *testing.T) { runUnderCopies(t, span, each.odd, each.again) })
	}
}

func runUnderCopies(t *testing.T, span time.Duration, odd, again bool) {
	targets := []*faultyTarget{startFaultyTarget(t, odd), startFaultyTarget(t, odd)}
	servers := []*httptest.Server{startStressGateway(t, targets), startStressGateway(t, targets)}
	runsOf := func(id string) int { return targets[0].runsOf(id) + targets[1].runsOf(id) }
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second}
	var requests, served, refused, bad, timeouts, lost, wrong, brokenRefused, brokenTwice, slow atomic.Int64
	type refusal struct {
		id   string
		runs int
	}
	var lock sync.Mutex
	var refusals []refusal
	end := time.Now().Add(span)
	var workers sync.WaitGroup
	for worker := range 24 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			id := ""
			for number := 0; time.Now().Before(end); number++ {
				if id == "" {
					id = fmt.Sprintf("w%d-%d", worker, number)
				}
				path := "/order/x"
				var body io.Reader
				if worker%3 == 1 {
					path = "/chat/x"
				}
				if worker%3 == 2 {
					body = bytes.NewReader(bytes.Repeat([]byte("b"), rand.IntN(400000)))
				}
				request, _ := http.NewRequest(http.MethodPost, servers[rand.IntN(2)].URL+path, body)
				request.Host = "a.example"
				request.Header.Set("Attempt-Id", id)
				request.Header.Set("Model", "m")
				request.Header.Set("Authorization", "Bearer good")
				ctx, cancel := context.WithCancel(context.Background())
				if odd && rand.IntN(5) == 0 {
					request.Header.Set("Deadline-Ms", strconv.Itoa(1+rand.IntN(12)))
				}
				if odd && rand.IntN(10) == 0 {
					time.AfterFunc(time.Duration(rand.IntN(8000))*time.Microsecond, cancel)
				}
				request = request.WithContext(ctx)
				before := runsOf(id)
				requests.Add(1)
				started := time.Now()
				response, err := client.Do(request)
				if err != nil {
					cancel()
					lost.Add(1)
					id = ""
					continue
				}
				text, err := io.ReadAll(response.Body)
				cut := err != nil && ctx.Err() != nil
				_ = response.Body.Close()
				cancel()
				if time.Since(started) > 500*time.Millisecond {
					slow.Add(1)
				}
				ran := runsOf(id) - before
				if ran > 1 {
					brokenTwice.Add(1)
					t.Errorf("%s: %d runs, status %d", id, ran, response.StatusCode)
				}
				switch response.StatusCode {
				case 200:
					if cut {
						id = ""
						continue
					}
					served.Add(1)
					if err != nil || !strings.Contains(string(text), id) || ran != 1 {
						wrong.Add(1)
						t.Errorf("%s: 200 with %q, %v, %d runs", id, text, err, ran)
					}
					id = ""
				case 408, 421, 429, 503:
					refused.Add(1)
					lock.Lock()
					refusals = append(refusals, refusal{id, before})
					lock.Unlock()
					if ran > 0 {
						brokenRefused.Add(1)
						t.Errorf("%s: status %d after %d runs: %s", id, response.StatusCode, ran, text)
					}
					if !again {
						id = ""
					}
				case 504:
					timeouts.Add(1)
					id = ""
				default:
					bad.Add(1)
					id = ""
				}
			}
		}()
	}
	workers.Wait()
	time.Sleep(100 * time.Millisecond)
	late := 0
	if !again {
		for _, each := range refusals {
			if runsOf(each.id) != each.runs {
				late++
			}
		}
	}
	copies, targetRefusals := targets[0].copies.Load()+targets[1].copies.Load(), targets[0].refusals.Load()+targets[1].refusals.Load()
	t.Logf("requests %d, served %d, refused %d, 502/500 %d, 504 %d, lost %d, wrong %d, slow %d; refusals by targets %d, copies %d, connections %d; REFUSED %d (late %d), TWICE %d",
		requests.Load(), served.Load(), refused.Load(), bad.Load(), timeouts.Load(), lost.Load(), wrong.Load(), slow.Load(), targetRefusals, copies,
		targets[0].connections.Load()+targets[1].connections.Load(), brokenRefused.Load(), late, brokenTwice.Load())
}
