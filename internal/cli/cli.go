// Package cli implements the operators' command line.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/mattn/go-isatty"

	"cassiadeal.example/cassiadeal/internal/rules"
)

// Exit codes of every subcommand.
const (
	ExitOK         = 0
	ExitUsage      = 1 // Wrong arguments, unreadable file, or a failure that no other code describes.
	ExitInvalid    = 2 // The rules have problems.
	ExitConflict   = 3 // The base revision is no longer in force; nothing was written.
	ExitNotInForce = 4 // The revision is written, but some nodes have not reported it.
	ExitNoNode     = 5 // No node was reachable, or none accepted the request; nothing was written.
	ExitUnknown    = 6 // The reply was lost, and it is not known whether the change was written.
	ExitNotFound   = 7 // The named rule, failure domain or VM doesn't exist.
)

const exitCodeHelp = `Exit codes: 0 ok, 1 usage, 2 rules invalid, 3 conflict (nothing written), 4 written but not in force
everywhere, 5 no node reachable (nothing written), 6 outcome unknown, 7 not found.
Output is coloured only on a terminal and only if NO_COLOR is not set.`

// Tool is a subcommand that parses its own arguments.
type Tool func(ctx context.Context, args []string, stdout, stderr io.Writer) error

// Options holds the dependencies of Run.
type Options struct {
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	Load   Tool
	Demo   Tool
}

type arguments struct {
	Check     *checkCommand   `arg:"subcommand:check" help:"check a rules file, and with --node against the VM list"`
	Diff      *diffCommand    `arg:"subcommand:diff" help:"show how a rules file differs from the one in force, or from another file"`
	Apply     *applyCommand   `arg:"subcommand:apply" help:"put a rules file into force everywhere"`
	Status    *statusCommand  `arg:"subcommand:status" help:"show nodes, pools, services and targets"`
	Why       *whyCommand     `arg:"subcommand:why" help:"show a rule, who asked for it and what depends on it"`
	DrainPlan *drainCommand   `arg:"subcommand:drain-plan" help:"show what is lost if a failure domain or VM is taken out"`
	Explain   *explainCommand `arg:"subcommand:explain" help:"show where a request would go now, and why; --node names metrics listeners of nodes with --platform"`
	Load      *toolCommand    `arg:"subcommand:load" help:"send requests at a fixed rate and measure"`
	Demo      *toolCommand    `arg:"subcommand:demo" help:"run three nodes and stand-ins in one process"`

	Node    string        `arg:"--node,env:CASSIADEAL_NODE" placeholder:"ADDRESS[,ADDRESS]" help:"operator addresses of nodes, tried in order"`
	Timeout time.Duration `arg:"--timeout" default:"15s" placeholder:"TIME" help:"longest wait for a node, and again for the outcome of a lost reply"`
}

type checkCommand struct {
	File string `arg:"positional,required" help:"rules file"`
}

type diffCommand struct {
	File  string `arg:"positional,required" help:"new rules file"`
	Other string `arg:"positional" help:"old rules file; without it the rules in force are taken from --node"`
	JSON  bool   `arg:"--json" help:"print JSON"`
}

type applyCommand struct {
	File   string `arg:"positional,required" help:"rules file"`
	Base   string `arg:"--base,required" placeholder:"REVISION" help:"revision that the file was made from, as diff shows it; \"current\" takes the one in force now and may undo changes that you have not seen"`
	Author string `arg:"--author,env:USER" help:"who applies, kept with the revision"`
}

type statusCommand struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

type whyCommand struct {
	Name   string `arg:"positional,required" help:"rule name, or SECTION/NAME"`
	Method string `arg:"positional" help:"with PATH: show the route of this call to the service NAME"`
	Path   string `arg:"positional" help:"path below /v1/services/NAME"`
	File   string `arg:"--file" help:"rules file; without it the rules in force are taken from --node"`
	JSON   bool   `arg:"--json" help:"print JSON"`
}

type drainCommand struct {
	Name string `arg:"positional,required" help:"failure domain, fabric domain or VM"`
	JSON bool   `arg:"--json" help:"print JSON"`
}

type toolCommand struct {
	Args []string `arg:"positional" help:"see --help of the subcommand"`
}

