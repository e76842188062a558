package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"time"
)

// entry is one key of the file and where its value goes.
type entry struct {
	at       place
	required bool
	set      func(text string) error
}

// Longest and shortest times that any setting accepts.
const (
	minTime = time.Millisecond
	maxTime = 30 * 24 * time.Hour
)

func (s *Settings) entries() []entry {
	t, l := &s.Timing, &s.Limits
	return []entry{
		{place{"node", "name"}, true, nameInto(&s.Node.Name)},
		{place{"node", "failure_domain"}, true, nameInto(&s.Node.FailureDomain)},
		{place{"listen", "caller"}, true, addressInto(&s.Listen.Caller, true)},
		{place{"listen", "peer"}, true, addressInto(&s.Listen.Peer, true)},
		{place{"listen", "operator"}, true, addressInto(&s.Listen.Operator, true)},
		{place{"advertise", "caller"}, false, addressInto(&s.Advertise.Caller, false)},
		{place{"advertise", "peer"}, false, addressInto(&s.Advertise.Peer, false)},
		{place{"advertise", "operator"}, false, addressInto(&s.Advertise.Operator, false)},
		{place{"platform", "url"}, true, urlInto(&s.Platform.URL)},
		{place{"platform", "timeout"}, false, timeInto(&s.Platform.Timeout)},
		{place{"timing", "heartbeat"}, false, timeInto(&t.Heartbeat)},
		{place{"timing", "renew"}, false, timeInto(&t.Renew)},
		{place{"timing", "term"}, false, timeInto(&t.Term)},
		{place{"timing", "margin"}, false, timeInto(&t.Margin)},
		{place{"timing", "probe"}, false, timeInto(&t.Probe)},
		{place{"timing", "freshness"}, false, timeInto(&t.Freshness)},
		{place{"timing", "max_outage"}, false, timeInto(&t.MaxOutage)},
		{place{"timing", "forget_after"}, false, timeInto(&t.ForgetAfter)},
		{place{"timing", "order_delivery"}, false, timeInto(&t.OrderDelivery)},
		{place{"timing", "address_keep"}, false, timeInto(&t.AddressKeep)},
		{place{"timing", "shutdown_limit"}, false, timeInto(&t.ShutdownLimit)},
		{place{"timing", "stream_idle"}, false, timeInto(&t.StreamIdle)},
		{place{"limits", "max_body_bytes"}, false, countInto(&l.MaxBodyBytes, 1<<10, 1<<30)},
		{place{"limits", "max_header_bytes"}, false, countInto(&l.MaxHeaderBytes, 1<<10, 1<<20)},
		{place{"limits", "max_answer_bytes"}, false, countInto(&l.MaxAnswerBytes, 1<<10, 1<<30)},
		{place{"limits", "max_in_flight"}, false, countInto(&l.MaxInFlight, 1, 1_000_000)},
		{place{"limits", "body_read_timeout"}, false, timeInto(&l.BodyReadTimeout)},
	}
}

// namePattern allows what the platform accepts as an object name.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func nameInto(to *string) func(string) error {
	return func(text string) error {
		if !namePattern.MatchString(text) {
			return fmt.Errorf("%q must have 1 to 63 of a-z, 0-9, '.', '_' and '-', and begin with a letter or digit", text)
		}
		*to = text
		return nil
	}
}

// addressInto accepts host:port. Port 0 lets the system choose and is only of use for binding.
func addressInto(to *string, bind bool) func(string) error {
	return func(text string) error {
		host, port, err := net.SplitHostPort(text)
		if err != nil {
			return fmt.Errorf("%q must be host:port", text)
		}
		number, err := strconv.ParseUint(port, 10, 16)
		if err != nil || (number == 0 && !bind) {
			return fmt.Errorf("port %q of %q must be a number from 1 to 65535", port, text)
		}
		if !bind && (host == "" || net.ParseIP(host).IsUnspecified()) {
			return fmt.Errorf("%q names no host that others can reach", text)
		}
		*to = text
		return nil
	}
}

func urlInto(to *string) func(string) error {
	return func(text string) error {
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("%q must be an http or https URL with a host", text)
		}
		*to = text
		return nil
	}
}

func timeInto(to *time.Duration) func(string) error {
	return func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < minTime || d > maxTime {
			return fmt.Errorf("%q must be a time from %v to %v, such as 250ms or 3s", text, minTime, maxTime)
		}
		*to = d
		return nil
	}
}

func countInto(to *int64, low, high int64) func(string) error {
	return func(text string) error {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < low || n > high {
			return fmt.Errorf("%q must be a whole number from %d to %d", text, low, high)
		}
		*to = n
		return nil
	}
}

// maxFreshness is the bound within which a leaving target or failure domain gets no more work.
const maxFreshness = 5 * time.Second

// checkTogether reports settings that contradict each other.
func (s *Settings) checkTogether(c *checker) {
	t := &s.Timing
	for _, rule := range []struct {
		broken bool
		key    string
		reason string
	}{
		{t.Term < 2*t.Renew, "term", fmt.Sprintf("term %v is below 2 x renew %v: one lost renewal would end the lease", t.Term, t.Renew)},
		{t.Term < 2*t.Heartbeat, "term", fmt.Sprintf("term %v is below 2 x heartbeat %v: one lost heartbeat would end contact", t.Term, t.Heartbeat)},
		{t.Margin >= t.Term, "margin", fmt.Sprintf("margin %v is not below term %v", t.Margin, t.Term)},
		{t.Freshness < 2*t.Probe, "freshness", fmt.Sprintf("freshness %v is below 2 x probe %v: one lost probe would stop dispatch", t.Freshness, t.Probe)},
		{t.Freshness > maxFreshness, "freshness", fmt.Sprintf("freshness %v is above %v, within which a leaving target gets no more work", t.Freshness, maxFreshness)},
		{t.ForgetAfter <= t.Term+t.Margin, "forget_after", fmt.Sprintf("forget_after %v is not above term + margin %v", t.ForgetAfter, t.Term+t.Margin)},
		{t.MaxOutage < t.Term, "max_outage", fmt.Sprintf("max_outage %v is below term %v", t.MaxOutage, t.Term)},
	} {
		if rule.broken {
			c.add(place{"timing", rule.key}, "%s", rule.reason)
		}
	}
	if s.Platform.Timeout >= t.Term {
		c.add(place{"platform", "timeout"}, "timeout %v is not below term %v: one slow call would end the lease", s.Platform.Timeout, t.Term)
	}
	s.checkAddresses(c)
}

func (s *Settings) checkAddresses(c *checker) {
	taken := map[string]string{}
	for _, a := range []struct{ key, bind, advertise string }{
		{"caller", s.Listen.Caller, s.Advertise.Caller}, {"peer", s.Listen.Peer, s.Advertise.Peer},
		{"operator", s.Listen.Operator, s.Advertise.Operator},
	} {
		host, port, _ := net.SplitHostPort(a.advertise)
		if host == "" || net.ParseIP(host).IsUnspecified() {
			c.add(place{"listen", a.key}, "[listen] %s=%s binds every address; set [advertise] %s to one that others can reach", a.key, a.bind, a.key)
		}
		if other, again := taken[a.bind]; again && port != "0" {
			c.add(place{"listen", a.key}, "[listen] %s and %s are both %s", other, a.key, a.bind)
		}
		taken[a.bind] = a.key
	}
}
