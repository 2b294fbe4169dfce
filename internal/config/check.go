package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// digestPrefix is the prefix of an API key digest. 64 hex digits follow it.
const digestPrefix = "sha256:"

// Check returns the problems of the merged document of a site. text is the
// changed document; line numbers refer to it.
func Check(doc Document, text []byte) []Problem {
	c := &checker{doc: doc, text: text}
	c.organisations()
	c.models()
	c.kinds()
	c.services()
	c.policies()
	return c.problems
}

// checker collects the problems of a document.
type checker struct {
	doc      Document
	text     []byte
	problems []Problem
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Path:    path,
		Line:    lineOfPath(c.text, path),
		Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.add(path, format, args...)
	}
}

func (c *checker) organisations() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.doc.Organisations)) {
		org := c.doc.Organisations[name]
		path := "/organisations/" + escapePointer(name)
		for i, digest := range org.KeyDigests {
			at := fmt.Sprintf("%s/key_digests/%d", path, i)
			hex := strings.TrimPrefix(digest, digestPrefix)
			c.require(hex != digest && len(hex) == 64 && strings.Trim(hex, "0123456789abcdef") == "",
				at, "want %q and 64 lower-case hex digits", digestPrefix)
			if other, taken := owner[digest]; taken {
				c.add(at, "the same key belongs to organisation %q", other)
			}
			owner[digest] = name
		}
		for i, ref := range org.Models {
			c.modelReference(fmt.Sprintf("%s/models/%d", path, i), ref)
		}
		for i, service := range org.Services {
			_, ok := c.doc.Services[service]
			c.require(ok, fmt.Sprintf("%s/services/%d", path, i), "unknown service %q", service)
		}
		c.require(org.Limits.RequestsPerSecond >= 0, path+"/limits/requests_per_second", "must not be negative")
		c.require(org.Limits.InFlight >= 0, path+"/limits/in_flight", "must not be negative")
		c.require(org.Limits.TokensInFlight >= 0, path+"/limits/tokens_in_flight", "must not be negative")
	}
}

func (c *checker) modelReference(path, ref string) {
	name, version, pinned := strings.Cut(ref, "@")
	model, ok := c.doc.Models[name]
	if !ok {
		c.add(path, "unknown model %q", name)
		return
	}
	if _, ok := model.Versions[version]; pinned && !ok {
		c.add(path, "model %q has no version %q", name, version)
	}
}

func (c *checker) models() {
	states := []VersionState{RollingOut, Serving, Draining, Withdrawn}
	for _, name := range slices.Sorted(maps.Keys(c.doc.Models)) {
		path := "/models/" + escapePointer(name)
		c.require(!strings.ContainsAny(name, "@/ "), path, "a model name has no '@', '/' or space")
		c.require(name != "auto", path, `"auto" is not a model name`)
		c.require(len(c.doc.Models[name].Versions) > 0, path+"/versions", "a model has at least one version")
		for _, id := range slices.Sorted(maps.Keys(c.doc.Models[name].Versions)) {
			v := c.doc.Models[name].Versions[id]
			at := path + "/versions/" + escapePointer(id)
			c.require(!strings.ContainsAny(id, "@/ "), at, "a version has no '@', '/' or space")
			c.require(slices.Contains(states, v.State), at+"/state", "unknown state %q, want one of %v", v.State, states)
			c.require(v.InputPrice >= 0, at+"/input_price", "must not be negative")
			c.require(v.OutputPrice >= 0, at+"/output_price", "must not be negative")
			c.priors(at, v)
		}
	}
}

func (c *checker) priors(path string, v Version) {
	for _, kind := range slices.Sorted(maps.Keys(v.Prior)) {
		at := path + "/prior/" + escapePointer(kind)
		_, known := c.doc.Kinds[kind]
		c.require(known || kind == "default", at, "unknown kind %q", kind)
		c.require(v.Prior[kind].Mean > 0 && v.Prior[kind].Mean < 1, at+"/mean", "must be between 0 and 1")
		c.require(v.Prior[kind].Weight > 0, at+"/weight", "must be positive")
	}
}

