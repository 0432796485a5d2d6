package configuration

// names leads from names to places in a configuration that no longer changes.
type names struct {
	targets, workspaces map[string]int
	pools               map[string][]Target
}

// index makes lookups by name independent of the size.
func (c *Configuration) index() {
	n := &names{targets: map[string]int{}, workspaces: map[string]int{}, pools: map[string][]Target{}}
	for i, t := range c.Targets {
		n.targets[t.Name] = i
		n.pools[t.Pool] = append(n.pools[t.Pool], t)
	}
	for i, w := range c.Workspaces {
		n.workspaces[w.Name] = i
	}
	c.names = n
}

// Target returns the target of a name.
func (c *Configuration) Target(name string) (Target, bool) {
	if c.names != nil {
		i, ok := c.names.targets[name]
		if !ok {
			return Target{}, false
		}
		return c.Targets[i], true
	}
	for _, t := range c.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// Workspace returns the workspace of a name.
func (c *Configuration) Workspace(name string) (Workspace, bool) {
	if c.names != nil {
		i, ok := c.names.workspaces[name]
		if !ok {
			return Workspace{}, false
		}
		return c.Workspaces[i], true
	}
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Pool returns the targets of a pool in the configured order. The caller must not change them.
func (c *Configuration) Pool(name string) []Target {
	if c.names != nil {
		return c.names.pools[name]
	}
	var pool []Target
	for _, t := range c.Targets {
		if t.Pool == name {
			pool = append(pool, t)
		}
	}
	return pool
}
