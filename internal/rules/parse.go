package rules

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Section names of the rules file.
const (
	SectionPools          = "pools"
	SectionServices       = "services"
	SectionAccounts       = "accounts"
	SectionRoutes         = "routes"
	SectionFailureDomains = "failure_domains"
	SectionWeights        = "weights"

	// unknownSection stands for a section with an unknown header. Its rules are not checked.
	unknownSection = "?"
)

// Limits of the values in the rules file.
const (
	maxVMsPerReplica = 1024
	maxReplicas      = 100_000
	maxInFlight      = 100_000
	maxQueueLength   = 1_000_000
	minDeadline      = time.Millisecond
	maxDeadline      = 24 * time.Hour
	minRate          = 0.001 // Requests per second.
	maxRate          = 1_000_000
	maxBurst         = 1_000_000
	maxConcurrency   = 1_000_000
	maxLoads         = 1_000_000
	maxModelLength   = 200
	maxPathLength    = 1024
)

// Default weight budget, also used for a file without [weights].
const (
	defaultAtOnce    = 2
	defaultPerMinute = 30
)

// emptyTokenSHA256 is the SHA-256 of the empty string. An account with this hash would accept an empty bearer token.
const emptyTokenSHA256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// required marks a key without a default.
const required = ""

// sectionSpec describes the rules of one section.
type sectionSpec struct {
	keys  map[string]string // Default value by key; required if the key has no default.
	parse func(p *parser, r *scannedRule)
}

var sections map[string]sectionSpec

func init() { // A variable initializer would be an initialization cycle, because the parse methods refer to sections.
	sections = map[string]sectionSpec{
		SectionPools: {map[string]string{
			"model": required, "vms": required, "replicas": required, "cold_limit": required, "full_limit": required,
			"max_queue": "64", "deadline": "60s", "fenced_orders": "no",
		}, (*parser).parsePool},
		SectionServices: {map[string]string{
			"targets": required, "cold_limit": required, "full_limit": required, "max_queue": "64", "deadline": "10s",
		}, (*parser).parseService},
		SectionAccounts: {map[string]string{
			"token_sha256": required, "rate": required, "burst": required, "concurrency": required, "priority": "normal",
		}, (*parser).parseAccount},
		SectionRoutes: {map[string]string{
			"service": required, "method": "*", "path": "/*", "repeat": required, "priority": "account",
		}, (*parser).parseRoute},
		SectionFailureDomains: {map[string]string{"state": required}, (*parser).parseFailureDomain},
		SectionWeights: {map[string]string{
			"at_once": strconv.Itoa(defaultAtOnce), "per_minute": strconv.Itoa(defaultPerMinute),
		}, (*parser).parseWeights},
	}
}

// Default returns the default value of a key; ok is false if the key has none or is unknown.
// Pools: max_queue=64 deadline=60s fenced_orders=no. Services: max_queue=64 deadline=10s. Accounts: priority=normal.
// Routes: method=* path=/* priority=account, which is the account's priority. Weights: at_once=2 per_minute=30.
func Default(sectionName, key string) (value string, ok bool) {
	value = sections[sectionName].keys[key]
	return value, value != required
}

func knownSections() string {
	return strings.Join(slices.Sorted(maps.Keys(sections)), ", ")
}

// parser collects the rules and problems of one rules file.
type parser struct {
	file             string
	problems         []Problem
	rules            *Rules
	sectionLines     map[string]int
	ruleLines        map[string]int    // Line of each rule by "section/name", including rules with problems.
	accountByToken   map[string]string // Account name by token hash.
	serviceByAddress map[string]string // Service name by target address.
	routeByPattern   map[string]string // Route name by routeKey.
}

