package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"mimosatide.example/mimosatide"
)

// NewHandler serves a table, an object store and a host list in memory by the
// platform's protocol. Only the stand-in and tests use it.
func NewHandler(table *MemoryTable, objects *MemoryObjects, hosts func() []mimosatide.Host) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/read", func(writer http.ResponseWriter, request *http.Request) {
		var question readWire
		if decodeQuestion(writer, request, &question) {
			rows, _ := table.Read(request.Context(), question.Keys...)
			writeAnswer(writer, rowsToWire(rows))
		}
	})
	mux.HandleFunc("POST /table/scan", func(writer http.ResponseWriter, request *http.Request) {
		var question scanWire
		if decodeQuestion(writer, request, &question) {
			rows, _ := table.Scan(request.Context(), question.Prefix)
			writeAnswer(writer, rowsToWire(rows))
		}
	})
	mux.HandleFunc("POST /table/commit", func(writer http.ResponseWriter, request *http.Request) {
		var question transactionWire
		if decodeQuestion(writer, request, &question) {
			outcome := table.Commit(request.Context(), transactionFromWire(question))
			writeAnswer(writer, outcomeWire{Outcome: outcome.String()})
		}
	})
	mux.HandleFunc("/objects/", func(writer http.ResponseWriter, request *http.Request) {
		serveObject(objects, writer, request)
	})
	mux.HandleFunc("GET /hosts", func(writer http.ResponseWriter, _ *http.Request) {
		var wire hostsWire
		for _, host := range hosts() {
			wire.Hosts = append(wire.Hosts, hostWire{Name: host.Name, State: string(host.State)})
		}
		writeAnswer(writer, wire)
	})
	return mux
}

func serveObject(objects *MemoryObjects, writer http.ResponseWriter, request *http.Request) {
	name := strings.TrimPrefix(request.URL.Path, "/objects/")
	if request.Method == http.MethodPut {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		_ = objects.PutObject(request.Context(), name, body)
		return
	}
	value, err := objects.GetObject(request.Context(), name)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = writer.Write(value)
}

func decodeQuestion(writer http.ResponseWriter, request *http.Request, question any) bool {
	if err := json.NewDecoder(request.Body).Decode(question); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeAnswer(writer http.ResponseWriter, answer any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}
