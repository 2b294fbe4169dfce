package httplisten

import "time"

// clientWait is the time that a daemon has waited for a client during a request.
type clientWait struct {
	// since is when the current wait began; zero if there is none.
	since  time.Time
	waited time.Duration
	bytes  int
}

func (w *clientWait) begin(now time.Time) { w.since = now }

func (w *clientWait) end(bytes int, now time.Time) {
	w.waited += now.Sub(w.since)
	w.bytes += bytes
	w.since = time.Time{}
}

// evict ends a connection that keeps this daemon waiting for its client. It returns false if that is no longer so.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsBytes() && c.hasUnread() {
		// This daemon waits for its own processor, not for the client.
		return false
	}
	switch {
	case c.phase == phaseHeader:
		c.beginClose()
		// A client that does not read must not hold up the evictions of others.
		go c.respondAndClose(requestTimeoutResponse)
	case c.phase == phaseIdle, c.phase == phaseDiscard, c.phase == phaseAhead:
		c.beginClose()
		go func() { _ = c.Close() }()
	case c.phase != phaseRequest || c.bodyEvicted || c.answerEvicted:
		return false
	case !c.bodyRead.since.IsZero():
		c.bodyEvicted = true
		_ = c.Conn.SetReadDeadline(time.Now())
	case !c.answerWrite.since.IsZero():
		c.answerEvicted = true
		_ = c.Conn.SetWriteDeadline(time.Now())
	default:
		return false
	}
	return true
}

// awaitsBytes reports whether this daemon waits for bytes of a request. The lock is held.
func (c *conn) awaitsBytes() bool {
	return c.phase == phaseIdle || c.phase == phaseHeader || c.phase == phaseRequest && !c.bodyRead.since.IsZero()
}

// clientWait returns for how long this daemon has waited for the client since the current request began, or since
// the one before ended, and how many bytes came in that time. ok is false if it does not wait, or only for a moment.
func (c *conn) clientWait(now time.Time) (waited time.Duration, received int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := minClientWait
	switch {
	case c.phase == phaseIdle:
		waited, least = now.Sub(c.idleSince), minIdleWait
	case c.phase == phaseHeader:
		waited, received = now.Sub(c.headSince), c.scanner.bytes
	case c.phase == phaseDiscard, c.phase == phaseAhead:
		return discardTime, 0, true
	case c.phase != phaseRequest || c.bodyEvicted || c.answerEvicted:
		return 0, 0, false
	case !c.bodyRead.since.IsZero():
		waited, received = c.bodyRead.waited+now.Sub(c.bodyRead.since), c.bodyRead.bytes
	case !c.answerWrite.since.IsZero():
		waited, received, least = now.Sub(c.answerWrite.since), c.answerWrite.bytes, minWriteWait
	default:
		return 0, 0, false
	}
	return waited, received, waited >= least
}

// beginBodyRead is called before bytes of a body are read.
func (c *conn) beginBodyRead() {
	now := time.Now()
	c.mu.Lock()
	head := c.head
	if c.phase == phaseRequest {
		c.bodyRead.begin(now)
	}
	c.mu.Unlock()
	if head != nil {
		head.BeginWait(now)
	}
}

// endBodyRead is called when n bytes of a body have been read. It reports whether the request was evicted.
func (c *conn) endBodyRead(n int) bool {
	now := time.Now()
	c.mu.Lock()
	head, evicted := c.head, c.bodyEvicted
	if !c.bodyRead.since.IsZero() {
		c.bodyRead.end(n, now)
	}
	c.mu.Unlock()
	if head != nil {
		head.EndWait(n, now)
	}
	return evicted
}
