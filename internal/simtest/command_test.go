package simtest

import (
	"strings"
	"testing"
)

// TestMalformedScripts: a malformed line ends its script with an error that names the line and
// the reason. If an unknown fault were accepted, it would have no effect and the script would
// pass without testing anything.
func TestMalformedScripts(t *testing.T) {
	for line, why := range map[string]string{
		"1s trouble late write on":          `not "late write" "on"`,
		"1s trouble severed n9 on":          `not "severed n9" "on"`,
		"1s trouble severed n1 maybe":       `not "severed n1" "maybe"`,
		"1s trouble":                        "trouble NAME",
		"1s vm 000001 deff":                 `does not "deff"`,
		"1s vm 000001 reboot for 3s":        "nothing ends",
		"1s calloff few":                    "calloff COUNT",
		"1s calloff 3 hang":                 "calloff COUNT",
		"1s calloff 3 hang long":            "invalid duration",
		"1s stream 4":                       "stream COUNT for TIME",
		"1s stream none for 3s":             "stream COUNT for TIME",
		"1s polls 4 for long":               "polls COUNT for TIME",
		"1s expect happened often it runs":  "happened LEAST WORDS",
		"1s expect happened 3":              "happened LEAST WORDS",
		"1s expect vain few":                "vain MOST",
		"1s trouble closed looks on":        `not "closed looks" "on"`,
		"1s lower":                          "no limits are announced",
		"1s team few many=3":                "a team has cpus",
		"1s user n0 sing wk-1":              `users do not "sing"`,
		"1s submit n0 wk-1 array hue=3":     `unknown key "hue"`,
		"1s expect large few":               "large LEAST",
		"1s sever n1 on":                    `unknown step "sever"`,
		"1s submit n0 wk-1 swarm tasks=1":   "no job in",
		"soon trouble late writes on":       "not a time and a step",
		"1s trouble late writes on for ten": "invalid duration",
	} {
		t.Run(line, func(t *testing.T) {
			out := play(t, "0s machines 1 a\n"+line, 1)
			if out.Err == nil || !strings.Contains(out.Err.Error(), "line 2") || !strings.Contains(out.Err.Error(), why) || out.Line != line {
				t.Errorf("%q: at %q: %v", line, out.Line, out.Err)
			}
		})
	}
}
