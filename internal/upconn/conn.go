package upconn

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/dial"
	"github.com/hornbeamsill/hornbeamsill/internal/httpanswer"
	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
)

// Link is what is known of a direct connection.
type Link struct {
	// OpenedAt is when it was opened, and Reused is set if it has given an answer before.
	OpenedAt time.Time
	Reused   bool
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	// unread limits what reader reads. Only the reader of the answer uses it.
	unread *readlimit.Reader
	// tunnel is Conn if that is a tunnel, and otherwise nil.
	tunnel Tunnel
	// usableUntil is until when an idle connection may be used again, and answeredAt when it last gave
	// a whole answer.
	usableUntil, answeredAt time.Time
	openedAt                time.Time
	// lastID is the ID of the last request on the connection. hadHead is set once there was a HEAD
	// request: its answer has no body, whatever length it states.
	lastID  string
	hadHead bool
	// instance is the ID of the instance that has answered on the connection; empty while unknown.
	// askedAt is when the last request was sent that it is known to have answered.
	instance string
	askedAt  time.Time
}

func newConn(raw net.Conn, openedAt time.Time) *conn {
	tunnel, _ := raw.(Tunnel)
	unread := readlimit.NewReader(raw, "bytes in the head of an answer", readlimit.None)
	return &conn{Conn: raw, tunnel: tunnel, reader: bufio.NewReaderSize(unread, bufferSize), unread: unread, openedAt: openedAt}
}

// maxErrorText bounds the text of an error, which may quote the bytes of a server.
const maxErrorText = 200

// readHead reads the head of an answer. After an error the connection cannot be used.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.unread.Reset(readlimit.HeadBytes)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if limited := c.unread.Err(); limited != nil {
		return nil, limited
	}
	if err == nil {
		err = httpanswer.CheckHead(resp)
	}
	if err != nil && len(err.Error()) > maxErrorText {
		return nil, fmt.Errorf("%.*s", maxErrorText, err.Error())
	}
	c.unread.Reset(readlimit.None)
	return resp, err
}

func (c *conn) link() Link { return Link{OpenedAt: c.openedAt, Reused: !c.answeredAt.IsZero()} }

// wasIdle reports whether the connection was kept in the pool before its present use.
func (c *conn) wasIdle() bool { return !c.usableUntil.IsZero() }

// isFreeOf reports whether a late answer on the connection cannot be taken for that to a request with
// an ID, which is sent again.
func (c *conn) isFreeOf(id string) bool { return c.answeredAt.IsZero() || id == "" || c.lastID != id }

// isOnPath reports whether an idle connection may be used now. While instances are reached through
// tunnels, that is a direct one only if it has given a whole answer since then: others may have lost
// their link without a sign. Otherwise it is any direct one.
func (c *conn) isOnPath(tunneledSince time.Time, tunneled bool) bool {
	if c.tunnel != nil {
		return tunneled
	}
	return !tunneled || c.answeredAt.After(tunneledSince)
}

// isReusable reports whether an idle connection has not expired, is open and has no unread
// bytes. Unread bytes belong to a second answer to an earlier request and would be taken for
// the answer to the next request. If the server has closed the connection, a request sent now
// would be lost with an unknown outcome.
func (c *conn) isReusable() bool {
	if time.Now().After(c.usableUntil) || c.reader.Buffered() > 0 {
		return false
	}
	_, err := dial.Peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN)
}

// idleTimeout returns how long a connection may be kept unused, given the headers of the last
// answer.
func idleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTime)
		}
	}
	return maxIdleTime
}
