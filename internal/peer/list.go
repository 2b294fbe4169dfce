package peer

import (
	"context"
	"time"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// ListPartRequest asks for one part of the list of upstream instances. A whole list is fetched
// in parts, so that neither its size nor the speed of a link is bounded by the timeout of a
// call.
type ListPartRequest struct {
	// Part is the number of the part, counted from 0, out of Parts.
	Part, Parts int
}

// ListPart is one part of the list of upstream instances.
type ListPart struct {
	// Total is the number of instances in all parts.
	Total int
	// Instances are the instances of the part at Revision, encoded by PackInstances.
	Instances PackedInstances
	Revision  int64
	// Missing has the rest of the grace period of instances that are missing from the store's
	// list, and Warming the remaining warm-up time of instances, both by ID.
	Missing, Warming map[string]time.Duration
}

// ListChangesRequest asks for the changes of the list of upstream instances after a revision.
type ListChangesRequest struct{ Since int64 }

// ListChanges are the changes of the list of upstream instances up to a revision.
type ListChanges struct {
	// Loaded is set if the sender has a list, and Known if it has all changes since the requested
	// revision.
	Loaded  bool
	Known   bool
	Changes []inventory.Change
	// Revision is the sender's revision of the list, which it knew to be the newest Age ago.
	Revision int64
	Age      time.Duration
	// Doubted is the rest of the sender's grace period; see StoreUpdate.Doubted.
	Doubted time.Duration
}

// PackedInstances are instances whose common properties are encoded once.
type PackedInstances struct {
	Kinds     []InstanceKind
	Instances []PackedInstance
}

// InstanceKind contains the properties that many instances have in common.
type InstanceKind struct {
	Service       string
	Version       string
	FailureDomain string
	Slots         int
}

// PackedInstance is an instance of a kind, the index of PackedInstances.Kinds.
type PackedInstance struct {
	ID      string
	Address string
	Born    int64
	Kind    int
	Leaving bool
}

// PackInstances returns the encoding of instances.
func PackInstances(all []inventory.Instance) PackedInstances {
	packed := PackedInstances{Instances: make([]PackedInstance, 0, len(all))}
	kinds := map[InstanceKind]int{}
	for _, i := range all {
		kind := InstanceKind{Service: i.Service, Version: i.Version, FailureDomain: i.FailureDomain, Slots: i.Slots}
		at, known := kinds[kind]
		if !known {
			at = len(packed.Kinds)
			kinds[kind] = at
			packed.Kinds = append(packed.Kinds, kind)
		}
		packed.Instances = append(packed.Instances, PackedInstance{ID: i.ID, Address: i.Address, Born: i.Born, Kind: at, Leaving: i.Leaving})
	}
	return packed
}

// Unpack decodes the output of PackInstances. It leaves out instances of an unknown kind.
func (p PackedInstances) Unpack() []inventory.Instance {
	out := make([]inventory.Instance, 0, len(p.Instances))
	for _, i := range p.Instances {
		if i.Kind < 0 || i.Kind >= len(p.Kinds) {
			continue
		}
		kind := p.Kinds[i.Kind]
		out = append(out, inventory.Instance{
			ID: i.ID, Born: i.Born, Service: kind.Service, Address: i.Address, FailureDomain: kind.FailureDomain,
			Version: kind.Version, Slots: kind.Slots, Leaving: i.Leaving,
		})
	}
	return out
}

// ListPart returns a part of the list of upstream instances.
func (s *routesService) ListPart(in ListPartRequest, out *ListPart) error {
	*out = s.handler.OnListPart(in)
	return nil
}

// ListChanges returns the latest changes of the list of upstream instances.
func (s *routesService) ListChanges(in ListChangesRequest, out *ListChanges) error {
	*out = s.handler.OnListChanges(in)
	return nil
}

// ListPart fetches a part of a peer's list of upstream instances.
func (c *Client) ListPart(ctx context.Context, address string, r ListPartRequest) (ListPart, error) {
	return callService[ListPart](ctx, c, address, routesName, "ListPart", r)
}

// ListChanges fetches the latest changes of a peer's list of upstream instances.
func (c *Client) ListChanges(ctx context.Context, address string, r ListChangesRequest) (ListChanges, error) {
	return callService[ListChanges](ctx, c, address, routesName, "ListChanges", r)
}
