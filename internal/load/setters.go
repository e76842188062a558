package load

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// Bounds of values, which limit the memory used: a result has counters for every second, and a request stores the gap
// before every token.
const (
	maxTime     = 24 * time.Hour
	maxRate     = 1e6
	maxInFlight = 1 << 16
	maxWords    = 1 << 20
	maxTokens   = 1 << 16
)

func (e *Experiment) experimentSetters() keySetters {
	return keySetters{
		"seed": func(text string) (err error) {
			if e.Seed, err = strconv.ParseUint(text, 10, 64); err != nil {
				return fmt.Errorf("%q must be a whole number from 0", text)
			}
			return nil
		},
		"duration":      durationInto(&e.Duration, time.Second),
		"warm_up":       durationInto(&e.WarmUp, 0),
		"start_limit":   durationInto(&e.StartLimit, 0),
		"rate":          rateInto(&e.Rate),
		"max_in_flight": countInto(&e.MaxInFlight, 1, maxInFlight),
		"arrivals":      choiceInto(&e.Constant, "poisson", "constant"),
	}
}

func (e *Experiment) entrySetters() keySetters {
	return keySetters{
		"addresses": func(text string) error {
			for part := range strings.SplitSeq(text, ",") {
				var address string
				if err := addressInto(&address)(strings.TrimSpace(part)); err != nil {
					return err
				}
				e.Addresses = append(e.Addresses, address)
			}
			return nil
		},
		"ask": addressInto(&e.DiscoveryAddress),
	}
}

func (t *Traffic) setters() keySetters {
	return keySetters{
		"kind": func(text string) error {
			t.Kind = Kind(text)
			if t.Kind != Generate && t.Kind != Service {
				return fmt.Errorf("%q must be generate or service", text)
			}
			return nil
		},
		"mode":         choiceInto(&t.Direct, "entry", "direct"),
		"rate":         rateInto(&t.Rate),
		"share":        shareInto(&t.Share),
		"token":        textInto(&t.Token),
		"service":      nameInto(&t.Service),
		"method":       textInto(&t.Method),
		"path":         pathInto(&t.Path),
		"body":         textInto(&t.Body),
		"repeat":       choiceInto(&t.RepeatNever, "safe", "never"),
		"resend_share": shareInto(&t.ResendShare),
		"check_echo":   choiceInto(&t.CheckEcho, "no", "yes"),
		"pool":         nameInto(&t.Pool),
		"prompt_words": rangeInto(&t.PromptWords),
		"prefixes":     countInto(&t.Prefixes, 0, maxWords),
		"prefix_words": countInto(&t.PrefixWords, 0, maxWords),
		"max_tokens":   countInto(&t.MaxTokens, 1, maxTokens),
		"stream":       choiceInto(&t.Stream, "no", "yes"),
		"model":        textInto(&t.Model),
		"engine":       addressInto(&t.Engine),
		"group":        textInto(&t.Group),
		"number": func(text string) (err error) {
			t.Number, err = strconv.ParseUint(text, 10, 64)
			return err
		},
		"timeout": durationInto(&t.Timeout, time.Millisecond),
	}
}

func textInto(dest *string) func(string) error {
	return func(text string) error {
		if text == "" {
			return errors.New("the value is empty")
		}
		*dest = text
		return nil
	}
}

func nameInto(dest *string) func(string) error {
	return func(text string) error {
		if text == "" || url.PathEscape(text) != text {
			return fmt.Errorf("%q is not a valid name", text)
		}
		*dest = text
		return nil
	}
}

func pathInto(dest *string) func(string) error {
	return func(text string) error {
		if !strings.HasPrefix(text, "/") {
			return fmt.Errorf("%q must begin with /", text)
		}
		if _, err := url.ParseRequestURI(strings.ReplaceAll(text, "{n}", "0")); err != nil {
			return err
		}
		*dest = text
		return nil
	}
}

// choiceInto accepts the words no and yes, and sets the flag for yes.
func choiceInto(dest *bool, no, yes string) func(string) error {
	return func(text string) error {
		if text != no && text != yes {
			return fmt.Errorf("%q must be %s or %s", text, no, yes)
		}
		*dest = text == yes
		return nil
	}
}

func durationInto(dest *time.Duration, low time.Duration) func(string) error {
	return func(text string) error {
		duration, err := time.ParseDuration(text)
		if err != nil || duration < low || duration > maxTime {
			return fmt.Errorf("%q must be a duration from %v to %v, such as 250ms or 3s", text, low, maxTime)
		}
		*dest = duration
		return nil
	}
}

func rateInto(dest *float64) func(string) error {
	return func(text string) error {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil || !(rate > 0 && rate <= maxRate) {
			return fmt.Errorf("%q must be a number of requests/s above 0 and up to %.0f", text, maxRate)
		}
		*dest = rate
		return nil
	}
}

func shareInto(dest *float64) func(string) error {
	return func(text string) error {
		share, err := strconv.ParseFloat(text, 64)
		if err != nil || !(share > 0 && share <= 1) {
			return fmt.Errorf("%q must be a number above 0 and up to 1", text)
		}
		*dest = share
		return nil
	}
}

func countInto(dest *int, low, high int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return fmt.Errorf("%q must be a whole number from %d to %d", text, low, high)
		}
		*dest = n
		return nil
	}
}

// rangeInto accepts "N" and "LOW-HIGH".
func rangeInto(dest *Range) func(string) error {
	return func(text string) error {
		low, high, found := strings.Cut(text, "-")
		if !found {
			high = low
		}
		var words Range
		if countInto(&words.Low, 1, maxWords)(low) != nil || countInto(&words.High, 1, maxWords)(high) != nil ||
			words.Low > words.High {
			return fmt.Errorf("%q must be N or LOW-HIGH, from 1 to %d", text, maxWords)
		}
		*dest = words
		return nil
	}
}

func addressInto(dest *string) func(string) error {
	return func(text string) error {
		host, port, err := net.SplitHostPort(text)
		number, portErr := strconv.ParseUint(port, 10, 16)
		if err != nil || host == "" || portErr != nil || number == 0 {
			return fmt.Errorf("%q must be host:port", text)
		}
		*dest = text
		return nil
	}
}

// parseFault parses one line of [faults]. A body "@FILE" is replaced by the content of that file, relative to dir.
func parseFault(dir, at, value string) (fault Fault, err error) {
	if err := durationInto(&fault.At, 0)(at); err != nil {
		return fault, err
	}
	method, rest, _ := strings.Cut(value, " ")
	address, body, _ := strings.Cut(strings.TrimSpace(rest), " ")
	fault.Method, fault.URL, fault.Body = method, address, strings.TrimSpace(body)
	parsedURL, err := url.Parse(fault.URL)
	if err != nil || parsedURL.Scheme != "http" || parsedURL.Host == "" {
		return fault, fmt.Errorf("%q must be METHOD URL BODY with an http URL", value)
	}
	if _, err := http.NewRequest(fault.Method, fault.URL, nil); err != nil {
		return fault, err
	}
	if name, isFile := strings.CutPrefix(fault.Body, "@"); isFile {
		if !filepath.IsAbs(name) {
			name = filepath.Join(dir, name)
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return fault, fmt.Errorf("body: %w", err)
		}
		fault.Body = string(data)
	}
	return fault, nil
}
