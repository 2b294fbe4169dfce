package rollout

import (
	"context"

	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// Writer writes roll-out rows; *config.Store implements it.
type Writer interface {
	WriteRollouts(ctx context.Context, refs []config.VersionRef, checks []Check, edit func(map[config.VersionRef]config.Rollout) ([]config.Rollout, error)) (int64, error)
}

// Start begins the roll-out of a version. from is the version that serves now; it starts to
// drain when the new one reaches full share.
func Start(ctx context.Context, w Writer, snapshot *config.Snapshot, ref config.VersionRef, from string) (int64, error) {
	if err := checkStart(snapshot, ref, from); err != nil {
		return 0, err
	}
	policy := snapshot.Doc.Rollouts.WithDefaults()
	return w.WriteRollouts(ctx, []config.VersionRef{ref}, nil, func(now map[config.VersionRef]config.Rollout) ([]config.Rollout, error) {
		if r, found := now[ref]; found && r.State != config.Draining {
			return nil, startConflict(r)
		}
		return []config.Rollout{{
			VersionRef: ref,
			From:       from,
			State:      config.RollingOut,
			Share:      policy.Stages[0],
			Reason:     "started by an operator",
		}}, nil
	})
}

func startConflict(r config.Rollout) error {
	if r.State == config.Withdrawn {
		return fault.New(fault.ConfigConflict, "%s was withdrawn (%s); give the mended version a new name", r.VersionRef, r.Reason)
	}
	return fault.New(fault.ConfigConflict, "%s is %s already", r.VersionRef, r.State)
}

func checkStart(snapshot *config.Snapshot, ref config.VersionRef, from string) error {
	if snapshot == nil {
		return fault.New(fault.NotReady, "no configuration yet")
	}
	state, known := snapshot.State(ref)
	if !known {
		return fault.New(fault.UnknownModel, "model: %s is not in the configuration", ref)
	}
	if snapshot.Doc.Models[ref.Model].Versions[ref.Version].State == config.Withdrawn {
		return fault.New(fault.ConfigConflict, "%s is withdrawn in the documents", ref)
	}
	if state == config.Serving {
		return fault.New(fault.ConfigConflict, "%s serves already", ref)
	}
	if from == "" {
		return nil
	}
	if _, known := snapshot.State(config.VersionRef{Model: ref.Model, Version: from}); !known {
		return fault.New(fault.UnknownModel, "from: model %q has no version %q", ref.Model, from)
	}
	return nil
}

// Withdraw takes a version out of use at once: it gets no new requests, also in existing
// sessions.
func Withdraw(ctx context.Context, w Writer, snapshot *config.Snapshot, ref config.VersionRef, reason string) (int64, error) {
	if snapshot == nil {
		return 0, fault.New(fault.NotReady, "no configuration yet")
	}
	if _, known := snapshot.State(ref); !known {
		return 0, fault.New(fault.UnknownModel, "model: %s is not in the configuration", ref)
	}
	return w.WriteRollouts(ctx, []config.VersionRef{ref}, nil, func(now map[config.VersionRef]config.Rollout) ([]config.Rollout, error) {
		r := now[ref]
		if r.State == config.Withdrawn {
			return nil, nil
		}
		r.VersionRef = ref
		r.State = config.Withdrawn
		r.Share = 0
		r.Reason = reason
		return []config.Rollout{r}, nil
	})
}
