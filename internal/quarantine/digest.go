// Package quarantine decides which requests are refused because they crash the upstream
// instances that run them. It weighs which requests were on the instances that ended,
// keeps what was decided, and does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/gravitational/trace"
)

// Digest tells whether two requests are the same one: it covers method, host, target,
// organisation and body, whatever the id, daemon or connection.
//
// It is half of a SHA-256: nobody can write a request that has the digest of another
// organisation's, which would have that one refused. A secret key would do the same
// with a shorter hash, but every daemon would need it, also one that starts while the
// store is away.
type Digest [sha256.Size / 2]byte

// NewDigest returns the digest of a request.
func NewDigest(method, host, target, organisation string, body []byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{method, host, target, organisation} {
		// The length keeps the end of one field from being the start of the next.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(body)
	return Digest(h.Sum(nil))
}

// String returns the digest in hexadecimal.
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
