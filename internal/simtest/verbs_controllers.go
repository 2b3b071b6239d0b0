package simtest

// controllerVerbs are what happens to controllers as processes.
func controllerVerbs() map[string]verbHandler {
	return map[string]verbHandler{
		// controllers COUNT: see controllerCount
		"controllers": func(*cluster, command) error { return nil },
		// kill NODE|all, start NODE|all
		"kill": func(c *cluster, f command) error {
			return c.eachNamed(f, func(name string) error { c.kill(name); return nil })
		},
		"start": func(c *cluster, f command) error { return c.eachNamed(f, c.start) },
		// freeze NODE|all on|off: its process stands still
		"freeze": func(c *cluster, f command) error {
			return c.eachNamed(f, func(name string) error {
				c.world.SetFault("freeze "+name, f.isOn(2))
				return nil
			})
		},
		// older NODE|all on|off: it answers others as versions did that don't say what they took
		"older": func(c *cluster, f command) error {
			return c.eachNamed(f, func(name string) error {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.older[name] = f.isOn(2)
				return nil
			})
		},
	}
}

// eachNamed does something for the controller that a line's first argument names, or all.
func (c *cluster) eachNamed(f command, do func(name string) error) error {
	for _, name := range c.names {
		if f.arg(1) == name || f.arg(1) == "all" {
			if err := do(name); err != nil {
				return err
			}
		}
	}
	return nil
}
