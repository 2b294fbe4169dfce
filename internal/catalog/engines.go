package catalog

import (
	"cmp"
	"slices"
)

// Engines returns the services whose instances are model engines, sorted by name.
func (c *Catalog) Engines() []*Service {
	var out []*Service
	for _, s := range c.services {
		if len(s.Models) > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
