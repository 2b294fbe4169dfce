package peer

import (
	"bytes"
	"compress/gzip"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/readlimit"
)

// maxUnpackedBytes bounds an unpacked configuration, several times what the store takes as one row.
const maxUnpackedBytes = 32 << 20

// ConfigPartRequest asks for a part of the packed configuration. Sum is that of the parts before, from
// which the part at Offset follows.
type ConfigPartRequest struct {
	Offset int
	Sum    uint64
}

// ConfigPart is a part of a packed configuration of Total bytes. Sum identifies these bytes. If it is
// not that of the request, the part is the first one.
type ConfigPart struct {
	Sum   uint64
	Total int
	Data  []byte
}

// Pack compresses an encoded configuration.
func Pack(manifest []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(manifest); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// Unpack is the reverse of Pack.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out, err := readlimit.ReadAll(r, "bytes in an unpacked configuration", maxUnpackedBytes)
	return out, trace.Wrap(err)
}
