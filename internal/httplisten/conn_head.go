package httplisten

import (
	"io"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

// Responses that are written without the HTTP server. Status 408 and 503 promise that the request did not run, so
// that the client may repeat it.
const (
	requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTooLongResponse    = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noHeadMemoryResponse   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// refusalTime is how long a refused client may go on sending before its connection is closed.
const refusalTime = 500 * time.Millisecond

// noteBytes starts the header timeout when the first bytes of a request arrive, and measures its head. kept is
// false if the connection is being closed. refusal is the response to a head that is too long or for which there
// is no memory.
func (c *conn) noteBytes(p []byte) (kept bool, refusal string) {
	limits := c.listener.options.Limits()
	cost, tooLong := 0, false
	c.mu.Lock()
	if c.phase == phaseIdle {
		c.phase, c.headSince, c.scanner = phaseHeader, time.Now(), headScanner{}
		c.startTimer(orDefault(limits.HeaderTimeout, defaultHeaderTimeout), c.rejectSlow)
	}
	if c.phase == phaseHeader {
		c.scanner.add(p)
		cost = c.scanner.cost()
		tooLong = limits.HeaderBytes > 0 && c.scanner.bytes > limits.HeaderBytes+headerSlack
	}
	kept = c.phase != phaseClosing
	c.mu.Unlock()
	switch {
	case tooLong:
		c.listener.options.Metrics.LongHeads.Add(1)
		return false, headTooLongResponse
	case cost > 0 && !c.holdHead(cost):
		c.listener.options.Metrics.HeadMemory.Add(1)
		return false, noHeadMemoryResponse
	}
	return kept, ""
}

// currentHead returns the part in HeadMemory of a head that is arriving, or nil.
func (c *conn) currentHead() *limit.Holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseHeader {
		return nil
	}
	return c.head
}

// holdHead makes the current head count with a cost in HeadMemory. It returns false if there is no memory.
// Only the goroutine that serves the connection calls it.
func (c *conn) holdHead(cost int) bool {
	if c.listener.options.HeadMemory == nil {
		return true
	}
	more := cost - freeHeadCost - c.heldCost
	if more <= 0 {
		return true
	}
	c.mu.Lock()
	head := c.head
	c.mu.Unlock()
	if head == nil {
		head = c.listener.options.HeadMemory.Open(c.abortHead)
		c.mu.Lock()
		c.head = head
		c.mu.Unlock()
	}
	if !head.Grow(more, time.Now()) {
		return false
	}
	c.heldCost += more
	return true
}

// releaseHead frees the memory of the current head.
func (c *conn) releaseHead() {
	c.mu.Lock()
	head := c.head
	c.head = nil
	c.mu.Unlock()
	if head != nil {
		head.Close()
	}
}

// abortHead ends a request whose client keeps this daemon waiting while the memory of its head is needed.
func (c *conn) abortHead() {
	c.listener.options.Metrics.HeadMemory.Add(1)
	c.evict()
}

// refuse responds to a head that is not read any further, and reads on for a moment: a client that is still
// sending would lose the response if the connection were reset.
func (c *conn) refuse(response string) {
	c.mu.Lock()
	if c.phase == phaseClosing {
		c.mu.Unlock()
		return
	}
	c.phase = phaseDiscard
	c.stopTimer()
	c.mu.Unlock()
	c.releaseHead()
	c.listener.logs.Note("heads.refused", 1, "bytes", c.scanner.bytes, "lines", c.scanner.lines)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rawResponseTimeout))
	_, _ = io.WriteString(c.Conn, response)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscard)
}
