package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slowMark in a body makes a service take its time.
const slowMark = "slowly"

const slowTime = 300 * time.Millisecond

// service plays a plain service, of which some calls may not be repeated.
type service struct {
	name string

	lock     sync.Mutex
	down     bool
	silent   bool
	runs     map[string]int
	bodies   map[string]int
	keysSeen int
}

func newService(name string) *service {
	return &service{name: name, runs: map[string]int{}, bodies: map[string]int{}}
}

func (played *service) switchFault(fault Fault) {
	played.lock.Lock()
	defer played.lock.Unlock()
	switch fault.Kind {
	case "Crash":
		played.down = true
	case "Restart":
		played.down = false
	case "Silence":
		played.silent = fault.On
	}
}

// ServeHTTP runs a call and echoes its body.
func (played *service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	played.lock.Lock()
	down, silent := played.down, played.silent
	played.lock.Unlock()
	if err != nil || down {
		panic(http.ErrAbortHandler)
	}
	played.note(request, body)
	if strings.Contains(string(body), slowMark) {
		time.Sleep(slowTime)
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
	_, _ = writer.Write([]byte(`{"Service":"` + played.name + `","Ran":true}`))
}

func (played *service) note(request *http.Request, body []byte) {
	played.lock.Lock()
	defer played.lock.Unlock()
	played.runs[request.Header.Get("Mimosatide-Request")]++
	played.bodies[string(body)]++
	shown := strings.Contains(string(body)+request.URL.String(), keyMark)
	for _, values := range request.Header {
		shown = shown || strings.Contains(strings.Join(values, " "), keyMark)
	}
	if shown || request.Header.Get("Cookie") != "" {
		played.keysSeen++
	}
}

func (played *service) tell(truth *Truth) {
	played.lock.Lock()
	defer played.lock.Unlock()
	for id, count := range played.runs {
		truth.Runs[id] += count
	}
	for body, count := range played.bodies {
		truth.Bodies[body] += count
	}
	truth.KeysSeen += played.keysSeen
}
