package catalog

// ServiceNames returns the names of all services in no particular order.
func (c *Catalog) ServiceNames() []string {
	out := make([]string, 0, len(c.services))
	for name := range c.services {
		out = append(out, name)
	}
	return out
}

// OrganisationNames returns the names of all organisations in no particular order.
func (c *Catalog) OrganisationNames() []string {
	seen := map[string]bool{}
	var out []string
	for _, o := range c.byKey {
		if !seen[o.Name] {
			seen[o.Name] = true
			out = append(out, o.Name)
		}
	}
	return out
}
