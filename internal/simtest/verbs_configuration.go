package simtest

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"madderslip/internal/emulator"
	"madderslip/internal/protocol"
)

// configurationVerbs are about what controllers are told when they start, and about the
// limits that the state service and the teams then have.
func configurationVerbs() map[string]verbHandler {
	return map[string]verbHandler{
		"team":     (*cluster).reconfigure,
		"allot":    (*cluster).reconfigure,
		"announce": (*cluster).reconfigure,
		// hold TEAM: from now on its limit is what controllers were told last
		"hold": func(c *cluster, f command) error {
			c.checkerMu.Lock()
			team := c.teams[f.arg(1)]
			c.checkerMu.Unlock()
			c.world.SetTeam(team)
			return nil
		},
		// lower: the state service's limits are those announced from now on
		"lower": func(c *cluster, _ command) error { return c.lowerStateLimits() },
	}
}

// reconfigure carries out "team", "allot" and "announce" for controllers that start from
// now on. Those at 0s were carried out before any started.
func (c *cluster) reconfigure(f command) error {
	if time.Since(c.began) > 0 {
		return c.configure(f)
	}
	return nil
}

// configure changes what controllers are told that start from now on; those that run keep
// theirs.
func (c *cluster) configure(f command) error {
	switch f[0] {
	case "announce":
		return c.announceStateLimits(f[1:])
	case "allot": // allot on|off: team limits are allotted to shards, or kept in one record
		c.mu.Lock()
		c.withoutAllotments = f[1] == "off"
		c.mu.Unlock()
		return nil
	}
	return c.configureTeam(f[1], f[2:])
}

// configureTeam carries out "team NAME cpus=.. most=.. cards=.. mostcards=..".
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
		// Until all controllers have been told the higher limit may be used.
		team.MaxCPUs, team.MaxGPUs = higherLimit(team.MaxCPUs, before.MaxCPUs), higherLimit(team.MaxGPUs, before.MaxGPUs)
	}
	c.world.SetTeam(team)
	return nil
}

// higherLimit returns the higher of two limits; 0 is none.
func higherLimit(a, b float64) float64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// announceStateLimits carries out "announce VALUE-BYTES CHANGES RATE": the state service's
// coming limits, for controllers that start from now on.
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

// lowerStateLimits has the state service lower its limits to those announced.
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
