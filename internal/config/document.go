// Package config holds the co-operative's configuration: the base document
// shared by all sites, the overlay of each site, their checks, and the
// generations in which changes come into force.
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

// Limits bound an organisation over all daemons of a site. Zero is no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// InFlight bounds requests that are admitted and not finished.
	InFlight int `json:"in_flight,omitempty"`
	// TokensInFlight bounds the tokens those requests may generate.
	TokensInFlight int `json:"tokens_in_flight,omitempty"`
}

// Model is a model and its versions.
type Model struct {
	Versions map[string]Version `json:"versions"`
}

// VersionState is where a version stands in its life.
type VersionState string

// States of versions, in the order of their lives. A rolling-out version
// takes a share of new sessions, a draining one only its own sessions, and a
// withdrawn one no work at all.
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
	// Prior is what is believed of the quality before any rating, by kind;
	// "default" serves the kinds not named.
	Prior map[string]Prior `json:"prior,omitempty"`
}

// Prior is a belief about the chance that an answer is good.
type Prior struct {
	// Mean is the expected chance, between 0 and 1.
	Mean float64 `json:"mean"`
	// Weight is the number of ratings the belief is worth.
	Weight float64 `json:"weight"`
}

// Priority orders kinds of work.
type Priority string

// Priorities, most urgent first.
const (
	PriorityInteractive Priority = "interactive"
	PriorityNormal      Priority = "normal"
	PriorityBatch       Priority = "batch"
)

// Level returns the number that engines and queues sort by; larger is more
// urgent.
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
	// QualityTarget is the share of answers that must be good.
	QualityTarget float64 `json:"quality_target"`
	// Idempotent work may be run again after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// KeyRequired refuses requests without an Idempotency-Key.
	KeyRequired bool     `json:"key_required,omitempty"`
	Priority    Priority `json:"priority,omitempty"`
	// DeadlineMS is used when the caller names no deadline, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// FirstTokenMS is the wanted time to the first token, in milliseconds; 0
	// is none. Slower candidates are left out while a faster one qualifies.
	FirstTokenMS int64 `json:"first_token_ms,omitempty"`
	// Cascade allows trying a cheap model first and having its answer judged.
	Cascade bool `json:"cascade,omitempty"`
	// ExpectedTokens is the usual length of an answer, for cost estimates.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
	// Models restricts the kind to these models; empty is no restriction.
	Models []string `json:"models,omitempty"`
}

// Deadline returns the default deadline.
func (k Kind) Deadline() time.Duration { return time.Duration(k.DeadlineMS) * time.Millisecond }

// Service is a plain service beside the model engines.
type Service struct {
	// RepeatableMethods may be sent again after an unknown outcome.
	RepeatableMethods []string `json:"repeatable_methods,omitempty"`
	// DeadlineMS bounds a call, in milliseconds.
	DeadlineMS int64    `json:"deadline_ms"`
	Priority   Priority `json:"priority,omitempty"`
	// Price is charged per call, in millionths of the currency unit.
	Price int64 `json:"price,omitempty"`
}

// UpstreamPolicy bounds how upstreams are chosen, ejected and retried.
type UpstreamPolicy struct {
	// EjectAfter is the number of failures in a row that ejects an upstream.
	// Default 3.
	EjectAfter int `json:"eject_after,omitempty"`
	// EjectMS is the first time out, in milliseconds; it doubles. Default 2000.
	EjectMS int64 `json:"eject_ms,omitempty"`
	// MaxEjectedShare caps the share of upstreams that are out. Default 0.5.
	MaxEjectedShare float64 `json:"max_ejected_share,omitempty"`
	// RetryRatio is the number of retries earned by a success. Default 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	// AffinityBound is how far over the mean load an upstream with a cached
	// prefix may be. Default 1.25.
	AffinityBound float64 `json:"affinity_bound,omitempty"`
	// Evacuated are the failure domains whose upstreams get nothing new, each with the
	// time since when.
	Evacuated map[string]time.Time `json:"evacuated,omitempty"`
}

// Judge describes the service that judges answers inside a cascade.
type Judge struct {
	// TrueAccept is the chance that a good answer is accepted.
	TrueAccept float64 `json:"true_accept,omitempty"`
	// FalseAccept is the chance that a poor answer is accepted.
	FalseAccept float64 `json:"false_accept,omitempty"`
	// Price is charged per judgement, in millionths of the currency unit.
	Price int64 `json:"price,omitempty"`
	// LatencyMS is the usual time of a judgement, in milliseconds.
	LatencyMS int64 `json:"latency_ms,omitempty"`
}

// RolloutPolicy bounds roll-outs.
type RolloutPolicy struct {
	// Stages are the shares of new sessions a new version takes, rising to 1.
	Stages []float64 `json:"stages,omitempty"`
	// ExposureBudget is the number of unrated answers allowed before there is
	// evidence. Default 20.
	ExposureBudget int `json:"exposure_budget,omitempty"`
	// BudgetPerGood is the growth of the budget per good rating. Default 2.
	BudgetPerGood float64 `json:"budget_per_good,omitempty"`
	// FalseWithdrawal is the accepted chance of withdrawing a good version.
	// Default 0.01.
	FalseWithdrawal float64 `json:"false_withdrawal,omitempty"`
	// FalseAcceptance is the accepted chance of keeping a bad one. Default 0.01.
	FalseAcceptance float64 `json:"false_acceptance,omitempty"`
	// Tolerance is how far below the target a version counts as bad. Default 0.1.
	Tolerance float64 `json:"tolerance,omitempty"`
	// RatingHorizonMS is how long after an answer a rating is still expected,
	// in milliseconds. Later the answer no longer counts as not rated yet.
	// Default 300000.
	RatingHorizonMS int64 `json:"rating_horizon_ms,omitempty"`
}

// RatingHorizon returns RatingHorizonMS as a duration.
func (p RolloutPolicy) RatingHorizon() time.Duration {
	return time.Duration(p.RatingHorizonMS) * time.Millisecond
}

// WithDefaults fills in defaults.
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

// WithDefaults fills in defaults.
func (p UpstreamPolicy) WithDefaults() UpstreamPolicy {
	setDefault(&p.EjectAfter, 3)
	setDefault(&p.EjectMS, 2000)
	setDefault(&p.MaxEjectedShare, 0.5)
	setDefault(&p.RetryRatio, 0.1)
	setDefault(&p.AffinityBound, 1.25)
	return p
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
