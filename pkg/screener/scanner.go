package screener

import (
	"bytes"
	"strconv"
)

// header is what the scanner notes of a request's header.
type header struct {
	// bytes is the size with the request line.
	bytes int
	// length and coding say that there was a Content-Length and a Transfer-Encoding.
	length, coding bool
	// folded says that a line continued the one before it.
	folded bool
}

// keptBytes is the part of a line that is kept; names of headers and lengths of
// bodies and chunks are shorter.
const keptBytes = 64

// maxSizeBits bounds the size of a body or chunk, so that sums do not overflow.
const maxSizeBits = 62

// state is what the scanner expects next.
type state int

const (
	requestLine state = iota
	headerLine
	body
	chunkLine
	chunkData
	trailerLine
)

// scanner follows the framing of the requests on a connection, as net/http does.
// It alters nothing; what net/http itself refuses ends the connection.
type scanner struct {
	state state
	// line is the start of the current line, lineBytes its length so far.
	line      []byte
	lineBytes int
	header    header
	// left are the bytes to skip of a body or chunk.
	left int64
	// size is the Content-Length.
	size int64
}

// scan follows some bytes and appends the headers that end in them.
func (s *scanner) scan(p []byte, headers []header) []header {
	for len(p) > 0 {
		if s.state == body || s.state == chunkData {
			n := min(s.left, int64(len(p)))
			p, s.left = p[n:], s.left-n
			if s.left == 0 {
				s.state = map[state]state{body: requestLine, chunkData: chunkLine}[s.state]
			}
			continue
		}
		end := bytes.IndexByte(p, '\n')
		part := p
		if end >= 0 {
			part = p[:end+1]
		}
		p = p[len(part):]
		s.lineBytes += len(part)
		s.line = append(s.line, part[:min(len(part), keptBytes-len(s.line))]...)
		if end < 0 {
			break
		}
		line := bytes.TrimRight(s.line, "\r\n")
		if s.state == requestLine || s.state == headerLine {
			s.header.bytes += s.lineBytes
		}
		if s.take(line) {
			headers = append(headers, s.header)
			s.header = header{}
		}
		s.line, s.lineBytes = s.line[:0], 0
	}
	return headers
}

// take handles a whole line and reports whether it ends a header.
func (s *scanner) take(line []byte) (ends bool) {
	switch s.state {
	case requestLine:
		s.state, s.size = headerLine, 0
	case headerLine:
		if len(line) > 0 {
			s.field(line)
			return false
		}
		s.begin()
		return true
	case chunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, maxSizeBits)
		s.state, s.left = chunkData, int64(n)+int64(len("\r\n"))
		if n == 0 || err != nil {
			s.state = trailerLine
		}
	case trailerLine:
		if len(line) == 0 {
			s.state = requestLine
		}
	case body, chunkData:
	}
	return false
}

// field notes a header line.
func (s *scanner) field(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		s.header.folded = true
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(bytes.ToLower(name)) {
	case "content-length":
		s.header.length = true
		// What is no number is refused by net/http.
		size, _ := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, maxSizeBits)
		s.size = int64(size)
	case "transfer-encoding":
		s.header.coding = true
	}
}

// begin sets what follows a header.
func (s *scanner) begin() {
	switch {
	case s.header.coding:
		s.state = chunkLine
	case s.size > 0:
		s.state, s.left = body, s.size
	default:
		s.state = requestLine
	}
}
