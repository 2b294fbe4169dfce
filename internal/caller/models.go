package caller

import (
	"maps"
	"slices"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
)

// modelOwner is the value of owned_by in GET /v1/models.
const modelOwner = "hornbeamsill"

// allowedModels returns the selectors that an organisation may use: autoModel if there is
// any version, and the versions that are not withdrawn.
func allowedModels(snapshot *config.Snapshot, organisation string) []model {
	out := []model{}
	for _, name := range slices.Sorted(maps.Keys(snapshot.Doc.Models)) {
		for _, version := range slices.Sorted(maps.Keys(snapshot.Doc.Models[name].Versions)) {
			ref := config.VersionRef{Model: name, Version: version}
			state, _ := snapshot.State(ref)
			if state == config.Withdrawn || !snapshot.Allows(organisation, ref) {
				continue
			}
			out = append(out, model{ID: ref.String(), Object: "model", OwnedBy: modelOwner, State: state})
		}
	}
	if len(out) == 0 {
		return out
	}
	return slices.Insert(out, 0, model{ID: autoModel, Object: "model", OwnedBy: modelOwner, State: config.Serving})
}
