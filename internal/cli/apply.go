package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/rules"
)

func (a *app) check(ctx context.Context, c *checkCommand) error {
	_, text, err := a.readRules(c.File)
	if err != nil {
		return err
	}
	if len(a.client.addresses) == 0 {
		fmt.Fprintf(a.Stdout, "%s is valid; without --node it was not checked against the VM list\n", c.File)
		return nil
	}
	var failures []string
	for _, address := range a.client.addresses {
		answer, err := a.client.call(ctx, address, http.MethodPost, "/v1/config/check", operator.ApplyRequest{Rules: text}, a.client.timeout)
		var checked operator.CheckAnswer
		switch {
		case err != nil:
			failures = append(failures, fmt.Sprintf("%s: %v", address, err))
		case answer.status == http.StatusUnprocessableEntity:
			return a.rejectionError(c.File, answer)
		case answer.status != http.StatusOK || json.Unmarshal(answer.body, &checked) != nil:
			failures = append(failures, address+": "+refusalText(answer))
		case !checked.CapacityChecked:
			fmt.Fprintf(a.Stdout, "%s is valid; %s has no VM list, so the capacity was not checked\n", c.File, address)
			return nil
		default:
			fmt.Fprintf(a.Stdout, "%s is valid and fits the VM list\n", c.File)
			return nil
		}
	}
	return a.client.noNodeError(failures)
}

// rejectionError returns the error for rules that a node refused, after printing their problems.
func (a *app) rejectionError(file string, answer reply) error {
	var refusal operator.Refusal
	if json.Unmarshal(answer.body, &refusal) == nil && len(refusal.Problems) > 0 {
		return a.reportProblems(file, refusal.Problems)
	}
	return exitf(ExitInvalid, "%s is refused: %s", file, refusalText(answer))
}

// difference is the JSON output of diff. The revision is 0 if two files were compared.
type difference struct {
	Revision uint64         `json:"revision"`
	Changes  []rules.Change `json:"changes"`
}

func (a *app) diff(ctx context.Context, d *diffCommand) error {
	changed, _, err := a.readRules(d.File)
	if err != nil {
		return err
	}
	var old *rules.Rules
	var revision uint64
	if d.Other != "" {
		old, _, err = a.readRules(d.Other)
	} else {
		old, revision, _, err = a.rulesInForce(ctx)
	}
	if err != nil {
		return err
	}
	changes := rules.Diff(old, changed)
	if d.JSON {
		return a.printJSON(difference{revision, append([]rules.Change{}, changes...)})
	}
	a.printChanges(changes)
	if d.Other == "" {
		fmt.Fprintf(a.Stdout, "compared with revision %d; to apply: cassiadeal apply --base %d %s\n", revision, revision, d.File)
	}
	return nil
}

func (a *app) printChanges(changes []rules.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(a.Stdout, "no changes")
	}
	for _, change := range changes {
		for _, line := range strings.Split(change.String(), "\n") {
			switch line[0] {
			case '-':
				line = a.colourText(red, line)
			case '+':
				line = a.colourText(green, line)
			}
			fmt.Fprintln(a.Stdout, line)
		}
	}
}

// currentBase is the value of --base for the revision now in force. It is not the default, because applying a file made
// from an older revision would then undo the changes applied since, without a conflict.
const currentBase = "current"

func (a *app) apply(ctx context.Context, c *applyCommand) error {
	if c.Author == "" {
		return exitf(ExitUsage, "--author is missing")
	}
	changed, text, err := a.readRules(c.File)
	if err != nil {
		return err
	}
	current, _, err := a.client.config(ctx)
	if err != nil {
		return err
	}
	base := current.Revision
	if c.Base != currentBase {
		if base, err = strconv.ParseUint(c.Base, 10, 64); err != nil {
			return exitf(ExitUsage, "--base %q must be a revision or %q", c.Base, currentBase)
		}
	}
	if current.Revision > 0 && current.Rules == text {
		fmt.Fprintf(a.Stdout, "the same text is already written as revision %d\n", current.Revision)
		return a.waitInForce(ctx, current.Revision)
	}
	if old, problems := rules.Parse("in force", current.Rules); len(problems) == 0 {
		a.printChanges(rules.Diff(old, changed))
	}
	return a.submit(ctx, c.File, operator.ApplyRequest{BaseRevision: &base, Rules: text, Author: c.Author})
}

