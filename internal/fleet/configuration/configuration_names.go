package configuration

// nameIndex maps names to positions in a configuration that no longer changes.
type nameIndex struct {
	targets, workspaces map[string]int
	pools               map[string][]Target
}

// index builds the index, so that lookups by name take constant time.
func (c *Configuration) index() {
	n := &nameIndex{targets: map[string]int{}, workspaces: map[string]int{}, pools: map[string][]Target{}}
	for i, t := range c.Targets {
		n.targets[t.Name] = i
		n.pools[t.Pool] = append(n.pools[t.Pool], t)
	}
	for i, w := range c.Workspaces {
		n.workspaces[w.Name] = i
	}
	c.names = n
}

// Target returns a target by name.
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

// Workspace returns a workspace by name.
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

// Pool returns the targets of a pool in the order of the configuration. The caller must not modify them.
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
