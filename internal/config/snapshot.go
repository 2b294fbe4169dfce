package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// VersionRef names a version of a model.
type VersionRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// String returns "model@version".
func (r VersionRef) String() string { return r.Model + "@" + r.Version }

// Rollout is the live state of a version that is or was rolled out, or was
// withdrawn by an operator. It overrides the state in the documents, except
// that a withdrawn version stays withdrawn.
type Rollout struct {
	VersionRef
	// From is the version whose sessions the new one takes over; it starts to
	// drain when the new one serves in full.
	From  string       `json:"from,omitempty"`
	State VersionState `json:"state"`
	Stage int          `json:"stage"`
	// Share of the model's new sessions.
	Share float64 `json:"share"`
	// Good and Bad count the ratings seen so far.
	Good int `json:"good"`
	Bad  int `json:"bad"`
	// Fence is the fencing number of the lease under which this was written;
	// 0 for an operator.
	Fence  int64  `json:"fence"`
	Reason string `json:"reason,omitempty"`
	// Upstreams lists the instances ordered to load the version.
	Upstreams []string  `json:"upstreams,omitempty"`
	Updated   time.Time `json:"updated"`
	// Generation is the one in which this row came into force.
	Generation int64 `json:"generation"`
}

// Snapshot is the configuration of one site in one generation. It is not
// changed after it is built.
type Snapshot struct {
	Generation int64
	Doc        Document
	Rollouts   map[VersionRef]Rollout

	organisationByDigest map[string]string
}

// NewSnapshot builds a snapshot.
func NewSnapshot(generation int64, doc Document, rollouts []Rollout) *Snapshot {
	s := &Snapshot{
		Generation:           generation,
		Doc:                  doc,
		Rollouts:             map[VersionRef]Rollout{},
		organisationByDigest: map[string]string{},
	}
	for _, r := range rollouts {
		s.Rollouts[r.VersionRef] = r
	}
	for name, org := range doc.Organisations {
		for _, digest := range org.KeyDigests {
			s.organisationByDigest[digest] = name
		}
	}
	return s
}

// KeyDigest returns the digest of an API key as it stands in documents.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// OrganisationOf returns the organisation that an API key belongs to.
func (s *Snapshot) OrganisationOf(key string) (string, bool) {
	name, ok := s.organisationByDigest[KeyDigest(key)]
	return name, ok
}

// State returns the state of a version in force.
func (s *Snapshot) State(ref VersionRef) (VersionState, bool) {
	v, ok := s.Doc.Models[ref.Model].Versions[ref.Version]
	if !ok {
		return "", false
	}
	r, live := s.Rollouts[ref]
	if !live || v.State == Withdrawn {
		return v.State, true
	}
	return r.State, true
}

// Share returns the share of its model's new sessions that a version takes.
func (s *Snapshot) Share(ref VersionRef) float64 {
	state, _ := s.State(ref)
	switch state {
	case Serving:
		return 1
	case RollingOut:
		return s.Rollouts[ref].Share
	default:
		return 0
	}
}

// Proven reports whether a version may serve when the configuration can no
// longer be confirmed.
func (s *Snapshot) Proven(ref VersionRef) bool {
	state, _ := s.State(ref)
	return state == Serving || state == Draining
}

// Allows reports whether an organisation may use a version.
func (s *Snapshot) Allows(organisation string, ref VersionRef) bool {
	allowed := s.Doc.Organisations[organisation].Models
	return slices.Contains(allowed, ref.Model) || slices.Contains(allowed, ref.String())
}

// AllowsService reports whether an organisation may call a plain service.
func (s *Snapshot) AllowsService(organisation, service string) bool {
	return slices.Contains(s.Doc.Organisations[organisation].Services, service)
}

// Cost returns what a version charges for tokens, in millionths of the
// currency unit.
func (s *Snapshot) Cost(ref VersionRef, inputTokens, outputTokens int) int64 {
	v := s.Doc.Models[ref.Model].Versions[ref.Version]
	return v.InputPrice*int64(inputTokens) + v.OutputPrice*int64(outputTokens)
}
