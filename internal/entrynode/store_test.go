package entrynode_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// storeRow is a row as the platform's store tells it.
type storeRow struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store plays the platform's table service. Each node reaches it by an entrance
// of its own, which may refuse the node or give it no answers.
type store struct {
	handler http.Handler

	lock    sync.Mutex
	ver     uint64
	rows    map[string]storeRow
	changed chan struct{}
	entrances map[string]*entrance
}

// entrance is the address of the store for one node.
type entrance struct {
	server *httptest.Server
	// refuses says that the node gets 503, silent that it gets no answers.
	refuses bool
	silent  bool
	calls   int
}

func newStore(t *testing.T) *store {
	t.Helper()
	created := &store{rows: map[string]storeRow{}, changed: make(chan struct{}), entrances: map[string]*entrance{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/rows-get", created.get)
	mux.HandleFunc("/rows-feed", created.feed)
	mux.HandleFunc("/rows-tx", created.commit)
	created.handler = mux
	return created
}

// address opens the entrance of a node.
func (store *store) address(t *testing.T, name string) string {
	t.Helper()
	opened := &entrance{}
	opened.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		store.lock.Lock()
		opened.calls++
		refuses, silent := opened.refuses, opened.silent
		store.lock.Unlock()
		switch {
		case silent:
			<-request.Context().Done()
		case refuses:
			writer.WriteHeader(http.StatusServiceUnavailable)
		default:
			store.handler.ServeHTTP(writer, request)
		}
	}))
	t.Cleanup(opened.server.CloseClientConnections)
	store.lock.Lock()
	defer store.lock.Unlock()
	store.entrances[name] = opened
	return strings.TrimPrefix(opened.server.URL, "http://")
}

// refuse makes the store answer a node with 503 and ends its open polls.
func (store *store) refuse(name string) {
	store.lock.Lock()
	opened := store.entrances[name]
	opened.refuses = true
	store.lock.Unlock()
	opened.server.CloseClientConnections()
}

// silence lets the store answer a node no more.
func (store *store) silence(name string) {
	store.lock.Lock()
	defer store.lock.Unlock()
	store.entrances[name].silent = true
}

// calls returns how often each node has called the store.
func (store *store) calls() map[string]int {
	store.lock.Lock()
	defer store.lock.Unlock()
	counts := map[string]int{}
	for name, opened := range store.entrances {
		counts[name] = opened.calls
	}
	return counts
}

func (store *store) put(table, key, value string) {
	store.lock.Lock()
	defer store.lock.Unlock()
	store.write(storeRow{Table: table, Key: key, Value: []byte(value)})
	store.wake()
}

func (store *store) write(row storeRow) {
	store.ver++
	row.Ver = store.ver
	store.rows[row.Table+"/"+row.Key] = row
}

func (store *store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) answer(writer http.ResponseWriter, rows []storeRow) {
	_ = json.NewEncoder(writer).Encode(map[string]any{"rows": rows, "ver": store.ver, "nowMs": 1})
}

func (store *store) get(writer http.ResponseWriter, request *http.Request) {
	store.lock.Lock()
	defer store.lock.Unlock()
	query := request.URL.Query()
	rows := []storeRow{}
	for _, row := range store.rows {
		inRange := row.Key >= query.Get("from") && (query.Get("target") == "" || row.Key < query.Get("target"))
		if row.Table == query.Get("table") && !row.Deleted && inRange {
			rows = append(rows, row)
		}
	}
	store.answer(writer, rows)
}

func (store *store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.lock.Lock()
		rows := []storeRow{}
		for _, row := range store.rows {
			if row.Table == query.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		changed := store.changed
		if len(rows) > 0 {
			store.answer(writer, rows)
			store.lock.Unlock()
			return
		}
		store.lock.Unlock()
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-deadline:
			store.lock.Lock()
			store.answer(writer, rows)
			store.lock.Unlock()
			return
		}
	}
}

func (store *store) commit(writer http.ResponseWriter, request *http.Request) {
	var transaction struct {
		Precondition []storeRow
		Put          []storeRow
		Remove       []storeRow
	}
	if err := json.NewDecoder(request.Body).Decode(&transaction); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.lock.Lock()
	defer store.lock.Unlock()
	for _, condition := range transaction.Precondition {
		present := store.rows[condition.Table+"/"+condition.Key]
		if present.Deleted {
			present.Ver = 0
		}
		if present.Ver != condition.Ver {
			writer.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, row := range transaction.Put {
		store.write(row)
	}
	for _, row := range transaction.Remove {
		store.write(storeRow{Table: row.Table, Key: row.Key, Deleted: true})
	}
	store.wake()
	store.answer(writer, nil)
}
