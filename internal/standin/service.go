package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slowMark in a request's body delays the service's answer by slowDelay.
const slowMark = "slowly"

const slowDelay = 300 * time.Millisecond

// service simulates a plain service. It counts the runs of each request and body,
// so that tests can check that no call ran twice.
type service struct {
	name string

	lock sync.Mutex
	// down is set by the fault Crash, silent by the fault Silence.
	down   bool
	silent bool
	// runs counts the calls by request id, bodies by request body.
	runs     map[string]int
	bodies   map[string]int
	keysSeen int
}

func newService(name string) *service {
	return &service{name: name, runs: map[string]int{}, bodies: map[string]int{}}
}

func (service *service) applyFault(fault Fault) {
	service.lock.Lock()
	defer service.lock.Unlock()
	switch fault.Kind {
	case "Crash":
		service.down = true
	case "Restart":
		service.down = false
	case "Silence":
		service.silent = fault.On
	}
}

// ServeHTTP records a call and answers it, subject to the faults.
func (service *service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	service.lock.Lock()
	down, silent := service.down, service.silent
	service.lock.Unlock()
	if err != nil || down {
		panic(http.ErrAbortHandler)
	}
	service.record(request, body)
	if strings.Contains(string(body), slowMark) {
		time.Sleep(slowDelay)
	}
	if strings.Contains(string(body), CrashMark) {
		panic(http.ErrAbortHandler)
	}
	if silent {
		<-request.Context().Done()
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Mimosatide-Request", request.Header.Get("Mimosatide-Request"))
	_, _ = writer.Write([]byte(`{"Service":"` + service.name + `","Ran":true}`))
}

// record counts the call, and whether it contains a caller's key or a cookie.
func (service *service) record(request *http.Request, body []byte) {
	service.lock.Lock()
	defer service.lock.Unlock()
	service.runs[request.Header.Get("Mimosatide-Request")]++
	service.bodies[string(body)]++
	exposed := strings.Contains(string(body)+request.URL.String(), keyPrefix)
	for _, values := range request.Header {
		exposed = exposed || strings.Contains(strings.Join(values, " "), keyPrefix)
	}
	if exposed || request.Header.Get("Cookie") != "" {
		service.keysSeen++
	}
}

// addTo adds the service's records to the totals.
func (service *service) addTo(truth *Truth) {
	service.lock.Lock()
	defer service.lock.Unlock()
	for id, count := range service.runs {
		truth.Runs[id] += count
	}
	for body, count := range service.bodies {
		truth.Bodies[body] += count
	}
	truth.KeysSeen += service.keysSeen
}
