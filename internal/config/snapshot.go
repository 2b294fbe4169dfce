package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// VersionRef identifies a version of a model.
type VersionRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// String returns "model@version".
func (r VersionRef) String() string { return r.Model + "@" + r.Version }

// Rollout is the stored state of a version that is or was rolled out, or that an
// operator withdrew. It overrides the state in the documents, unless that state
// is Withdrawn.
type Rollout struct {
	VersionRef
	// From is the version that the new one replaces. It is set to Draining when
	// the new version is set to Serving.
	From  string       `json:"from,omitempty"`
	State VersionState `json:"state"`
	// Stage is the index of the current stage in RolloutPolicy.Stages.
	Stage int `json:"stage"`
	// Share is the fraction of the model's new sessions that the version gets.
	Share float64 `json:"share"`
	// Good and Bad are the numbers of ratings counted so far.
	Good int `json:"good"`
	Bad  int `json:"bad"`
	// Fence is the fencing token of the lease under which this row was written; 0
	// if an operator wrote it.
	Fence  int64  `json:"fence"`
	Reason string `json:"reason,omitempty"`
	// Upstreams lists the instances that were ordered to load the version.
	Upstreams []string  `json:"upstreams,omitempty"`
	Updated   time.Time `json:"updated"`
	// Generation is the configuration generation that this row belongs to.
	Generation int64 `json:"generation"`
}

// Snapshot is the merged configuration of one site in one generation. It is
// immutable.
type Snapshot struct {
	Generation int64
	Doc        Document
	Rollouts   map[VersionRef]Rollout

	organisationByDigest map[string]string
}

// NewSnapshot returns a snapshot of a merged document and the states of roll-outs.
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

// KeyDigest returns the digest of an API key in the form that documents use.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// OrganisationOf returns the organisation that an API key belongs to, and false if
// there is none.
func (s *Snapshot) OrganisationOf(key string) (string, bool) {
	name, ok := s.organisationByDigest[KeyDigest(key)]
	return name, ok
}

// State returns the state of a version, and false if the version is unknown. The
// state of a roll-out overrides that of the document, unless the document has
// Withdrawn.
func (s *Snapshot) State(ref VersionRef) (VersionState, bool) {
	v, ok := s.Doc.Models[ref.Model].Versions[ref.Version]
	if !ok {
		return "", false
	}
	r, found := s.Rollouts[ref]
	if !found || v.State == Withdrawn {
		return v.State, true
	}
	return r.State, true
}

// NewSessionShare returns the fraction of its model's new sessions for which a
// version may be chosen.
func (s *Snapshot) NewSessionShare(ref VersionRef) float64 {
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

// Proven reports whether a version has passed its roll-out and is not withdrawn.
// Only proven versions may serve while the configuration cannot be confirmed as
// the newest.
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

// Cost returns the price of tokens at a version, in millionths of the currency
// unit.
func (s *Snapshot) Cost(ref VersionRef, inputTokens, outputTokens int) int64 {
	v := s.Doc.Models[ref.Model].Versions[ref.Version]
	return v.InputPrice*int64(inputTokens) + v.OutputPrice*int64(outputTokens)
}
