package ingress

import "bytes"

const (
	// headerByteCost is the memory of a byte of a header: its text is read into a line and copied.
	headerByteCost = 2
	// headerLineCost is the memory of a line besides its text: its entry in a map, the list of its
	// values and the field that is forwarded.
	headerLineCost = 160
	// headerSlack is what is read beyond the limit: the request line is not counted by all callers.
	headerSlack = 4 << 10
)

// headerCount counts the header of one request while it arrives.
type headerCount struct {
	bytes int
	lines int
	// lineBytes is the length of the line that has not ended, without its carriage return.
	lineBytes int
	// begun says that a line was not empty; empty lines may precede a request.
	begun bool
	// ended says that the empty line after the header has arrived. What follows is the body.
	ended bool
}

// add counts bytes that have arrived.
func (count *headerCount) add(read []byte) {
	for len(read) > 0 && !count.ended {
		end := bytes.IndexByte(read, '\n')
		line := read
		if end >= 0 {
			line = read[:end]
			read = read[end+1:]
		} else {
			read = nil
		}
		count.bytes += len(line) + 1
		count.lineBytes += len(line)
		if len(line) > 0 && line[len(line)-1] == '\r' {
			count.lineBytes--
		}
		if end >= 0 {
			count.lines++
			count.ended = count.begun && count.lineBytes == 0
			count.begun = count.begun || count.lineBytes > 0
			count.lineBytes = 0
		}
	}
}

// memory returns about what the header takes in memory once it is decoded.
func (count *headerCount) memory() int64 {
	return int64(count.bytes)*headerByteCost + int64(count.lines)*headerLineCost
}