// Parse parses and checks the text of a rules file. If the text has problems, it returns nil rules and the problems sorted
// by position. The file name is used only in problems.
func Parse(file string, text string) (*Rules, []Problem) {
	p := &parser{
		file: file, sectionLines: map[string]int{}, ruleLines: map[string]int{},
		accountByToken: map[string]string{}, serviceByAddress: map[string]string{}, routeByPattern: map[string]string{},
		rules: &Rules{
			Pools: map[string]Pool{}, Services: map[string]Service{}, Accounts: map[string]Account{},
			FailureDomains: map[string]FailureDomain{}, Origins: map[string]Origin{}, File: file,
			Weights: WeightBudget{AtOnce: defaultAtOnce, PerMinute: defaultPerMinute},
		},
	}
	if len(text) > MaxFileBytes {
		return nil, []Problem{{File: file, Reason: fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(text), MaxFileBytes)}}
	}
	scanned := p.scanLines(text)
	for _, r := range scanned {
		key := r.section + "/" + r.name
		if firstLine, duplicate := p.ruleLines[key]; duplicate {
			p.addProblem(r.line, r.column, "rule %q is already defined on line %d", r.name, firstLine)
			r.duplicate = true
			continue
		}
		p.ruleLines[key] = r.line
		p.rules.Origins[key] = Origin{Line: r.line, Text: r.text, Comment: r.comment}
	}
	for _, r := range scanned {
		p.checkRequired(r)
		sections[r.section].parse(p, r)
	}
	if len(p.problems) > 0 {
		return nil, sortProblems(file, p.problems)
	}
	return p.rules, nil
}

func (p *parser) addProblem(line, column int, format string, args ...any) {
	reason := escapeUnprintable(fmt.Sprintf(format, args...))
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Column: column, Reason: reason})
}

// escapeUnprintable replaces characters that are not printable by \u escapes. Reasons quote the refused text, and a
// terminal would otherwise interpret the control sequences in it.
func escapeUnprintable(s string) string {
	s = strings.ToValidUTF8(s, "\uFFFD")
	if strings.IndexFunc(s, unprintable) < 0 {
		return s
	}
	var b strings.Builder
	for _, r := range s {
		if unprintable(r) {
			fmt.Fprintf(&b, "\\u%04x", r)
		} else {
			b.WriteRune(r)
		}
	}
	return b.String()
}

func unprintable(r rune) bool { return !unicode.IsPrint(r) }

func (p *parser) checkRequired(r *scannedRule) {
	for _, key := range slices.Sorted(maps.Keys(sections[r.section].keys)) {
		if _, given := r.fields[key]; !given && sections[r.section].keys[key] == required {
			p.addProblem(r.line, r.column, "rule %q lacks %s=", r.name, key)
		}
	}
}

// value returns the given or default value of a key; ok is false if there is neither, which is reported elsewhere.
func (r *scannedRule) value(key string) (f field, ok bool) {
	f, given := r.fields[key]
	if !given {
		f = field{value: sections[r.section].keys[key], column: r.column}
	}
	return f, f.value != ""
}

func (p *parser) parseInteger(r *scannedRule, key string, low, high int) int {
	f, ok := r.value(key)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(f.value)
	if err != nil || n < low || n > high {
		p.addProblem(r.line, f.column, "%s=%s must be a whole number from %d to %d", key, f.value, low, high)
		return 0
	}
	return n
}

func (p *parser) parseDuration(r *scannedRule, key string) time.Duration {
	f, ok := r.value(key)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(f.value)
	if err != nil || d < minDeadline || d > maxDeadline {
		p.addProblem(r.line, f.column, "%s=%s must be a time from %v to %v, such as 500ms or 30s", key, f.value, minDeadline, maxDeadline)
		return 0
	}
	return d
}

// parseChoice returns the index of the value among the allowed ones. It reports any other value and returns 0.
func (p *parser) parseChoice(r *scannedRule, key string, allowed ...string) int {
	f, ok := r.value(key)
	if !ok {
		return 0
	}
	i := slices.Index(allowed, f.value)
	if i < 0 {
		p.addProblem(r.line, f.column, "%s=%s must be one of %s", key, f.value, strings.Join(allowed, ", "))
		return 0
	}
	return i
}

