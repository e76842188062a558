package endless

import "strings"

const (
	head    = "HTTP/1.1 200 OK\r\n"
	chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
)

// Answers are the forms of answers without end to calls whose answer is one JSON object.
var Answers = []Answer{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"header line", head + "A: ", "x"},
	{"header lines", head, "A: b\r\n"},
	{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"informational responses with headers", "", "HTTP/1.1 103 Early Hints\r\nA: " + longValue + "\r\n\r\n"},
	{"bytes that are no answer", "", "\x00\xff"},
	{"body of spaces", head + "\r\n", " "},
	{"spaces after an object", head + "\r\n{\"incarnation\":\"i\",\"accepted\":true}", " "},
	{"body of one string", head + "\r\n{\"group\":\"", "x"},
	{"body of one list", head + "\r\n{\"staged\":[", `"m",`},
	{"body of nested lists", head + "\r\n{\"staged\":", "["},
	{"body of a failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
	{"body of a refusal", "HTTP/1.1 409 Conflict\r\n\r\n{\"accepted\":", " "},
	{"chunks", chunked, "5\r\n     \r\n"},
	{"chunk extension", chunked + "5;", "x"},
	{"trailers", chunked + "2\r\n{}\r\n0\r\n", "A: b\r\n"},
}

var longValue = strings.Repeat("x", 2*blockBytes)
