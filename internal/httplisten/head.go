package httplisten

import (
	"bytes"
	"net/http"
)

const (
	// MaxHeaderBytes is the limit of the HTTP server on the head of a request, for http.Server.
	MaxHeaderBytes = 256 << 10
	// headerSlack is by how much a head may exceed the declared limit before its connection is closed. The
	// handler refuses it with a whole answer.
	headerSlack = 4 << 10
	// fieldCost is the memory of a header field besides its bytes: the HTTP library parses the head into a map of
	// slices, which is copied for the upstream instance.
	fieldCost = 200
	// freeHeadCost is the cost of a head that does not count in the budget.
	freeHeadCost = 8 << 10
)

// headScanner measures the head of a request while it arrives.
type headScanner struct {
	// bytes is the length so far and lines the number of its complete lines.
	bytes, lines int
	// lineBytes is the length of the current line without carriage returns.
	lineBytes int
	ended     bool
}

// add scans bytes that have arrived. What follows the end of the head is ignored.
func (s *headScanner) add(p []byte) {
	for len(p) > 0 && !s.ended {
		n := bytes.IndexByte(p, '\n')
		if n < 0 {
			s.bytes += len(p)
			s.lineBytes += lengthWithoutCR(p)
			return
		}
		s.bytes += n + 1
		s.lineBytes += lengthWithoutCR(p[:n])
		// Empty lines before the request line are ignored.
		s.ended = s.lineBytes == 0 && s.lines > 0
		if s.lineBytes > 0 {
			s.lines++
		}
		s.lineBytes, p = 0, p[n+1:]
	}
}

func lengthWithoutCR(line []byte) int { return len(bytes.TrimSuffix(line, []byte{'\r'})) }

// cost returns the memory that the head takes once parsed.
func (s *headScanner) cost() int { return s.bytes + s.lines*fieldCost }

// headCost returns the memory that a parsed head takes.
func headCost(r *http.Request) int {
	cost := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			cost += len(name) + len(value) + fieldCost
		}
	}
	return cost
}
