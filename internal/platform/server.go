package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"mimosatide.example/mimosatide"
)

// NewHandler returns a handler that serves an in-memory table, an in-memory object
// store and a host list by the platform's protocol. Only the stand-in and tests use it.
func NewHandler(table *MemoryTable, objects *MemoryObjects, hosts func() []mimosatide.Host) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/read", func(writer http.ResponseWriter, request *http.Request) {
		var body readWire
		if decodeBody(writer, request, &body) {
			rows, _ := table.Read(request.Context(), body.Keys...)
			writeJSON(writer, rowsToWire(rows))
		}
	})
	mux.HandleFunc("POST /table/scan", func(writer http.ResponseWriter, request *http.Request) {
		var body scanWire
		if decodeBody(writer, request, &body) {
			rows, _ := table.Scan(request.Context(), body.Prefix)
			writeJSON(writer, rowsToWire(rows))
		}
	})
	mux.HandleFunc("POST /table/commit", func(writer http.ResponseWriter, request *http.Request) {
		var body transactionWire
		if decodeBody(writer, request, &body) {
			outcome := table.Commit(request.Context(), transactionFromWire(body))
			writeJSON(writer, outcomeWire{Outcome: outcome.String()})
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
		writeJSON(writer, wire)
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

// decodeBody decodes the JSON body of a request, or answers with status 400.
func decodeBody(writer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, answer any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}