// Description implements arg.Described.
func (arguments) Description() string { return "Operate a cassiadeal serving system." }

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string { return exitCodeHelp }

// exitError is an error that sets the exit code; its message goes to standard error.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string { return e.message }

func exitf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

// app is the state of one run of the command line.
type app struct {
	Options
	args   arguments
	client *client
	colour bool
}

// Run executes a command line, given without the program name, and returns the exit code.
func Run(ctx context.Context, options Options, args []string) int {
	a := &app{Options: options, colour: options.Getenv("NO_COLOR") == "" && isTerminal(options.Stdout)}
	if tool, found := a.findTool(args); found {
		return a.reportError(tool(ctx, args[1:], options.Stdout, options.Stderr))
	}
	parser, err := arg.NewParser(arg.Config{Program: "cassiadeal", Out: options.Stderr}, &a.args)
	if err != nil {
		return a.reportError(err)
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		return a.reportError(parser.WriteHelpForSubcommand(options.Stdout, parser.SubcommandNames()...))
	}
	if err == nil && parser.Subcommand() == nil {
		err = errors.New("a subcommand is missing")
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(options.Stderr, parser.SubcommandNames()...) // The names come from the parser.
		return a.reportError(exitf(ExitUsage, "%v", err))
	}
	a.client = newClient(a.args.Node, a.args.Timeout)
	return a.reportError(a.dispatch(ctx))
}

// findTool returns the subcommand if it is one that parses its own arguments.
func (a *app) findTool(args []string) (Tool, bool) {
	if len(args) > 0 && args[0] == "load" {
		return a.Load, true
	}
	if len(args) > 0 && args[0] == "demo" {
		return a.Demo, true
	}
	return nil, false
}

func (a *app) dispatch(ctx context.Context) error {
	switch {
	case a.args.Check != nil:
		return a.check(ctx, a.args.Check)
	case a.args.Diff != nil:
		return a.diff(ctx, a.args.Diff)
	case a.args.Apply != nil:
		return a.apply(ctx, a.args.Apply)
	case a.args.Status != nil:
		return a.status(ctx, a.args.Status)
	case a.args.Why != nil:
		return a.why(ctx, a.args.Why)
	case a.args.DrainPlan != nil:
		return a.drainPlan(ctx, a.args.DrainPlan)
	case a.args.Explain != nil:
		return a.explain(ctx, a.args.Explain)
	default:
		return exitf(ExitUsage, "load and demo must be the first argument")
	}
}

// reportError prints the error, if any, and returns its exit code.
func (a *app) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(a.Stderr, "cassiadeal:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}

func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && isatty.IsTerminal(file.Fd())
}

// Colour parameters of the terminal's SGR escape sequences.
const (
	red    = "31"
	green  = "32"
	yellow = "33"
)

func (a *app) colourText(colour, text string) string {
	if !a.colour {
		return text
	}
	return "\x1b[" + colour + "m" + text + "\x1b[0m"
}

func (a *app) printJSON(v any) error {
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// readRules reads and parses a rules file and returns it with its text. Problems are printed.
func (a *app) readRules(path string) (*rules.Rules, string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, "", exitf(ExitUsage, "%v", err)
	}
	r, problems := rules.Parse(path, string(data))
	return r, string(data), a.reportProblems(path, problems)
}

// reportProblems prints the problems and returns an error if there are any.
func (a *app) reportProblems(path string, problems []rules.Problem) error {
	for _, p := range problems {
		p.File = path // A node reports a name of its own for the file.
		fmt.Fprintln(a.Stderr, a.colourText(red, p.String()))
	}
	if len(problems) > 0 {
		return exitf(ExitInvalid, "%s is refused: %d problems", path, len(problems))
	}
	return nil
}

// rulesInForce returns the rules in force at the first node that answers, with their revision and author.
func (a *app) rulesInForce(ctx context.Context) (*rules.Rules, uint64, string, error) {
	config, _, err := a.client.config(ctx)
	if err != nil {
		return nil, 0, "", err
	}
	label := fmt.Sprintf("revision-%d", config.Revision)
	r, problems := rules.Parse(label, config.Rules)
	return r, config.Revision, config.Author, a.reportProblems(label, problems)
}

func plural(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return fmt.Sprintf("%d %ss", n, word)
}

func orNone(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}
