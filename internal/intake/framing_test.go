package intake

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against ends of chunked bodies that are found too early or too late, wherever the reads are cut.
func TestEndsOfChunkedBodies(t *testing.T) {
	for text, malformed := range map[string]bool{
		"0\r\n\r\n": false, "5\r\nabcde\r\n0\r\n\r\n": false, "A;x=\"y\"\r\n0123456789\r\n00\r\n\r\n": false, "1 \r\n\n\r\n0\r\nA: b\r\nC:\r\n\r\n": false,
		"2\r\n0\r\r\n0\r\n\r\n": false, "0\n\n": false, "x\r\n": true, "1234567890abcdef0\r\n": true, "\r\n": true,
	} {
		for cut := range len(text) {
			f := framing{chunks: &chunks{}}
			whole := text + "GET / HTTP/1.1\r\n\r\n"
			n := f.take([]byte(whole[:cut]))
			n += f.take([]byte(whole[n:]))
			qt.Check(t, f.unknown, qt.Equals, malformed, qt.Commentf("%q cut at %d", text, cut))
			if !malformed {
				qt.Check(t, whole[:n], qt.Equals, text)
				qt.Check(t, f.ended(), qt.IsTrue)
			}
		}
	}
}

// Guards against requests behind others that are refused or not answered, however their bytes arrive.
func TestRequestsBehindOthersInAnyPieces(t *testing.T) {
	const seeds, requests = 150, 12
	s := newServer(t, ample, ReadBodies, testWait)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		text, lengths := "", []int{}
		for range requests {
			request, length := randomRequest(random)
			text, lengths = text+request, append(lengths, length)
		}
		conn := s.dial(t, "")
		r := bufio.NewReader(conn)
		go func() {
			for rest := text; len(rest) > 0; {
				n := min(1+random.IntN([]int{2, 100, 5000}[random.IntN(3)]), len(rest))
				_, _ = io.WriteString(conn, rest[:n]) // An error shows as a missing response.
				rest = rest[n:]
			}
		}()
		for i, length := range lengths {
			resp, got := answer(t, r)
			qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("seed %d, request %d: %s", seed, i, got))
			qt.Assert(t, got, qt.Equals, fmt.Sprint(length), qt.Commentf("seed %d, request %d", seed, i))
		}
		_ = conn.Close()
	}
	s.awaitUsage(t, func(u Usage) bool { return u == Usage{} })
}

// randomRequest returns a request inside the limits, and the length of its body.
func randomRequest(random *rand.Rand) (text string, length int) {
	filler := "A: " + strings.Repeat("y", random.IntN(4000)) + "\r\n"
	body := strings.Repeat("0\r\n\r\n", random.IntN(2000))
	switch random.IntN(3) {
	case 0:
		return "GET / HTTP/1.1\r\nHost: x\r\n" + filler + "\r\n", 0
	case 1:
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", filler, len(body), body), len(body)
	}
	chunked := ""
	for rest := body; len(rest) > 0; {
		n := min(1+random.IntN(3000), len(rest))
		chunked += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked + "0\r\nT: 1\r\n\r\n", len(body)
}

// Guards against a request that waits because the end of its head arrives after the response to the request before it.
func TestEndOfAHeadAfterTheResponseBefore(t *testing.T) {
	s := newServer(t, ample, ReadBodies, testWait)
	const head = "GET / HTTP/1.1\r\nHost: x\r\n"
	for _, missing := range []string{"\n", "\r\n", "\n\r\n", "x\r\n\r\n"} {
		text := head + "\r\n"
		conn := s.dial(t, text+strings.TrimSuffix(text, missing))
		r := bufio.NewReader(conn)
		answer(t, r)
		_, err := io.WriteString(conn, missing)
		qt.Assert(t, err, qt.IsNil)
		resp, _ := answer(t, r)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%q", missing))
	}
}
