package standin

import (
	"context"
	_ "embed"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/platform"
)

// DevConfig is the base document that --dev applies.
//
//go:embed dev.jsonc
var DevConfig string

// API keys of the two organisations in DevConfig.
const (
	DevKeyRights = "dev-key-rights"
	DevKeyMail   = "dev-key-mail"
)

// Dev holds the stand-ins of --dev, which run in this process: a platform, two engines and a
// plain service.
type Dev struct {
	Platform *Platform
	Engines  []*Engine
	Service  *Service
	// PlatformAddress is the host:port of the platform.
	PlatformAddress string
	servers         []*Server
}

// StartDev starts the stand-ins and applies DevConfig.
func StartDev() (*Dev, error) {
	d := &Dev{Platform: NewPlatform(backing.NewMemory(), PlatformOptions{})}
	address, err := d.serve(d.Platform)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d.PlatformAddress = address
	for _, options := range devEngines() {
		options.OnRating = d.Platform.Memory.AddRating
		engine := NewEngine(options)
		d.Engines = append(d.Engines, engine)
		if err := d.register(engine, backing.Instance{ID: options.Instance, Role: backing.RoleEngine, FailureDomain: "local"}); err != nil {
			return nil, err
		}
	}
	d.Service = NewService("folders")
	if err := d.register(d.Service, backing.Instance{ID: "folders-1", Role: backing.RoleService, Service: "folders", FailureDomain: "local"}); err != nil {
		return nil, err
	}
	store := config.NewStore(platform.Table{Store: platform.NewStore(address)}, time.Now)
	_, err = store.Apply(context.Background(), config.ApplyRequest{ChangeID: "dev", Text: DevConfig, Author: "dev"})
	return d, trace.Wrap(err)
}

func (d *Dev) serve(h handlerProvider) (string, error) {
	server, err := Serve("127.0.0.1:0", h.Handler())
	if err != nil {
		return "", err
	}
	d.servers = append(d.servers, server)
	return server.Address(), nil
}

// register serves an upstream and adds it to the platform's instance list.
func (d *Dev) register(h handlerProvider, i backing.Instance) error {
	address, err := d.serve(h)
	if err != nil {
		return trace.Wrap(err)
	}
	i.Address, i.State = address, backing.StateLive
	d.Platform.Memory.PutInstance(i)
	return nil
}

// Close stops the stand-ins.
func (d *Dev) Close() {
	for _, s := range d.servers {
		s.Close()
	}
	for _, e := range d.Engines {
		e.Close()
	}
}

func devEngines() []EngineOptions {
	ms := func(n float64) Duration { return Duration(n * float64(time.Millisecond)) }
	small := func(quality float64) VersionProfile {
		return VersionProfile{Quality: map[string]float64{"": quality}, TokenTime: ms(4), PrefillTime: ms(0.05), Tokens: 24}
	}
	large := func(quality float64) VersionProfile {
		return VersionProfile{Quality: map[string]float64{"": quality}, TokenTime: ms(10), PrefillTime: ms(0.2), Tokens: 24}
	}
	profiles := map[string]VersionProfile{
		"small@1": small(0.85), "small@2": small(0.9),
		"large@1": large(0.97), "large@2": large(0.6),
	}
	base := EngineOptions{
		Profiles: profiles, Slots: 8, QueueLimit: 32, BatchSlowdown: 0.05, LoadTime: ms(500),
		RatedShare: 0.5, RatingDelay: ms(500),
	}
	a, b := base, base
	a.Instance, a.Serving, a.Seed = "engine-small", []string{"small@1"}, 1
	b.Instance, b.Serving, b.Seed = "engine-large", []string{"large@1"}, 2
	return []EngineOptions{a, b}
}
