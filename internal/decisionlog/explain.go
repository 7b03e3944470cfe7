package decisionlog

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// before is how long before a request's arrival a decision may still explain its end.
const before = 10 * time.Second

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Line is one line of a log, as pairs of key and value.
type Line struct {
	Text   string
	Fields map[string]string
}

// Time returns when the line was written, by its host's clock.
func (line Line) Time() time.Time {
	at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	if err != nil {
		return time.Time{}
	}
	return at
}

// Parse reads a line of key=value pairs; what a collector has put before them is left out.
func Parse(text string) Line {
	line := Line{Text: strings.TrimSpace(text), Fields: map[string]string{}}
	begin := strings.Index(text, "time=")
	if begin < 0 {
		return line
	}
	for rest := strings.TrimSpace(text[begin:]); rest != ""; rest = strings.TrimLeft(rest, " ") {
		key, tail, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		value, after := tail, ""
		if quoted, err := strconv.QuotedPrefix(tail); err == nil {
			after = tail[len(quoted):]
			// A quoted prefix can always be unquoted.
			value, _ = strconv.Unquote(quoted)
		} else {
			value, after, _ = strings.Cut(tail, " ")
		}
		line.Fields[key] = value
		rest = after
	}
	return line
}

// Read reads all lines of a log.
func Read(log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var lines []Line
	for scanner.Scan() {
		lines = append(lines, Parse(scanner.Text()))
	}
	return lines, errors.Annotate(scanner.Err(), "log")
}

// Explain returns the lines that tell why a request ended as it did, in the order
// of the log: the request's own, and what was decided or learned about its target,
// its model and the node's knowledge from a little before its arrival to its end.
func Explain(lines []Line, request string) []Line {
	var own []Line
	for _, line := range lines {
		if line.Fields["request"] == request {
			own = append(own, line)
		}
	}
	var chain []Line
	for _, line := range lines {
		if line.Fields["request"] == request || relevant(line, own) {
			chain = append(chain, line)
		}
	}
	return chain
}

// relevant says whether a line tells of something that a request's line depends on.
func relevant(line Line, own []Line) bool {
	if line.Fields["msg"] == "request ended" {
		return false
	}
	for _, request := range own {
		end := request.Time()
		took, err := time.ParseDuration(request.Fields["took"])
		if err != nil {
			took = 0
		}
		at := line.Time()
		if at.Before(end.Add(-took-before)) || at.After(end) {
			continue
		}
		for _, field := range []string{"target", "model"} {
			if value := request.Fields[field]; value != "" && line.Fields[field] == value {
				return true
			}
		}
		if subject := line.Fields["service"]; subject != "" && subject == request.Fields["service"] && line.Fields["target"] == "" {
			return true
		}
		if explains[line.Fields["msg"]] {
			return true
		}
	}
	return false
}

// explains are the events of the whole node or fleet that change how requests end.
var explains = map[string]bool{
	"node starts": true, "node drains": true, "node ends": true, "settings reloaded": true,
	"configuration in force": true, "configuration unreadable": true,
	"store lost": true, "store answers": true, "log lines dropped": true,
	"lease taken": true, "lease lost": true, "lease given up": true, "lease released": true,
	"process held up": true, "host left": true, "host removed": true, "relay chosen": true,
}