// submit sends the change to the nodes in order. It tries the next one only if the previous one certainly wrote nothing
// because it could not be reached or answered that the request was not run.
func (a *app) submit(ctx context.Context, file string, request operator.ApplyRequest) error {
	var failures []string
	for _, address := range a.client.addresses {
		answer, err := a.client.call(ctx, address, http.MethodPost, "/v1/config", request, a.client.timeout)
		var exit *exitError
		switch {
		case errors.As(err, &exit):
			return err
		case err != nil && notSent(err):
			failures = append(failures, fmt.Sprintf("%s: %v", address, err))
			continue
		case err != nil:
			return a.resolveLostReply(ctx, file, request, fmt.Sprintf("the reply of %s was lost: %v", address, err))
		}
		if answer.status >= http.StatusInternalServerError && refusedNotRun(answer) {
			failures = append(failures, address+": "+refusalText(answer))
			continue
		}
		return a.handleApplyAnswer(ctx, file, request, address, answer)
	}
	return a.client.noNodeError(failures)
}

// refusedNotRun reports whether the answer states that the request was not run.
func refusedNotRun(answer reply) bool {
	var refusal operator.Refusal
	return json.Unmarshal(answer.body, &refusal) == nil && refusal.NotRun
}

// handleApplyAnswer prints the outcome of an apply or returns it as an error. If the answer doesn't state the outcome, it
// queries the nodes for it.
func (a *app) handleApplyAnswer(ctx context.Context, file string, request operator.ApplyRequest, address string, answer reply) error {
	var applied operator.ApplyAnswer
	decoded := json.Unmarshal(answer.body, &applied) == nil
	switch {
	case answer.status == http.StatusOK && decoded && applied.Accepted:
		fmt.Fprintln(a.Stdout, a.colourText(green, fmt.Sprintf("accepted: revision %d is in force everywhere", applied.Revision)))
		return nil
	case answer.status == http.StatusGatewayTimeout && decoded && applied.Revision > 0:
		return notInForce(applied.Revision, applied.Missing)
	case answer.status == http.StatusConflict:
		return exitf(ExitConflict, "nothing was written: %s; run diff, then apply again", refusalText(answer))
	case answer.status == http.StatusUnprocessableEntity:
		return a.rejectionError(file, answer)
	case answer.status >= http.StatusBadRequest && answer.status < http.StatusInternalServerError:
		return exitf(ExitUsage, "%s refused the change: %s", address, refusalText(answer))
	default:
		return a.resolveLostReply(ctx, file, request, fmt.Sprintf("%s answered: %s", address, refusalText(answer)))
	}
}

func notInForce(revision uint64, missing []string) error {
	return exitf(ExitNotInForce, "revision %d is written but not in force everywhere; missing: %s", revision, orNone(missing))
}

// resolveLostReply checks whether the text was written, after a reply that was lost or doesn't state the outcome.
// Only finding the text
// proves the outcome: a delayed write may take effect after any number of reads that don't return it.
func (a *app) resolveLostReply(ctx context.Context, file string, request operator.ApplyRequest, cause string) error {
	fmt.Fprintf(a.Stderr, "cassiadeal: %s; querying the nodes for the outcome\n", cause)
	var revision uint64
	found := a.poll(ctx, func(ctx context.Context) bool {
		for _, address := range a.client.addresses {
			single := *a.client
			single.addresses = []string{address}
			config, _, err := single.config(ctx)
			if err == nil && config.Revision > *request.BaseRevision && config.Rules == request.Rules && config.Author == request.Author {
				revision = config.Revision
				return true
			}
		}
		return false
	})
	if !found {
		return exitf(ExitUnknown, "the outcome is unknown: no node returned the text of %s, but it may still be written; check with: cassiadeal diff %s", file, file)
	}
	return a.waitInForce(ctx, revision)
}

// waitInForce waits until every listed node reports the revision or is proved to have stopped.
func (a *app) waitInForce(ctx context.Context, revision uint64) error {
	var missing []string
	answered := false
	inForce := a.poll(ctx, func(ctx context.Context) bool {
		status, err := a.client.status(ctx)
		if err != nil {
			return false
		}
		answered, missing = true, nil
		for _, node := range status.Nodes {
			if node.ConfigRevision < revision && !node.Stopped {
				missing = append(missing, node.Name)
			}
		}
		return len(missing) == 0 && len(status.Nodes) > 0
	})
	if inForce {
		fmt.Fprintln(a.Stdout, a.colourText(green, fmt.Sprintf("accepted: revision %d is in force on every listed node", revision)))
		return nil
	}
	if !answered {
		return exitf(ExitNotInForce, "revision %d is written; no node reported whether it is in force everywhere", revision)
	}
	return notInForce(revision, missing)
}

// poll repeats the check until it succeeds or the timeout passes, and reports whether it succeeded.
func (a *app) poll(ctx context.Context, check func(context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, a.client.timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if check(ctx) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}
