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

// Bounds of values. A result keeps counters for every second, and a request keeps the time of every token.
const (
	maxTime     = 24 * time.Hour
	maxRate     = 1e6
	maxInFlight = 1 << 16
	maxWords    = 1 << 20
	maxTokens   = 1 << 16
)

func (e *Experiment) setters() setters {
	return setters{
		"seed": func(text string) (err error) {
			if e.Seed, err = strconv.ParseUint(text, 10, 64); err != nil {
				return fmt.Errorf("%q must be a whole number from 0", text)
			}
			return nil
		},
		"duration":      timeInto(&e.Duration, time.Second),
		"warm_up":       timeInto(&e.WarmUp, 0),
		"start_limit":   timeInto(&e.StartLimit, 0),
		"rate":          rateInto(&e.Rate),
		"max_in_flight": countInto(&e.MaxInFlight, 1, maxInFlight),
		"arrivals":      choiceInto(&e.Constant, "poisson", "constant"),
	}
}

func (e *Experiment) entrySetters() setters {
	return setters{
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
		"ask": addressInto(&e.Ask),
	}
}

func (t *Traffic) setters() setters {
	return setters{
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
		"timeout": timeInto(&t.Timeout, time.Millisecond),
	}
}

func textInto(to *string) func(string) error {
	return func(text string) error {
		if text == "" {
			return errors.New("the value is empty")
		}
		*to = text
		return nil
	}
}

func nameInto(to *string) func(string) error {
	return func(text string) error {
		if text == "" || url.PathEscape(text) != text {
			return fmt.Errorf("%q is not a name", text)
		}
		*to = text
		return nil
	}
}

func pathInto(to *string) func(string) error {
	return func(text string) error {
		if !strings.HasPrefix(text, "/") {
			return fmt.Errorf("%q must begin with /", text)
		}
		if _, err := url.ParseRequestURI(strings.ReplaceAll(text, "{n}", "0")); err != nil {
			return err
		}
		*to = text
		return nil
	}
}

// choiceInto accepts two words; the second one sets the flag.
func choiceInto(to *bool, no, yes string) func(string) error {
	return func(text string) error {
		if text != no && text != yes {
			return fmt.Errorf("%q must be %s or %s", text, no, yes)
		}
		*to = text == yes
		return nil
	}
}

func timeInto(to *time.Duration, low time.Duration) func(string) error {
	return func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < low || d > maxTime {
			return fmt.Errorf("%q must be a time from %v to %v, such as 250ms or 3s", text, low, maxTime)
		}
		*to = d
		return nil
	}
}

func rateInto(to *float64) func(string) error {
	return func(text string) error {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil || !(rate > 0 && rate <= maxRate) {
			return fmt.Errorf("%q must be a number of requests/s above 0 and up to %.0f", text, maxRate)
		}
		*to = rate
		return nil
	}
}

func shareInto(to *float64) func(string) error {
	return func(text string) error {
		share, err := strconv.ParseFloat(text, 64)
		if err != nil || !(share > 0 && share <= 1) {
			return fmt.Errorf("%q must be a number above 0 and up to 1", text)
		}
		*to = share
		return nil
	}
}

func countInto(to *int, low, high int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return fmt.Errorf("%q must be a whole number from %d to %d", text, low, high)
		}
		*to = n
		return nil
	}
}

// rangeInto accepts "N" and "LOW-HIGH".
func rangeInto(to *Range) func(string) error {
	return func(text string) error {
		low, high, found := strings.Cut(text, "-")
		if !found {
			high = low
		}
		var r Range
		if countInto(&r.Low, 1, maxWords)(low) != nil || countInto(&r.High, 1, maxWords)(high) != nil || r.Low > r.High {
			return fmt.Errorf("%q must be N or LOW-HIGH, from 1 to %d", text, maxWords)
		}
		*to = r
		return nil
	}
}

func addressInto(to *string) func(string) error {
	return func(text string) error {
		host, port, err := net.SplitHostPort(text)
		number, portErr := strconv.ParseUint(port, 10, 16)
		if err != nil || host == "" || portErr != nil || number == 0 {
			return fmt.Errorf("%q must be host:port", text)
		}
		*to = text
		return nil
	}
}

// parseFault reads one line of [faults]. A body "@FILE" is the content of that file.
func parseFault(dir, at, value string) (f Fault, err error) {
	if err := timeInto(&f.At, 0)(at); err != nil {
		return f, err
	}
	method, rest, _ := strings.Cut(value, " ")
	address, body, _ := strings.Cut(strings.TrimSpace(rest), " ")
	f.Method, f.URL, f.Body = method, address, strings.TrimSpace(body)
	u, err := url.Parse(f.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return f, fmt.Errorf("%q must be METHOD URL BODY with an http URL", value)
	}
	if _, err := http.NewRequest(f.Method, f.URL, nil); err != nil {
		return f, err
	}
	if name, isFile := strings.CutPrefix(f.Body, "@"); isFile {
		if !filepath.IsAbs(name) {
			name = filepath.Join(dir, name)
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return f, fmt.Errorf("body: %w", err)
		}
		f.Body = string(data)
	}
	return f, nil
}
