package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit codes of the subcommand, besides 0. Codes below 8 have the same meaning as in package cli.
const (
	ExitUsage      = 1 // Wrong arguments, an unreadable file, or a run that could not start.
	ExitInvalid    = 2 // The experiment file is invalid.
	ExitWrong      = 8 // Wrong answers, or different answers to one idempotency key.
	ExitIncomplete = 9 // Requests not started in time, a failed request of [faults], or an interrupted run.
)

const exitCodeHelp = `Exit codes: 0 ok, 1 usage, 2 experiment file invalid, 8 wrong answers or different answers to one idempotency key,
9 run incomplete: requests not started in time, a failed request of [faults], or interrupted.`

// ExitError is an error that sets the exit code of the process.
type ExitError struct {
	Code    int
	Message string
}

// Error implements error.
func (e *ExitError) Error() string { return e.Message }

func exitErrorf(code int, format string, args ...any) error {
	return &ExitError{code, fmt.Sprintf(format, args...)}
}

type arguments struct {
	File    string   `arg:"positional" placeholder:"FILE.ini" help:"experiment file"`
	JSON    string   `arg:"--json" placeholder:"OUT" help:"also write the result to this file"`
	Compare []string `arg:"--compare" placeholder:"OLD.json NEW.json" help:"print two results side by side"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Send requests on an open-loop schedule, check the answers and measure latency from the intended start."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string { return exitCodeHelp }

// Main runs the subcommand.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "cassiadeal load", Out: stderr}, &a)
	if err != nil {
		return err
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(stdout)
		return nil
	}
	if err == nil && (a.File == "") == (len(a.Compare) == 0) {
		err = errors.New("give either FILE.ini or --compare OLD.json NEW.json")
	}
	if err == nil && len(a.Compare) != 0 && (len(a.Compare) != 2 || a.JSON != "") {
		err = errors.New("--compare needs two results and nothing else")
	}
	if err != nil {
		parser.WriteUsage(stderr)
		return exitErrorf(ExitUsage, "load: %v", err)
	}
	if len(a.Compare) > 0 {
		return compareFiles(stdout, a.Compare[0], a.Compare[1])
	}
	return runFile(ctx, a, stdout)
}

func compareFiles(w io.Writer, before, after string) error {
	beforeResult, err := readResult(before)
	if err != nil {
		return exitErrorf(ExitUsage, "load: %v", err)
	}
	afterResult, err := readResult(after)
	if err != nil {
		return exitErrorf(ExitUsage, "load: %v", err)
	}
	return Compare(w, beforeResult, afterResult)
}

func runFile(ctx context.Context, a arguments, stdout io.Writer) error {
	data, err := os.ReadFile(a.File)
	if err != nil {
		return exitErrorf(ExitUsage, "load: %v", err)
	}
	experiment, err := Parse(a.File, string(data))
	if err != nil {
		return exitErrorf(ExitInvalid, "load: the experiment file is invalid:\n%v", err)
	}
	result, err := Run(ctx, experiment)
	if err != nil {
		return exitErrorf(ExitUsage, "load: %v", err)
	}
	if err := result.Print(stdout); err != nil {
		return err
	}
	if a.JSON != "" {
		if err := result.write(a.JSON); err != nil {
			return exitErrorf(ExitUsage, "load: %v", err)
		}
	}
	if n := result.wrongAnswerCount(); n > 0 {
		return exitErrorf(ExitWrong, "load: %d wrong or different answers", n)
	}
	if reason := result.incompleteReason(); reason != "" {
		return exitErrorf(ExitIncomplete, "load: %s", reason)
	}
	return nil
}
