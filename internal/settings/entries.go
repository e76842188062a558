package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"time"
)

// entry describes one key of the settings file.
type entry struct {
	id       settingID
	required bool
	set      func(text string) error // Parses the value and stores it in Settings.
}

// Shortest and longest durations that any setting accepts.
const (
	minDuration = time.Millisecond
	maxDuration = 30 * 24 * time.Hour
)

func (s *Settings) entries() []entry {
	timing, limits := &s.Timing, &s.Limits
	return []entry{
		{settingID{"node", "name"}, true, nameSetter(&s.Node.Name)},
		{settingID{"node", "failure_domain"}, true, nameSetter(&s.Node.FailureDomain)},
		{settingID{"listen", "caller"}, true, addressSetter(&s.Listen.Caller, true)},
		{settingID{"listen", "peer"}, true, addressSetter(&s.Listen.Peer, true)},
		{settingID{"listen", "operator"}, true, addressSetter(&s.Listen.Operator, true)},
		{settingID{"advertise", "caller"}, false, addressSetter(&s.Advertise.Caller, false)},
		{settingID{"advertise", "peer"}, false, addressSetter(&s.Advertise.Peer, false)},
		{settingID{"advertise", "operator"}, false, addressSetter(&s.Advertise.Operator, false)},
		{settingID{"platform", "url"}, true, urlSetter(&s.Platform.URL)},
		{settingID{"platform", "timeout"}, false, durationSetter(&s.Platform.Timeout)},
		{settingID{"timing", "heartbeat"}, false, durationSetter(&timing.Heartbeat)},
		{settingID{"timing", "renew"}, false, durationSetter(&timing.Renew)},
		{settingID{"timing", "term"}, false, durationSetter(&timing.Term)},
		{settingID{"timing", "margin"}, false, durationSetter(&timing.Margin)},
		{settingID{"timing", "probe"}, false, durationSetter(&timing.Probe)},
		{settingID{"timing", "freshness"}, false, durationSetter(&timing.Freshness)},
		{settingID{"timing", "max_outage"}, false, durationSetter(&timing.MaxOutage)},
		{settingID{"timing", "forget_after"}, false, durationSetter(&timing.ForgetAfter)},
		{settingID{"timing", "order_delivery"}, false, durationSetter(&timing.OrderDelivery)},
		{settingID{"timing", "address_keep"}, false, durationSetter(&timing.AddressKeep)},
		{settingID{"timing", "shutdown_limit"}, false, durationSetter(&timing.ShutdownLimit)},
		{settingID{"timing", "stream_idle"}, false, durationSetter(&timing.StreamIdle)},
		{settingID{"limits", "max_body_bytes"}, false, int64Setter(&limits.MaxBodyBytes, 1<<10, 1<<30)},
		{settingID{"limits", "max_header_bytes"}, false, int64Setter(&limits.MaxHeaderBytes, 1<<10, 1<<20)},
		{settingID{"limits", "max_answer_bytes"}, false, int64Setter(&limits.MaxAnswerBytes, 1<<10, 1<<30)},
		{settingID{"limits", "max_in_flight"}, false, int64Setter(&limits.MaxInFlight, 1, 1_000_000)},
		{settingID{"limits", "memory_mb"}, false, int64Setter(&limits.MemoryMB, 0, 1<<24)},
		{settingID{"limits", "max_fds"}, false, int64Setter(&limits.MaxFDs, 0, 1<<24)},
		{settingID{"limits", "body_read_timeout"}, false, durationSetter(&limits.BodyReadTimeout)},
	}
}

// namePattern matches the names that the platform accepts for objects.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// nameSetter returns a set function for a node or failure domain name.
func nameSetter(field *string) func(string) error {
	return func(text string) error {
		if !namePattern.MatchString(text) {
			return fmt.Errorf("%q must have 1 to 63 of a-z, 0-9, '.', '_' and '-', and begin with a letter or digit", text)
		}
		*field = text
		return nil
	}
}

