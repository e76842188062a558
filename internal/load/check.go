package load

import (
	"cmp"
	"math"
	"net/http"
	"slices"
)

// shareTolerance allows for shares such as three times 0.333.
const shareTolerance = 0.002

// checkTogether reports values that contradict each other or are missing.
func (p *parser) checkTogether() {
	e := p.e
	experiment := place{"experiment", ""}
	if e.Duration == 0 {
		p.add(experiment, "[experiment] lacks duration")
	}
	if len(e.Traffic) == 0 {
		p.add(experiment, "there is no [traffic NAME] section")
	}
	shares := 0.0
	for _, t := range e.Traffic {
		p.checkTraffic(t)
		shares += t.Share
		if t.Share > 0 {
			t.Rate = t.Share * e.Rate
		}
	}
	switch {
	case shares > 0 && e.Rate == 0:
		p.add(experiment, "[experiment] lacks the rate that the sections with a share divide")
	case shares > 0 && math.Abs(shares-1) > shareTolerance:
		p.add(place{"experiment", "rate"}, "the shares of the traffic sections add up to %.4g in place of 1", shares)
	case shares == 0 && e.Rate > 0:
		p.add(place{"experiment", "rate"}, "no traffic section has a share of the rate")
	}
	p.checkEntry()
	for _, f := range e.Faults {
		if f.At > e.total() {
			p.add(place{"faults", ""}, "[faults] has a line at %v, after the end at %v", f.At, e.total())
		}
	}
	slices.SortStableFunc(e.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

func (p *parser) checkEntry() {
	needed := slices.ContainsFunc(p.e.Traffic, func(t *Traffic) bool { return !t.Direct })
	given := len(p.e.Addresses) > 0
	switch {
	case given && p.e.Ask != "":
		p.add(place{"entry", "ask"}, "[entry] has both addresses and ask")
	case needed && !given && p.e.Ask == "":
		p.add(place{"entry", ""}, "[entry] lacks addresses or ask")
	}
}

func (p *parser) checkTraffic(t *Traffic) {
	section := trafficPrefix + t.Name
	header := place{section, ""}
	if (t.Rate > 0) == (t.Share > 0) {
		p.add(header, "[%s] must have either rate or share", section)
	}
	for _, rule := range []struct {
		broken bool
		reason string
	}{
		{t.Kind == "", "lacks kind"},
		{t.Kind == Generate && !t.Direct && t.Pool == "", "lacks pool"},
		{t.Kind == Service && t.Service == "", "lacks service"},
		{t.Kind == Service && t.Direct, "has mode=direct, which only kind=generate may have"},
		{t.Direct && t.Engine == "", "lacks engine, which mode=direct needs"},
		{!t.Direct && t.Token == "", "lacks token"},
		{(t.Group == "") != (t.Number == 0), "must have both group and number or neither"},
		{t.ResendShare > 0 && !t.RepeatNever, "has resend_share without repeat=never"},
		{t.PrefixWords >= t.PromptWords.Low && t.Prefixes > 0, "has prefix_words that leave no word of the prompt"},
		{t.Prefixes > 0 && t.PrefixWords == 0, "has prefixes without prefix_words"},
	} {
		if rule.broken {
			p.add(header, "[%s] %s", section, rule.reason)
		}
	}
	if _, err := http.NewRequest(t.Method, "http://localhost/", nil); err != nil {
		p.add(place{section, "method"}, "method: %v", err)
	}
	p.checkKeys(section, t.Kind)
}

// checkKeys refuses keys that the kind ignores.
func (p *parser) checkKeys(section string, kind Kind) {
	other := map[Kind][]string{
		Service: {
			"pool", "prompt_words", "prefixes", "prefix_words", "max_tokens", "stream", "model", "engine", "group", "number",
		},
		Generate: {"service", "method", "path", "body", "repeat", "resend_share", "check_echo"},
	}
	for _, key := range other[kind] {
		if at := (place{section, key}); len(p.lines[at]) > 0 {
			p.add(at, "key %q has no meaning for kind=%s", key, kind)
		}
	}
}
