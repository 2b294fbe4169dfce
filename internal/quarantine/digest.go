// Package quarantine decides which requests to refuse because they crash the upstream
// instances that run them: a single request that is repeated, or all that have a part of their
// prompts in common. It compares what ran on the instances that ended, stores the decisions in
// memory, and does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Digest identifies a request by method, host, target, organisation and body. The same request
// has the same digest whatever its request ID, daemon or connection.
//
// Digest is the first half of a SHA-256, so that nobody can construct a request with the
// digest of another organisation's request and have that one refused. A keyed shorter hash
// would prevent this too, but every daemon would need the key, even one that starts while the
// store is unavailable.
type Digest [sha256.Size / 2]byte

// NewDigest returns the digest of a request. Its body may come in pieces.
func NewDigest(method, host, target, organisation string, body ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{method, host, target, organisation} {
		// The length prefix keeps different fields with the same concatenation apart.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	for _, piece := range body {
		h.Write(piece)
	}
	return Digest(h.Sum(nil))
}

// String returns d in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return trace.BadParameter("digest: %q is not %d hexadecimal digits", text, 2*len(d))
	}
	copy(d[:], b)
	return nil
}

// partDigest returns a digest of a part of prompts. It is not that of any request: those are not made
// of one field.
func partDigest(part string) Digest {
	var d Digest
	binary.BigEndian.PutUint64(d[:], xxhash.Sum64String(part))
	return d
}

// partsDigest identifies the refusal of all requests of an organisation, or of all, that have all the
// given parts.
func partsDigest(organisation string, shared bool, parts []string) Digest {
	scope := "one"
	if shared {
		scope = "all"
	}
	return NewDigest("part", scope, strings.Join(parts, ","), organisation, nil)
}

func hexOf(n uint64) string { return strconv.FormatUint(n, 16) }