func (p *parser) parseLimits(r *scannedRule) Limits {
	limits := Limits{Cold: p.parseInteger(r, "cold_limit", 1, maxInFlight), Full: p.parseInteger(r, "full_limit", 1, maxInFlight)}
	if limits.Full > 0 && limits.Cold > limits.Full {
		p.addProblem(r.line, r.fields["cold_limit"].column, "cold_limit=%d is above full_limit=%d", limits.Cold, limits.Full)
	}
	return limits
}

func (p *parser) parsePool(r *scannedRule) {
	model, ok := r.value("model")
	if ok && (len(model.value) > maxModelLength || !onlyAlphanumericOr(model.value, "._/:-")) {
		p.addProblem(r.line, model.column, "model=%s must have at most %d of letters, digits and . _ / : -", model.value, maxModelLength)
	}
	p.rules.Pools[r.name] = Pool{
		Name: r.name, Model: model.value,
		VMs: p.parseInteger(r, "vms", 1, maxVMsPerReplica), Replicas: p.parseInteger(r, "replicas", 1, maxReplicas),
		Limits: p.parseLimits(r), MaxQueue: p.parseInteger(r, "max_queue", 0, maxQueueLength), Deadline: p.parseDuration(r, "deadline"),
		FencedOrders: p.parseChoice(r, "fenced_orders", "no", "yes") == 1,
	}
}

func (p *parser) parseService(r *scannedRule) {
	s := Service{
		Name: r.name, Limits: p.parseLimits(r),
		MaxQueue: p.parseInteger(r, "max_queue", 0, maxQueueLength), Deadline: p.parseDuration(r, "deadline"),
	}
	if list, ok := r.value("targets"); ok {
		column := list.column
		for _, item := range strings.Split(list.value, ",") {
			if target, ok := p.parseTarget(r, item, column); ok {
				s.Targets = append(s.Targets, target)
			}
			column += utf8.RuneCountInString(item) + 1
		}
	}
	p.rules.Services[r.name] = s
}

func (p *parser) parseTarget(r *scannedRule, item string, column int) (ServiceTarget, bool) {
	address, domain, ok := strings.Cut(item, "@")
	if !ok {
		p.addProblem(r.line, column, "target %q must have the form IP:PORT@FAILURE-DOMAIN", item)
		return ServiceTarget{}, false
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().Zone() != "" || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		p.addProblem(r.line, column, "target address %q must be IP:PORT with an IP number and a port from 1 to 65535", address)
		return ServiceTarget{}, false
	}
	address = netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()
	if owner, used := p.serviceByAddress[address]; used && !r.duplicate {
		p.addProblem(r.line, column, "target %s already belongs to service %q", address, owner)
	} else if !used {
		p.serviceByAddress[address] = r.name
	}
	if p.ruleLines[SectionFailureDomains+"/"+domain] == 0 {
		p.addProblem(r.line, column+utf8.RuneCountInString(item)-utf8.RuneCountInString(domain),
			"target %s is in failure domain %q, which is not in [%s]", address, domain, SectionFailureDomains)
	}
	return ServiceTarget{Address: address, FailureDomain: domain}, true
}

func (p *parser) parseAccount(r *scannedRule) {
	token, ok := r.value("token_sha256")
	if ok {
		p.checkToken(r, token)
	}
	p.rules.Accounts[r.name] = Account{
		Name: r.name, TokenSHA256: token.value, Rate: p.parseRate(r),
		Burst: p.parseInteger(r, "burst", 1, maxBurst), Concurrency: p.parseInteger(r, "concurrency", 1, maxConcurrency),
		Priority: Priority(p.parseChoice(r, "priority", "low", "normal", "high")),
	}
}

func (p *parser) checkToken(r *scannedRule, token field) {
	const hexLength = 64
	if len(token.value) != hexLength || strings.Trim(token.value, "0123456789abcdef") != "" {
		p.addProblem(r.line, token.column, "token_sha256 must have %d digits of lower-case hex", hexLength)
		return
	}
	if token.value == emptyTokenSHA256 {
		p.addProblem(r.line, token.column, "token_sha256 is the hash of an empty token")
	}
	if owner, used := p.accountByToken[token.value]; used && !r.duplicate {
		p.addProblem(r.line, token.column, "account %q already has this token", owner)
	} else if !used {
		p.accountByToken[token.value] = r.name
	}
}

