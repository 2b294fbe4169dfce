// Package config stores, checks and distributes the configuration. It consists of
// a base document for all sites, one overlay document per site, and the states of
// roll-outs. Each accepted change creates a new generation of the whole
// configuration.
package config

import (
	"time"
)

// Document is a base document, an overlay, or the two merged. An overlay is a
// JSON merge patch (RFC 7396) on the base.
type Document struct {
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Models        map[string]Model        `json:"models,omitempty"`
	Kinds         map[string]Kind         `json:"kinds,omitempty"`
	Services      map[string]Service      `json:"services,omitempty"`
	Upstreams     UpstreamPolicy          `json:"upstreams,omitzero"`
	Judge         Judge                   `json:"judge,omitzero"`
	Rollouts      RolloutPolicy           `json:"rollouts,omitzero"`
}

// Organisation is a member or customer that calls the API.
type Organisation struct {
	// KeyDigests are "sha256:" and the hex digest of each API key.
	KeyDigests []string `json:"key_digests,omitempty"`
	// Models lists "model" (every version) or "model@version".
	Models []string `json:"models,omitempty"`
	// Services lists the plain services the organisation may call.
	Services []string `json:"services,omitempty"`
	Limits   Limits   `json:"limits,omitzero"`
}

// Limits bound the requests of an organisation at all daemons of a site
// together. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// InFlight bounds the number of admitted requests that have not ended.
	InFlight int `json:"in_flight,omitempty"`
	// TokensInFlight bounds the tokens that those requests together may generate.
	TokensInFlight int `json:"tokens_in_flight,omitempty"`
}

// Model is a model and its versions.
type Model struct {
	Versions map[string]Version `json:"versions"`
}

// VersionState is the life cycle state of a version.
type VersionState string

// States of versions, in the order of the life cycle. A rolling-out version
// gets a share of the new sessions, a serving version all of them, a draining
// version only requests of its existing sessions, and a withdrawn version none.
const (
	RollingOut VersionState = "rolling-out"
	Serving    VersionState = "serving"
	Draining   VersionState = "draining"
	Withdrawn  VersionState = "withdrawn"
)

// Version is one version of a model.
type Version struct {
	State VersionState `json:"state"`
	// InputPrice and OutputPrice are in millionths of the currency unit per
	// token.
	InputPrice  int64 `json:"input_price"`
	OutputPrice int64 `json:"output_price"`
	// Prior has the prior distribution of the quality by kind. The key "default"
	// is for kinds that have no entry.
	Prior map[string]Prior `json:"prior,omitempty"`
}

// Prior is the prior distribution of the probability that an answer is good.
type Prior struct {
	// Mean is the expected probability, between 0 and 1.
	Mean float64 `json:"mean"`
	// Weight is the number of ratings that have the same weight as the prior.
	Weight float64 `json:"weight"`
}

// Priority is the scheduling priority of a kind of request or of a service.
type Priority string

// Priorities, from the highest to the lowest.
const (
	PriorityInteractive Priority = "interactive"
	PriorityNormal      Priority = "normal"
	PriorityBatch       Priority = "batch"
)

// Level returns the priority as a number for engines and queues. Larger numbers
// are served first.
func (p Priority) Level() int {
	switch p {
	case PriorityInteractive:
		return 2
	case PriorityBatch:
		return 0
	default:
		return 1
	}
}

// Kind is a kind of request.
type Kind struct {
	// QualityTarget is the required fraction of good answers, between 0 and 1.
	QualityTarget float64 `json:"quality_target"`
	// Idempotent allows a request to be run again after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// KeyRequired rejects requests without an Idempotency-Key header.
	KeyRequired bool     `json:"key_required,omitempty"`
	Priority    Priority `json:"priority,omitempty"`
	// DeadlineMS is the deadline in milliseconds of requests that set none.
	DeadlineMS int64 `json:"deadline_ms"`
	// FirstTokenMS is the target for the time to the first token, in
	// milliseconds; 0 means no target. Candidates that miss it are excluded
	// as long as another qualified candidate meets it.
	FirstTokenMS int64 `json:"first_token_ms,omitempty"`
	// Cascade allows a cheap model to be tried first. A judge service then decides
	// whether its answer is accepted.
	Cascade bool `json:"cascade,omitempty"`
	// ExpectedTokens is the typical number of tokens of an answer, for cost
	// estimates.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
	// Models lists the models that may serve the kind; empty means all.
	Models []string `json:"models,omitempty"`
}

// Deadline returns the default deadline.
func (k Kind) Deadline() time.Duration { return time.Duration(k.DeadlineMS) * time.Millisecond }

