package edge

import (
	"bufio"
	"net/http"

	"cassiadeal.example/cassiadeal/internal/respstatus"
)

// readFinal reads the head of the final response to a request of the method, after any interim ones. The reader's limit bounds these too. A
// response with an invalid status is an error, whatever it states.
func (c *call) readFinal(from *bufio.Reader) (*http.Response, error) {
	for {
		// An error of Peek is one of ReadResponse too.
		start, _ := from.Peek(respstatus.PrefixLen)
		if err := respstatus.CheckLine(start); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(from, &http.Request{Method: c.req.Method})
		if err != nil {
			return nil, err
		}
		if respstatus.Interim(resp.StatusCode) && !c.meantAsFinal(resp) {
			continue
		}
		return resp, respstatus.CheckFinal(resp.StatusCode)
	}
}

// meantAsFinal reports whether a response with the status of an interim one has what only final ones have. The replica may then send nothing
// more.
func (c *call) meantAsFinal(resp *http.Response) bool {
	header := c.opt.Codec.DecodeAnswer(resp)
	return header.RequestID != "" || header.Sealed || header.NotRun || resp.Header.Get("Content-Length") != "" || len(resp.TransferEncoding) > 0
}
