package simtest

// controllerVerbs are the verbs that affect the processes of controllers.
func controllerVerbs() map[string]verbHandler {
	return map[string]verbHandler{
		// controllers COUNT: see controllerCount
		"controllers": func(*cluster, command) error { return nil },
		// kill NODE|all, start NODE|all
		"kill": func(c *cluster, f command) error {
			return c.eachNamed(f, func(name string) error { c.kill(name); return nil })
		},
		"start": func(c *cluster, f command) error { return c.eachNamed(f, c.start) },
		// freeze NODE|all on|off: the controller's process is paused
		"freeze": func(c *cluster, f command) error {
			return c.eachNamed(f, func(name string) error {
				c.world.SetFault("freeze "+name, f.isOn(2))
				return nil
			})
		},
		// older NODE|all on|off: the controller returns no response body to its peers, as
		// versions do that do not report whether they applied a message
		"older": func(c *cluster, f command) error { return c.setForEach(f, c.older) },
		// asserts NODE|all on|off: the controller's messages are those of version 6672a9c,
		// which reports the state service as reachable without having observed it
		"asserts": func(c *cluster, f command) error { return c.setForEach(f, c.asserting) },
	}
}

// setForEach sets whether the third word of a line is "on" in a map, for each controller that the
// line names.
func (c *cluster) setForEach(f command, isOn map[string]bool) error {
	return c.eachNamed(f, func(name string) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		isOn[name] = f.isOn(2)
		return nil
	})
}

// eachNamed calls do for the controller named by the first argument of a line, or for every
// controller if the argument is "all".
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
