package framing_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"mimosatide.example/mimosatide/internal/framing"
	"mimosatide.example/mimosatide/internal/framing/hertzconn"
	"mimosatide.example/mimosatide/internal/ingress"
	"mimosatide.example/mimosatide/internal/intake"
	"mimosatide.example/mimosatide/internal/metric"
)

// record records the requests whose bodies a server has read, as method, target and body.
type record struct {
	lock     sync.Mutex
	requests []string
}

func (record *record) add(method, target string, body []byte, err error) {
	record.lock.Lock()
	defer record.lock.Unlock()
	if err == nil {
		record.requests = append(record.requests, method+" "+target+" "+string(body))
	}
}

func (record *record) take() []string {
	record.lock.Lock()
	defer record.lock.Unlock()
	taken := record.requests
	record.requests = nil
	return taken
}

// startIngress serves requests as the program entry does.
func startIngress(t *testing.T, read *record) string {
	settings := ingress.Settings{Limits: func() ingress.Limits {
		return ingress.Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second, MaxHeader: 1 << 16}
	}, MaxConnections: 200, Memory: intake.NewBudget(1 << 20)}
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		read.add(request.Method, request.RequestURI, body, err)
		if err != nil {
			writer.Header().Set("Connection", "close")
			writer.WriteHeader(http.StatusBadRequest)
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	served := ingress.New(settings, handler, metric.New(), logr.Discard())
	go func() { _ = served.Serve(listener) }()
	return listener.Addr().String()
}

// startHertz serves requests as the program serve does.
func startHertz(t *testing.T, read *record, streams bool) string {
	hlog.SetLevel(hlog.LevelFatal)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hertz := server.New(server.WithListener(listener), server.WithStreamBody(streams), server.WithSenseClientDisconnection(streams),
		server.WithDisablePrintRoute(true))
	hertz.Use(hertzconn.NewGuard(func(c *app.RequestContext, _ error) { c.String(http.StatusBadRequest, "ambiguous") }))
	hertz.NoRoute(func(_ context.Context, c *app.RequestContext) {
		var body []byte
		var err error
		if !c.Request.IsBodyStream() {
			body = c.Request.Body()
		} else if body, err = io.ReadAll(c.RequestBodyStream()); err == nil {
			hertzconn.MarkBodyRead(c)
		}
		read.add(string(c.Method()), string(c.Request.Header.RequestURI()), body, err)
		c.String(http.StatusOK, "")
	})
	go func() { _ = hertz.Run() }()
	t.Cleanup(func() { _ = hertz.Close() })
	return listener.Addr().String()
}

// chunkSize matches the line before a chunk, trailers what follows the last one.
var (
	chunkSize = regexp.MustCompile(`^([0-9A-Fa-f]{1,7}) *(;[!-~]*)?\r\n`)
	trailers  = regexp.MustCompile(`^([!-9;-~]+:[ -~]*\r\n)*\r\n`)
)

// headEnd matches the end of a header, fold the beginning of a line that goes on with a field, and unusual what is valid
// but may be refused all the same.
var (
	unusual = regexp.MustCompile(`\t|;|\n |\n\r?\n\r?\n`)
	headEnd = regexp.MustCompile(`\n\r?\n`)
	fold    = regexp.MustCompile(`\r?\n[ \t]+`)
)

// strict returns the requests that a strict reader of HTTP/1.1 finds in text up to the first doubt, and whether there
// was none. RFC 9112 allows bare line feeds and folded lines in a header.
func strict(text string) (requests []string, whole bool) {
	for text = strings.TrimLeft(text, "\r\n"); text != ""; text = strings.TrimLeft(text, "\r\n") {
		end := headEnd.FindStringIndex(text)
		if end == nil {
			return requests, false
		}
		head, rest := fold.ReplaceAllString(text[:end[0]], " "), text[end[1]:]
		line, fields, _ := strings.Cut(head, "\n")
		words := strings.Split(strings.TrimSuffix(line, "\r"), " ")
		if len(words) != 3 {
			return requests, false
		}
		length, err := framing.CheckRequest(words[2], []byte(fields+"\n"))
		if err != nil || length > int64(len(rest)) {
			return requests, false
		}
		body, text2, ok := "", "", true
		if length == framing.ChunkedBody {
			body, text2, ok = strictChunks(rest)
		} else {
			body, text2 = rest[:length], rest[length:]
		}
		if !ok {
			return requests, false
		}
		requests = append(requests, words[0]+" "+words[1]+" "+body)
		text = text2
		if words[2] != "HTTP/1.1" {
			// The connection ends with this request.
			return requests, false
		}
	}
	return requests, true
}

// strictChunks returns a body in chunks and what follows it.
func strictChunks(text string) (body, rest string, ok bool) {
	for {
		match := chunkSize.FindStringSubmatch(text)
		if match == nil {
			return "", "", false
		}
		size, err := strconv.ParseUint(match[1], 16, 32)
		text = text[len(match[0]):]
		if err != nil || int(size)+2 > len(text) || size > 0 && text[size:size+2] != "\r\n" {
			return "", "", false
		}
		if size == 0 {
			end := trailers.FindStringIndex(text)
			if end == nil {
				return "", "", false
			}
			return body, text[end[1]:], true
		}
		body, text = body+text[:size], text[size+2:]
	}
}

