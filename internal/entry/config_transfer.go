package entry

import (
	"bytes"
	"context"
	"hash/fnv"
	"log/slog"
	"sync"

	"github.com/hornbeamsill/hornbeamsill/internal/peer"
)

// configPartBytes is the size of the parts in which a long configuration is fetched: on a link of
// 10 Mbit/s, a part takes a tenth of the time that a call may take.
const configPartBytes = 64 << 10

// packedConfig is the packed form of an encoded configuration, made when it is first needed.
//
// Lock order: no other lock is taken while mu is held.
type packedConfig struct {
	mu               sync.Mutex
	manifest, packed []byte
	sum              uint64
}

// of returns the packed form of an encoded configuration and its checksum.
func (p *packedConfig) of(manifest []byte) (packed []byte, sum uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bytes.Equal(p.manifest, manifest) {
		return p.packed, p.sum
	}
	packed, err := peer.Pack(manifest)
	if err != nil {
		slog.Error("config.not_packed", "error", err)
		return nil, 0
	}
	p.set(manifest, packed)
	return p.packed, p.sum
}

// unpack returns the encoded configuration of a packed one.
func (p *packedConfig) unpack(packed []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bytes.Equal(p.packed, packed) {
		return p.manifest, nil
	}
	manifest, err := peer.Unpack(packed)
	if err != nil {
		return nil, err
	}
	p.set(manifest, packed)
	return manifest, nil
}

// set replaces what is remembered. The lock is held.
func (p *packedConfig) set(manifest, packed []byte) {
	h := fnv.New64a()
	h.Write(packed)
	p.manifest, p.packed, p.sum = manifest, packed, h.Sum64()
}

// configTransfer is the fetch of a long configuration from peers. A part that was fetched stays if the
// fetch goes on later, perhaps from another peer.
//
// Lock order: mu, then the locks of packedConfig and decodeMu.
type configTransfer struct {
	mu     sync.Mutex
	sum    uint64
	total  int
	packed []byte
}

// add adds a part, and starts again if it is of another configuration.
func (t *configTransfer) add(part peer.ConfigPart) {
	if part.Sum != t.sum || part.Total != t.total {
		t.sum, t.total, t.packed = part.Sum, part.Total, nil
	}
	t.packed = append(t.packed, part.Data...)
}

func (t *configTransfer) isWhole() bool { return t.total > 0 && len(t.packed) >= t.total }

// fetchConfig fetches the configuration of a peer in parts and puts it in force. It does nothing while
// another fetch is under way, and reports whether it got one.
func (n *Node) fetchConfig(ctx context.Context, address string) bool {
	t := &n.configTransfer
	if !t.mu.TryLock() {
		return false
	}
	defer t.mu.Unlock()
	for !t.isWhole() {
		part, err := n.fetchConfigPart(ctx, address, peer.ConfigPartRequest{Offset: len(t.packed), Sum: t.sum})
		if err != nil || len(part.Data) == 0 {
			slog.Debug("config.not_fetched", "peer", address, "bytes", len(t.packed), "of", t.total, "error", err)
			return false
		}
		t.add(part)
	}
	packed := t.packed
	t.sum, t.total, t.packed = 0, 0, nil
	manifest, err := n.packed.unpack(packed)
	if err != nil {
		slog.Error("config.unreadable", "source", address, "error", err)
		return false
	}
	n.applyManifest(manifest, address)
	return true
}

func (n *Node) fetchConfigPart(ctx context.Context, address string, r peer.ConfigPartRequest) (peer.ConfigPart, error) {
	call, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return n.peers.ConfigPart(call, address, r)
}

// OnConfigPart implements peer.RoutesHandler.
func (n *Node) OnConfigPart(r peer.ConfigPartRequest) peer.ConfigPart {
	n.configMu.Lock()
	manifest := n.manifest
	n.configMu.Unlock()
	if len(manifest) == 0 {
		return peer.ConfigPart{}
	}
	packed, sum := n.packed.of(manifest)
	from := 0
	if r.Sum == sum {
		from = min(max(r.Offset, 0), len(packed))
	}
	return peer.ConfigPart{Sum: sum, Total: len(packed), Data: packed[from:min(from+configPartBytes, len(packed))]}
}

// unpackUpdate puts the packed configuration of an update in the place of the encoded one.
func (n *Node) unpackUpdate(update *peer.StoreUpdate) {
	if len(update.Packed) == 0 {
		return
	}
	manifest, err := n.packed.unpack(update.Packed)
	if err != nil {
		slog.Error("config.unreadable", "source", update.From, "error", err)
		return
	}
	update.Manifest, update.OperatorWhole = manifest, update.PackedWhole
}

// fitManifest replaces a configuration that is too long to be sent to that many daemons by its packed
// form, or leaves it out if that is too long as well. The daemons then fetch it.
func (n *Node) fitManifest(update *peer.StoreUpdate, daemons int) {
	limit := n.maxSentManifest(daemons)
	if len(update.Manifest) <= limit {
		return
	}
	packed, _ := n.packed.of(update.Manifest)
	if len(packed) > 0 && len(packed) <= limit {
		update.Packed, update.PackedWhole = packed, update.OperatorWhole
	}
	update.Manifest, update.OperatorWhole = nil, false
}
