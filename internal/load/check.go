package load

import (
	"cmp"
	"math"
	"net/http"
	"slices"
)

// shareTolerance is how far the sum of the shares may be from 1, so that three shares of 0.333 are valid.
const shareTolerance = 0.002

// checkConsistency reports missing keys and values that contradict each other. It also sets the rate of sections with a
// share and sorts the faults by time.
func (p *parser) checkConsistency() {
	experiment := p.experiment
	experimentHeader := configLocation{"experiment", ""}
	if experiment.Duration == 0 {
		p.addProblem(experimentHeader, "[experiment] lacks duration")
	}
	if len(experiment.Traffic) == 0 {
		p.addProblem(experimentHeader, "there is no [traffic NAME] section")
	}
	shares := 0.0
	for _, t := range experiment.Traffic {
		p.checkTraffic(t)
		shares += t.Share
		if t.Share > 0 {
			t.Rate = t.Share * experiment.Rate
		}
	}
	switch {
	case shares > 0 && experiment.Rate == 0:
		p.addProblem(experimentHeader, "[experiment] lacks rate, which sections with a share need")
	case shares > 0 && math.Abs(shares-1) > shareTolerance:
		p.addProblem(configLocation{"experiment", "rate"}, "the shares of the traffic sections add up to %.4g instead of 1", shares)
	case shares == 0 && experiment.Rate > 0:
		p.addProblem(configLocation{"experiment", "rate"}, "no traffic section has a share of the rate")
	}
	p.checkEntry()
	for _, f := range experiment.Faults {
		if f.At > experiment.totalTime() {
			p.addProblem(configLocation{"faults", ""}, "[faults] has a request at %v, after the end of the run at %v", f.At, experiment.totalTime())
		}
	}
	slices.SortStableFunc(experiment.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

func (p *parser) checkEntry() {
	entryNeeded := slices.ContainsFunc(p.experiment.Traffic, func(t *Traffic) bool { return !t.Direct })
	addressesGiven := len(p.experiment.Addresses) > 0
	switch {
	case addressesGiven && p.experiment.DiscoveryAddress != "":
		p.addProblem(configLocation{"entry", "ask"}, "[entry] has both addresses and ask")
	case entryNeeded && !addressesGiven && p.experiment.DiscoveryAddress == "":
		p.addProblem(configLocation{"entry", ""}, "[entry] lacks addresses or ask")
	}
}

func (p *parser) checkTraffic(traffic *Traffic) {
	section := trafficPrefix + traffic.Name
	header := configLocation{section, ""}
	if (traffic.Rate > 0) == (traffic.Share > 0) {
		p.addProblem(header, "[%s] must have either rate or share", section)
	}
	for _, rule := range []struct {
		broken bool
		reason string
	}{
		{traffic.Kind == "", "lacks kind"},
		{traffic.Kind == Generate && !traffic.Direct && traffic.Pool == "", "lacks pool"},
		{traffic.Kind == Service && traffic.Service == "", "lacks service"},
		{traffic.Kind == Service && traffic.Direct, "has mode=direct, which only kind=generate may have"},
		{traffic.Direct && traffic.Engine == "", "lacks engine, which mode=direct needs"},
		{!traffic.Direct && traffic.Token == "", "lacks token"},
		{(traffic.Group == "") != (traffic.Number == 0), "must have both group and number or neither"},
		{traffic.ResendShare > 0 && !traffic.RepeatNever, "has resend_share without repeat=never"},
		{traffic.PrefixWords >= traffic.PromptWords.Low && traffic.Prefixes > 0, "has prefix_words that leave no other word in the prompt"},
		{traffic.Prefixes > 0 && traffic.PrefixWords == 0, "has prefixes without prefix_words"},
	} {
		if rule.broken {
			p.addProblem(header, "[%s] %s", section, rule.reason)
		}
	}
	if _, err := http.NewRequest(traffic.Method, "http://localhost/", nil); err != nil {
		p.addProblem(configLocation{section, "method"}, "method: %v", err)
	}
	p.checkKeys(section, traffic.Kind)
}

// checkKeys reports keys that have no effect for this kind of traffic.
func (p *parser) checkKeys(section string, kind Kind) {
	ignoredKeys := map[Kind][]string{
		Service: {
			"pool", "prompt_words", "prefixes", "prefix_words", "max_tokens", "stream", "model", "engine", "group", "number",
		},
		Generate: {"service", "method", "path", "body", "repeat", "resend_share", "check_echo"},
	}
	for _, key := range ignoredKeys[kind] {
		if location := (configLocation{section, key}); len(p.lines[location]) > 0 {
			p.addProblem(location, "key %q does not apply to kind=%s", key, kind)
		}
	}
}