// addressSetter returns a set function for host:port. Port 0, which lets the system choose a port, and wildcard hosts are
// accepted only for binding.
func addressSetter(field *string, forBinding bool) func(string) error {
	return func(text string) error {
		host, port, err := net.SplitHostPort(text)
		if err != nil {
			return fmt.Errorf("%q must be host:port", text)
		}
		number, err := strconv.ParseUint(port, 10, 16)
		if err != nil || (number == 0 && !forBinding) {
			return fmt.Errorf("port %q of %q must be a number from 1 to 65535", port, text)
		}
		if !forBinding && (host == "" || net.ParseIP(host).IsUnspecified()) {
			return fmt.Errorf("%q names no host that others can reach", text)
		}
		*field = text
		return nil
	}
}

func urlSetter(field *string) func(string) error {
	return func(text string) error {
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("%q must be an http or https URL with a host", text)
		}
		*field = text
		return nil
	}
}

func durationSetter(field *time.Duration) func(string) error {
	return func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < minDuration || d > maxDuration {
			return fmt.Errorf("%q must be a time from %v to %v, such as 250ms or 3s", text, minDuration, maxDuration)
		}
		*field = d
		return nil
	}
}

func int64Setter(field *int64, low, high int64) func(string) error {
	return func(text string) error {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < low || n > high {
			return fmt.Errorf("%q must be a whole number from %d to %d", text, low, high)
		}
		*field = n
		return nil
	}
}

// maxFreshness is the required bound on the time after which a target or failure domain that leaves gets no new requests.
const maxFreshness = 5 * time.Second

// checkConsistency reports settings that contradict each other.
func (s *Settings) checkConsistency(c *checker) {
	timing := &s.Timing
	for _, constraint := range []struct {
		violated bool
		key      string
		reason   string
	}{
		{timing.Term < 2*timing.Renew, "term", fmt.Sprintf("term %v is below 2 x renew %v: one lost renewal would end the lease", timing.Term, timing.Renew)},
		{timing.Term < 2*timing.Heartbeat, "term", fmt.Sprintf("term %v is below 2 x heartbeat %v: one lost heartbeat would make the peer count as unreachable", timing.Term, timing.Heartbeat)},
		{timing.Margin >= timing.Term, "margin", fmt.Sprintf("margin %v is not below term %v", timing.Margin, timing.Term)},
		{timing.Freshness < 2*timing.Probe, "freshness", fmt.Sprintf("freshness %v is below 2 x probe %v: one lost probe would stop dispatch", timing.Freshness, timing.Probe)},
		{timing.Freshness > maxFreshness, "freshness", fmt.Sprintf("freshness %v is above %v, after which a leaving target must get no more requests", timing.Freshness, maxFreshness)},
		{timing.ForgetAfter <= timing.Term+timing.Margin, "forget_after", fmt.Sprintf("forget_after %v is not above term + margin %v", timing.ForgetAfter, timing.Term+timing.Margin)},
		{timing.MaxOutage < timing.Term, "max_outage", fmt.Sprintf("max_outage %v is below term %v", timing.MaxOutage, timing.Term)},
	} {
		if constraint.violated {
			c.addProblem(settingID{"timing", constraint.key}, "%s", constraint.reason)
		}
	}
	if s.Platform.Timeout >= timing.Term {
		c.addProblem(settingID{"platform", "timeout"}, "timeout %v is not below term %v: one slow call would end the lease", s.Platform.Timeout, timing.Term)
	}
	s.checkAddresses(c)
}

func (s *Settings) checkAddresses(c *checker) {
	keyByAddress := map[string]string{}
	for _, listener := range []struct{ key, bind, advertise string }{
		{"caller", s.Listen.Caller, s.Advertise.Caller}, {"peer", s.Listen.Peer, s.Advertise.Peer},
		{"operator", s.Listen.Operator, s.Advertise.Operator},
	} {
		host, port, _ := net.SplitHostPort(listener.advertise)
		if host == "" || net.ParseIP(host).IsUnspecified() {
			c.addProblem(settingID{"listen", listener.key}, "[listen] %s=%s binds every address; set [advertise] %s to one that others can reach", listener.key, listener.bind, listener.key)
		}
		if other, duplicate := keyByAddress[listener.bind]; duplicate && port != "0" {
			c.addProblem(settingID{"listen", listener.key}, "[listen] %s and %s are both %s", other, listener.key, listener.bind)
		}
		keyByAddress[listener.bind] = listener.key
	}
}
