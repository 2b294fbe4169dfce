// Package ident generates the ids of daemon incarnations and of requests.
package ident

import (
	"crypto/rand"
	"strconv"
	"strings"
	"sync/atomic"
)

// NewIncarnation returns a new id for a daemon process: 128 random bits as 26 lower-case
// base32 characters.
func NewIncarnation() string { return strings.ToLower(rand.Text()) }

// Requests generates request ids of the form "<incarnation>-<number>". The bill of a request
// is stored under its id.
type Requests struct {
	incarnation string
	last        atomic.Uint64
}

// NewRequests returns a generator of request ids for an incarnation.
func NewRequests(incarnation string) *Requests { return &Requests{incarnation: incarnation} }

// Next returns a request id that it has not returned before.
func (r *Requests) Next() string {
	return r.incarnation + "-" + strconv.FormatUint(r.last.Add(1), 10)
}

// Incarnation returns the incarnation part of a request id.
func Incarnation(requestID string) string {
	incarnation, _, _ := strings.Cut(requestID, "-")
	return incarnation
}