func (p *parser) parseRate(r *scannedRule) float64 {
	f, ok := r.value("rate")
	if !ok {
		return 0
	}
	rate, err := strconv.ParseFloat(f.value, 64)
	if err != nil || !(rate >= minRate && rate <= maxRate) { // The negated condition also refuses NaN.
		p.addProblem(r.line, f.column, "rate=%s must be a number of requests per second from %v to %d", f.value, minRate, maxRate)
		return 0
	}
	return rate
}

func (p *parser) parseRoute(r *scannedRule) {
	service, _ := r.value("service")
	method, _ := r.value("method")
	path, _ := r.value("path")
	if service.value != "" && p.ruleLines[SectionServices+"/"+service.value] == 0 {
		p.addProblem(r.line, service.column, "service %q is not in [%s]", service.value, SectionServices)
	}
	p.parseChoice(r, "method", "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
	if path.value != "" && !validPath(path.value) {
		p.addProblem(r.line, path.column, "path=%s must begin with /, may end with /*, and must not contain . segments, //, ? or %%", path.value)
	}
	if earlier, covered := p.coveringRoute(service.value, method.value, path.value); covered && !r.duplicate {
		p.addProblem(r.line, r.column, "route %q never applies, because route %q above covers its calls", r.name, earlier)
	} else if !covered {
		p.routeByPattern[routeKey(service.value, method.value, path.value)] = r.name
	}
	route := Route{
		Name: r.name, Service: service.value, Method: method.value, Path: path.value,
		Repeat: p.parseChoice(r, "repeat", "never", "safe") == 1,
	}
	if priority := p.parseChoice(r, "priority", "account", "low", "normal", "high"); priority > 0 {
		route.HasPriority, route.Priority = true, Priority(priority-1)
	}
	p.rules.Routes = append(p.rules.Routes, route)
}

func routeKey(service, method, path string) string { return service + " " + method + " " + path }

// coveringRoute returns an earlier route that matches every call that the given one matches. Such a pair is refused,
// because the first match applies: a repeat=safe on /* would silently override a later repeat=never.
func (p *parser) coveringRoute(service, method, path string) (string, bool) {
	patterns := []string{path}
	for i, c := range path {
		if c == '/' {
			patterns = append(patterns, path[:i+1]+"*")
		}
	}
	for _, pattern := range patterns {
		for _, candidateMethod := range []string{method, "*"} {
			if name, found := p.routeByPattern[routeKey(service, candidateMethod, pattern)]; found {
				return name, true
			}
		}
	}
	return "", false
}

func validPath(path string) bool {
	trimmed := strings.TrimSuffix(path, "/*")
	if !strings.HasPrefix(path, "/") || len(path) > maxPathLength || !onlyAlphanumericOr(trimmed, "/-._~!$&'()+,;=:@") {
		return false
	}
	for i, segment := range strings.Split(trimmed, "/") {
		if segment == "." || segment == ".." || (i > 0 && segment == "" && trimmed != "/") {
			return false
		}
	}
	return true
}

// onlyAlphanumericOr reports whether s contains only ASCII letters, ASCII digits and the extra characters.
func onlyAlphanumericOr(s, extra string) bool {
	for _, c := range s {
		letterOrDigit := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		if !letterOrDigit && !strings.ContainsRune(extra, c) {
			return false
		}
	}
	return true
}

func (p *parser) parseFailureDomain(r *scannedRule) {
	p.rules.FailureDomains[r.name] = FailureDomain{Name: r.name, Out: p.parseChoice(r, "state", "in", "out") == 1}
}

func (p *parser) parseWeights(r *scannedRule) {
	if r.name != "loads" {
		p.addProblem(r.line, r.column, "unknown rule %q in [%s]; known is loads", r.name, SectionWeights)
		return
	}
	p.rules.Weights = WeightBudget{AtOnce: p.parseInteger(r, "at_once", 1, maxLoads), PerMinute: p.parseInteger(r, "per_minute", 1, maxLoads)}
}
