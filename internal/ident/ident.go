// Package ident makes the ids of incarnations and requests.
package ident

import (
	"crypto/rand"
	"strconv"
	"strings"
	"sync/atomic"
)

// NewIncarnation draws the id of a daemon process: 128 random bits as 26
// lower-case base32 characters.
func NewIncarnation() string { return strings.ToLower(rand.Text()) }

// Requests makes request ids "<incarnation>-<number>". An id is also the slot
// under which the request is billed.
type Requests struct {
	incarnation string
	last        atomic.Uint64
}

// NewRequests returns a source of ids for an incarnation.
func NewRequests(incarnation string) *Requests { return &Requests{incarnation: incarnation} }

// Next returns a new id.
func (r *Requests) Next() string {
	return r.incarnation + "-" + strconv.FormatUint(r.last.Add(1), 10)
}

// Incarnation returns the incarnation that a request id belongs to.
func Incarnation(requestID string) string {
	incarnation, _, _ := strings.Cut(requestID, "-")
	return incarnation
}
