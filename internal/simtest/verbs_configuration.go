package simtest

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
)

// configurationVerbs are the verbs that change the settings of controllers that start later,
// and the limits that the state service and the emulator's rules apply.
func configurationVerbs() map[string]verbHandler {
	return map[string]verbHandler{
		"team":     (*cluster).reconfigure,
		"allot":    (*cluster).reconfigure,
		"announce": (*cluster).reconfigure,
		// hold TEAM: from now on the emulator's rules apply the team's limit as it was last
		// configured, also if that is lower than an earlier limit
		"hold": func(c *cluster, f command) error {
			c.checkerMu.Lock()
			team := c.teams[f.arg(1)]
			c.checkerMu.Unlock()
			c.world.SetTeam(team)
			return nil
		},
		// lower: the state service applies the announced limits from now on
		"lower": func(c *cluster, _ command) error { return c.lowerStateLimits() },
	}
}

// reconfigure executes "team", "allot" and "announce" for controllers that start from now on.
// It skips lines at 0s: configureBeforeStart has executed them before any controller started.
func (c *cluster) reconfigure(f command) error {
	if time.Since(c.began) > 0 {
		return c.configure(f)
	}
	return nil
}

// configure changes the settings of controllers that start from now on. Running controllers
// keep their settings.
func (c *cluster) configure(f command) error {
	switch f[0] {
	case "announce":
		return c.announceStateLimits(f[1:])
	case "allot": // allot on|off: team limits are allotted to shards, or use is counted in one record a team
		c.mu.Lock()
		c.withoutAllotments = f[1] == "off"
		c.mu.Unlock()
		return nil
	}
	return c.configureTeam(f[1], f[2:])
}

// configureTeam executes "team NAME cpus=.. most=.. cards=.. mostcards=..": the guarantee and
// the limit of CPUs, and those of GPUs.
func (c *cluster) configureTeam(name string, words []string) error {
	team := protocol.Team{Name: name}
	for _, word := range words {
		key, text, _ := strings.Cut(word, "=")
		number, err := strconv.ParseFloat(text, 64)
		field := map[string]*float64{"cpus": &team.GuaranteedCPUs, "most": &team.MaxCPUs, "cards": &team.GuaranteedGPUs, "mostcards": &team.MaxGPUs}[key]
		if err != nil || field == nil {
			return scriptErrorf("a team has cpus, most, cards or mostcards, not %q", word)
		}
		*field = number
	}
	c.checkerMu.Lock()
	before := c.teams[team.Name]
	c.teams[team.Name] = team
	c.checkerMu.Unlock()
	if time.Since(c.began) > 0 {
		// Until all controllers have restarted with the new settings, the team may use up to
		// the higher limit. The script ends that with "hold".
		team.MaxCPUs, team.MaxGPUs = higherLimit(team.MaxCPUs, before.MaxCPUs), higherLimit(team.MaxGPUs, before.MaxGPUs)
	}
	c.world.SetTeam(team)
	return nil
}

// higherLimit returns the higher of two limits; 0 means unlimited.
func higherLimit(a, b float64) float64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// announceStateLimits executes "announce VALUE-BYTES CHANGES RATE": the settings of controllers
// that start from now on announce these future limits of the state service.
func (c *cluster) announceStateLimits(args []string) error {
	var announced protocol.StateLimits
	text := strings.Join(args, " ")
	if _, err := fmt.Sscan(text, &announced.MaxValueBytes, &announced.MaxTxnOps, &announced.WriteRate); err != nil || len(args) != 3 {
		return scriptErrorf("announce VALUE-BYTES CHANGES RATE, not %q", text)
	}
	c.mu.Lock()
	c.announced = announced
	c.mu.Unlock()
	return nil
}

// lowerStateLimits lowers the limits of the state service to the announced ones.
func (c *cluster) lowerStateLimits() error {
	c.mu.Lock()
	announced := c.announced
	c.mu.Unlock()
	if announced == (protocol.StateLimits{}) {
		return scriptErrorf("no limits are announced")
	}
	requestRate := settings(c.names, c.names[0]).StateLimits.RequestRate
	c.world.State.SetRateLimits(requestRate, announced.WriteRate)
	c.world.State.SetSizeLimits(emulator.SizeLimits{ValueBytes: announced.MaxValueBytes, Changes: announced.MaxTxnOps})
	c.world.Note("the state service lowers its limits")
	return nil
}
