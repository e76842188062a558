package cli

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"

	explained "cassiadeal.example/cassiadeal/internal/explain"
)

type explainCommand struct {
	Host      string `arg:"positional,required" help:"host name of the request"`
	Path      string `arg:"positional,required" help:"path of the request"`
	Account   string `arg:"--account" help:"name of the client account"`
	Model     string `arg:"--model" help:"model of the request"`
	Prompt    int    `arg:"--prompt" placeholder:"TOKENS" help:"prompt tokens"`
	MaxOutput int    `arg:"--max-output" placeholder:"TOKENS" help:"limit of the output tokens"`
	Hint      int    `arg:"--hint" placeholder:"TOKENS" help:"the client's estimate of the output tokens"`
	Part      string `arg:"--part" placeholder:"ID" help:"first part of the prompt"`
	JSON      bool   `arg:"--json" help:"print JSON"`
}

func (e *explainCommand) query() url.Values {
	values := url.Values{explained.Host: {e.Host}, explained.RequestPath: {e.Path}, explained.Account: {e.Account}, explained.Model: {e.Model}, explained.Part: {e.Part}}
	for name, tokens := range map[string]int{explained.Prompt: e.Prompt, explained.MaxOutput: e.MaxOutput, explained.Hint: e.Hint} {
		if tokens != 0 {
			values.Set(name, strconv.Itoa(tokens))
		}
	}
	return values
}

// explain asks a node where a request would go now. --node names the metrics listeners of nodes that run with --platform.
func (a *app) explain(ctx context.Context, c *explainCommand) error {
	var answer explained.Answer
	if _, err := a.client.getJSON(ctx, explained.Path+"?"+c.query().Encode(), &answer); err != nil {
		return err
	}
	if c.JSON {
		return a.printJSON(answer)
	}
	a.printExplanation(&answer)
	return nil
}

func (a *app) printExplanation(e *explained.Answer) {
	urgency := "none"
	if e.Urgency != nil {
		urgency = strconv.Itoa(*e.Urgency)
	}
	fmt.Fprintf(a.Stdout, "route %s to %s, priority %d, urgency %s, %d output tokens expected\n", e.Route, e.Service, e.Priority, urgency, e.ExpectedTokens)
	if e.Target == "" {
		fmt.Fprintln(a.Stdout, a.colourText(red, "refused"))
	} else {
		fmt.Fprintln(a.Stdout, a.colourText(green, "would go to "+e.Target))
	}
	fmt.Fprintln(a.Stdout, e.Why)
	if e.Refused > 0 {
		fmt.Fprintf(a.Stdout, "%d of %d such requests would be refused; Retry-After %d ms\n", e.Refused, explained.Trials, e.RetryAfterMs)
	}
	if len(e.Heads) == 0 {
		return
	}
	a.printTable("TARGET\tFAILURE DOMAIN\tCOST MS\tFIRST EVENT MS\tQUEUE MS\tRUNNING\tUNREAD\tLEFT\tHELD\tSLOW\tLEFT OUT", func(w io.Writer) {
		for _, h := range e.Heads {
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%.1f\t%s\n", h.Target, h.Zone, h.CostMs, h.FirstEventMs, h.QueueDelayMs, h.Running, h.UnreadTokens,
				h.RemainingTokens, h.HeldTokens, h.SlowFactor, h.LeftOut)
		}
	})
}