// message draws a request with a body in which there may be another one, and with framing that may be wrong.
func message(t *rapid.T, index int) string {
	draw := func(label string, options ...string) string {
		return rapid.SampledFrom(options).Draw(t, label)
	}
	inner := draw("inner", "", "abc", "\n\r\n", fmt.Sprintf("GET /inner%d HTTP/1.1\r\nHost: a\r\n\r\n", index))
	body := inner
	chunked := rapid.Bool().Draw(t, "chunked")
	if chunked {
		size := strconv.FormatInt(int64(len(inner)), 16)
		body = draw("size", size, size, size, "0"+size, size+";x", size+" ", "0x"+size, "+"+size, "f"+size, size+"\n;", "fffffffffffffffff"+size) +
			draw("size end", "\r\n", "\r\n", "\r\n", "\n", "\r", "\r\r\n") + inner +
			draw("chunk end", "\r\n", "\r\n", "\r\n", "\n", "", "xx") + draw("last", "0", "0", "00", "-0") + "\r\n" + draw("trailer", "", "", "X: y\r\n") + "\r\n"
		if inner == "" {
			body = "0\r\n\r\n"
		}
	}
	length := strconv.Itoa(len(body))
	fields := []string{"Host: a"}
	for range rapid.IntRange(1, 2).Draw(t, "fields") {
		isLength := !chunked
		if rapid.IntRange(0, 3).Draw(t, "other") == 0 {
			isLength = !isLength
		}
		name, value := "Transfer-Encoding", draw("coding", "chunked", "chunked", "chunked", "Chunked", " chunked\t", "identity", "chunked, identity", "gzip, chunked", "xchunked", "\x0bchunked", "")
		if isLength {
			name, value = "Content-Length", draw("length", length, length, length, length, " "+length+" ", "0"+length, "+"+length, "0x"+length, length+", "+length, length+"x", "1", "-1", "", "99999999999999999999")
		}
		separator := draw("separator", ": ", ": ", ": ", ":", ":\t", " : ", ":\r\n ", "\t:", ":\x0c", "\r: ")
		start := draw("start", "", "", "", "", "", "X: y\r", "\x00", " ", "X: y\r\n ", "X-", "\t")
		fields = append(fields, start+rapid.SampledFrom([]func(string) string{strings.ToLower, strings.ToUpper, strings.TrimSpace}).Draw(t, "case")(name)+separator+value)
	}
	ending := draw("ending", "\r\n", "\r\n", "\r\n", "\n", "\r\r\n")
	fields = rapid.Permutation(fields).Draw(t, "order")
	return draw("method", "GET", "POST", "DELETE") + fmt.Sprintf(" /outer%d ", index) + draw("version", "HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0", "HTTP/2.0") +
		"\r\n" + strings.Join(fields, ending) + draw("last ending", "\r\n\r\n", "\r\n\r\n", ending+ending) + body
}

// converse writes text in pieces on a new connection and returns the number of answers.
func converse(t *rapid.T, address string, pieces []string) int {
	caller, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	for _, piece := range pieces {
		if _, err := io.WriteString(caller, piece); err != nil {
			break
		}
		time.Sleep(200 * time.Microsecond)
	}
	_ = caller.(*net.TCPConn).CloseWrite()
	_ = caller.SetReadDeadline(time.Now().Add(10 * time.Second))
	reader, answers := bufio.NewReader(caller), 0
	for {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		answers++
	}
}

// Whatever a caller sends, a server must take it for requests that a strict reader finds too, in their order and with
// their bodies, and must end the connection with the answer after them.
func TestServersTakeNoBytesForARequestThatAStrictReaderDoesNot(t *testing.T) {
	for name, start := range map[string]func(t *testing.T, read *record) string{
		"entry":              startIngress,
		"callers of serve":   func(t *testing.T, read *record) string { return startHertz(t, read, true) },
		"operators of serve": func(t *testing.T, read *record) string { return startHertz(t, read, false) },
	} {
		t.Run(name, func(t *testing.T) {
			read := &record{}
			address := start(t, read)
			rapid.Check(t, func(t *rapid.T) {
				text := ""
				for index := range rapid.IntRange(1, 3).Draw(t, "messages") {
					text += message(t, index)
				}
				cuts := rapid.SliceOfN(rapid.IntRange(0, len(text)), 0, 3).Draw(t, "cuts")
				pieces, rest := []string(nil), text
				for _, cut := range cuts {
					cut = min(cut, len(rest))
					pieces, rest = append(pieces, rest[:cut]), rest[cut:]
				}
				answers := converse(t, address, append(pieces, rest))
				got := read.take()
				want, whole := strict(text)
				for index, request := range got {
					if index >= len(want) || request != want[index] {
						t.Fatalf("%q: got the requests %q, want of %q", text, got, want)
					}
				}
				if whole && len(got) < len(want) && !unusual.MatchString(text) {
					t.Fatalf("%q: got the requests %q, want all of %q", text, got, want)
				}
				if answers > len(want)+1 {
					t.Fatalf("%q: got %d answers, want at most one more than those to %q", text, answers, want)
				}
			})
		})
	}
}