// Service is a plain HTTP service, as opposed to a model engine.
type Service struct {
	// RepeatableMethods lists the HTTP methods whose requests may be sent again
	// after an unknown outcome.
	RepeatableMethods []string `json:"repeatable_methods,omitempty"`
	// DeadlineMS bounds the duration of a call, in milliseconds.
	DeadlineMS int64    `json:"deadline_ms"`
	Priority   Priority `json:"priority,omitempty"`
	// Price is charged per call, in millionths of the currency unit.
	Price int64 `json:"price,omitempty"`
}

// UpstreamPolicy configures the choice, ejection and retries of upstreams.
type UpstreamPolicy struct {
	// EjectAfter is the number of consecutive failures after which an upstream is
	// ejected. Default 3.
	EjectAfter int `json:"eject_after,omitempty"`
	// EjectMS is the duration of the first ejection, in milliseconds. Each further
	// ejection without a success in between lasts twice as long as the one before,
	// up to a fixed limit. Default 2000.
	EjectMS int64 `json:"eject_ms,omitempty"`
	// MaxEjectedShare is the largest fraction of upstreams that may be ejected at
	// the same time. Default 0.5.
	MaxEjectedShare float64 `json:"max_ejected_share,omitempty"`
	// RetryRatio is the number of retries that each success adds to the retry
	// budget. Default 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	// AffinityBound is the largest load, as a multiple of the mean load, at which
	// an upstream is preferred for having a prefix cached. Default 1.25.
	AffinityBound float64 `json:"affinity_bound,omitempty"`
	// Evacuated maps the failure domains whose upstreams get no new work to the
	// start of their evacuation.
	Evacuated map[string]time.Time `json:"evacuated,omitempty"`
}

// Judge describes the service that judges answers inside a cascade.
type Judge struct {
	// TrueAccept is the probability that a good answer is accepted.
	TrueAccept float64 `json:"true_accept,omitempty"`
	// FalseAccept is the probability that a bad answer is accepted.
	FalseAccept float64 `json:"false_accept,omitempty"`
	// Price is charged per judgement, in millionths of the currency unit.
	Price int64 `json:"price,omitempty"`
	// LatencyMS is the typical duration of a judgement, in milliseconds.
	LatencyMS int64 `json:"latency_ms,omitempty"`
}

// RolloutPolicy configures the statistical test and the stages of roll-outs.
type RolloutPolicy struct {
	// Stages are the fractions of new sessions that a new version gets one after
	// the other. They increase, and the last is 1. Default 0.01, 0.05, 0.2, 0.5, 1.
	Stages []float64 `json:"stages,omitempty"`
	// ExposureBudget is the number of unrated answers that a new version may give
	// before it has good ratings. Default 20.
	ExposureBudget int `json:"exposure_budget,omitempty"`
	// BudgetPerGood is added to the budget for each good rating. Default 2.
	BudgetPerGood float64 `json:"budget_per_good,omitempty"`
	// FalseWithdrawal is the accepted probability of withdrawing a good version.
	// Default 0.01.
	FalseWithdrawal float64 `json:"false_withdrawal,omitempty"`
	// FalseAcceptance is the accepted probability of keeping a bad version.
	// Default 0.01.
	FalseAcceptance float64 `json:"false_acceptance,omitempty"`
	// Tolerance is the distance below the quality target at which a version counts
	// as bad. Default 0.1.
	Tolerance float64 `json:"tolerance,omitempty"`
	// RatingHorizonMS is the time after an answer in which its rating is expected,
	// in milliseconds. An older answer without a rating no longer counts as
	// unrated. Default 300000.
	RatingHorizonMS int64 `json:"rating_horizon_ms,omitempty"`
}

// RatingHorizon returns RatingHorizonMS as a duration.
func (p RolloutPolicy) RatingHorizon() time.Duration {
	return time.Duration(p.RatingHorizonMS) * time.Millisecond
}

// WithDefaults returns the policy with defaults in the fields that are zero.
func (p RolloutPolicy) WithDefaults() RolloutPolicy {
	if len(p.Stages) == 0 {
		p.Stages = []float64{0.01, 0.05, 0.2, 0.5, 1}
	}
	setDefault(&p.ExposureBudget, 20)
	setDefault(&p.BudgetPerGood, 2)
	setDefault(&p.FalseWithdrawal, 0.01)
	setDefault(&p.FalseAcceptance, 0.01)
	setDefault(&p.Tolerance, 0.1)
	setDefault(&p.RatingHorizonMS, 300_000)
	return p
}

// WithDefaults returns the policy with defaults in the fields that are zero.
func (p UpstreamPolicy) WithDefaults() UpstreamPolicy {
	setDefault(&p.EjectAfter, 3)
	setDefault(&p.EjectMS, 2000)
	setDefault(&p.MaxEjectedShare, 0.5)
	setDefault(&p.RetryRatio, 0.1)
	setDefault(&p.AffinityBound, 1.25)
	return p
}

// setDefault sets *v to def if it is zero.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