func (c *checker) kinds() {
	priorities := []Priority{"", PriorityInteractive, PriorityNormal, PriorityBatch}
	for _, name := range slices.Sorted(maps.Keys(c.doc.Kinds)) {
		k := c.doc.Kinds[name]
		path := "/kinds/" + escapePointer(name)
		c.require(k.QualityTarget > 0 && k.QualityTarget < 1, path+"/quality_target", "must be between 0 and 1")
		c.require(k.DeadlineMS > 0, path+"/deadline_ms", "must be positive")
		c.require(slices.Contains(priorities, k.Priority), path+"/priority", "unknown priority %q", k.Priority)
		c.require(!k.Cascade || k.Idempotent, path+"/cascade", "a cascade runs a request more than once, so the kind must be idempotent")
		c.require(k.ExpectedTokens >= 0, path+"/expected_tokens", "must not be negative")
		for i, model := range k.Models {
			_, ok := c.doc.Models[model]
			c.require(ok, fmt.Sprintf("%s/models/%d", path, i), "unknown model %q", model)
		}
	}
}

func (c *checker) services() {
	for _, name := range slices.Sorted(maps.Keys(c.doc.Services)) {
		path := "/services/" + escapePointer(name)
		c.require(c.doc.Services[name].DeadlineMS > 0, path+"/deadline_ms", "must be positive")
		c.require(c.doc.Services[name].Price >= 0, path+"/price", "must not be negative")
		for i, method := range c.doc.Services[name].RepeatableMethods {
			c.require(method == strings.ToUpper(method), fmt.Sprintf("%s/repeatable_methods/%d", path, i), "a method is in capitals")
		}
	}
}

func (c *checker) policies() {
	j := c.doc.Judge
	c.require(j.TrueAccept >= 0 && j.TrueAccept <= 1, "/judge/true_accept", "must be between 0 and 1")
	c.require(j.FalseAccept >= 0 && j.FalseAccept <= 1, "/judge/false_accept", "must be between 0 and 1")
	u := c.doc.Upstreams
	c.require(u.MaxEjectedShare >= 0 && u.MaxEjectedShare <= 1, "/upstreams/max_ejected_share", "must be between 0 and 1")
	c.require(u.RetryRatio >= 0 && u.RetryRatio <= 1, "/upstreams/retry_ratio", "must be between 0 and 1")
	r := c.doc.Rollouts
	previous := 0.0
	for i, share := range r.Stages {
		c.require(share > previous && share <= 1, fmt.Sprintf("/rollouts/stages/%d", i), "shares rise and are at most 1")
		previous = share
	}
	c.require(len(r.Stages) == 0 || previous == 1, "/rollouts/stages", "the last share is 1")
	c.require(r.RatingHorizonMS >= 0, "/rollouts/rating_horizon_ms", "must not be negative")
	c.require(r.FalseWithdrawal >= 0 && r.FalseWithdrawal < 0.5, "/rollouts/false_withdrawal", "must be below 0.5")
	c.require(r.FalseAcceptance >= 0 && r.FalseAcceptance < 0.5, "/rollouts/false_acceptance", "must be below 0.5")
}

// CheckOverlay returns the problems of an overlay with regard to its base. An
// overlay must not add versions, and may only make the state of a version more
// restrictive.
func CheckOverlay(base, merged Document, text []byte) []Problem {
	c := &checker{doc: merged, text: text}
	for _, name := range slices.Sorted(maps.Keys(merged.Models)) {
		for _, id := range slices.Sorted(maps.Keys(merged.Models[name].Versions)) {
			path := fmt.Sprintf("/models/%s/versions/%s", escapePointer(name), escapePointer(id))
			before, known := base.Models[name].Versions[id]
			if !known {
				c.add(path, "an overlay cannot add a version")
				continue
			}
			after := merged.Models[name].Versions[id].State
			c.require(restrictiveness(after) >= restrictiveness(before.State), path+"/state",
				"an overlay cannot make a %s version %s", before.State, after)
		}
	}
	return c.problems
}

// restrictiveness returns a number that is higher for states that allow less work.
func restrictiveness(s VersionState) int {
	switch s {
	case Serving:
		return 0
	case RollingOut:
		return 1
	case Draining:
		return 2
	default:
		return 3
	}
}

// escapePointer escapes name as a segment of a JSON pointer.
func escapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
