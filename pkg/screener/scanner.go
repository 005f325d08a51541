package screener

import (
	"bytes"
	"strconv"
)

// headerInfo describes the header of one request.
type headerInfo struct {
	// size is the number of bytes, including the request line.
	size int
	// fields is the number of lines.
	fields int
	// hasContentLength and hasTransferEncoding tell whether the header has these fields.
	hasContentLength, hasTransferEncoding bool
	// folded tells whether a line continues the previous one.
	folded bool
}

// maxLinePrefixBytes is the number of bytes of a line that are kept. The field
// names, body lengths and chunk sizes that are parsed are shorter.
const maxLinePrefixBytes = 64

// maxSizeBits bounds the size of a body or chunk, so that sums do not overflow.
const maxSizeBits = 62

// state is the part of a request that the scanner expects next.
type state int

const (
	requestLine state = iota
	headerLine
	body
	chunkLine
	chunkData
	trailerLine
)

// scanner follows the framing of the requests on a connection as net/http does. It
// changes nothing: net/http itself ends connections with malformed requests.
type scanner struct {
	state state
	// linePrefix is the start of the current line, lineBytes the line's length so far.
	linePrefix []byte
	lineBytes  int
	header     headerInfo
	// remaining is the number of bytes of a body or chunk still to be skipped.
	remaining int64
	// contentLength is the value of Content-Length.
	contentLength int64
}

// scan reads the bytes of p and appends the headers that end in them.
func (s *scanner) scan(p []byte, headers []headerInfo) []headerInfo {
	for len(p) > 0 {
		if s.state == body || s.state == chunkData {
			n := min(s.remaining, int64(len(p)))
			p, s.remaining = p[n:], s.remaining-n
			if s.remaining == 0 {
				s.state = map[state]state{body: requestLine, chunkData: chunkLine}[s.state]
			}
			continue
		}
		end := bytes.IndexByte(p, '\n')
		piece := p
		if end >= 0 {
			piece = p[:end+1]
		}
		p = p[len(piece):]
		s.lineBytes += len(piece)
		s.linePrefix = append(s.linePrefix, piece[:min(len(piece), maxLinePrefixBytes-len(s.linePrefix))]...)
		if end < 0 {
			break
		}
		line := bytes.TrimRight(s.linePrefix, "\r\n")
		if s.state == requestLine || s.state == headerLine {
			s.header.size += s.lineBytes
			s.header.fields++
		}
		if s.handleLine(line) {
			headers = append(headers, s.header)
			s.header = headerInfo{}
		}
		s.linePrefix, s.lineBytes = s.linePrefix[:0], 0
	}
	return headers
}

// unfinishedHeader returns the header that is being read, as far as it was read.
func (s *scanner) unfinishedHeader() headerInfo {
	h := s.header
	if s.state == requestLine || s.state == headerLine {
		h.size += s.lineBytes
	}
	return h
}

// handleLine parses a complete line and reports whether it ends a header.
func (s *scanner) handleLine(line []byte) (endsHeader bool) {
	switch s.state {
	case requestLine:
		s.state, s.contentLength = headerLine, 0
	case headerLine:
		if len(line) > 0 {
			s.handleField(line)
			return false
		}
		s.startBody()
		return true
	case chunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, maxSizeBits)
		s.state, s.remaining = chunkData, int64(n)+int64(len("\r\n"))
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

// handleField parses one line of a header.
func (s *scanner) handleField(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		s.header.folded = true
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(bytes.ToLower(name)) {
	case "content-length":
		s.header.hasContentLength = true
		// net/http rejects invalid numbers.
		size, _ := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, maxSizeBits)
		s.contentLength = int64(size)
	case "transfer-encoding":
		s.header.hasTransferEncoding = true
	}
}

// startBody sets the state for what follows a header.
func (s *scanner) startBody() {
	switch {
	case s.header.hasTransferEncoding:
		s.state = chunkLine
	case s.contentLength > 0:
		s.state, s.remaining = body, s.contentLength
	default:
		s.state = requestLine
	}
}
