package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

// brokenStatusLines are status lines without a status.
var brokenStatusLines = []string{
	"HTTP/1.1 000 Trouble", "HTTP/1.1 000", "HTTP/1.0 000 Trouble", "HTTP/1.1 001 Trouble", "HTTP/1.1 099 Trouble",
	"HTTP/1.1 600 Trouble", "HTTP/1.1 700 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1 -00 Trouble", "HTTP/1.1 +20 Trouble",
	"HTTP/1.1 2 0 Trouble", "HTTP/1.1 20 Trouble", "HTTP/1.1 2000 Trouble", "HTTP/1.1  200 Trouble", "HTTP/1.1\t200 Trouble",
	"HTTP/2.0 200 Trouble", "HTTP/1.2 200 Trouble", "http/1.1 200 Trouble", "HTTP/1.1 200 Tro\x00uble", "HTTP/1.1 200\x00Trouble",
}

// TestBrokenStatus guards against an answer without a status that is taken for one, on a new
// connection or on a used one.
func TestBrokenStatus(t *testing.T) {
	for _, line := range brokenStatusLines {
		t.Run(line, func(t *testing.T) {
			checkBroken(t, strings.Replace(testAnswer{status: 200, body: "paid"}.text("request-1b"), "HTTP/1.1 200 OK", line, 1))
		})
	}
}

// TestChunksOfHTTP10 guards against the framing of chunks that is taken for a body. HTTP/1.0 has no
// chunks, so a library reads the body of such an answer up to the end of the connection.
func TestChunksOfHTTP10(t *testing.T) {
	checkBroken(t, "HTTP/1.0 200 OK\r\n"+idHeader+": request-1b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\n\r\n")
}

// TestBrokenHealthCheck guards against a health check, which takes every answer for its own, that
// believes a broken one.
func TestBrokenHealthCheck(t *testing.T) {
	for _, line := range brokenStatusLines {
		target := newFaultyTarget(t, []testExchange{{before: line + "\r\nContent-Length: 0\r\n\r\n"}})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		answer, _, err := target.pool.Exchange(ctx, &Request{Method: http.MethodGet, Path: "/health", Host: "test", Alone: true})
		cancel()
		if !errors.Is(err, ErrBrokenAnswer) {
			t.Errorf("%s: got %+v (%v), want %v", line, answer, err, ErrBrokenAnswer)
		}
	}
}

// TestBrokenNames guards against an answer whose head has a line with a name that is none.
func TestBrokenNames(t *testing.T) {
	for b := range 256 {
		if strings.ContainsRune("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ", rune(b)) || b == ':' || b == '\n' {
			continue
		}
		text := testAnswer{status: 200, body: "paid"}.text("request-1b")
		for _, name := range []string{"X-%sA", "%sX-A", "X-A%s", "Content-Length%s"} {
			name = fmt.Sprintf(name, string([]byte{byte(b)}))
			t.Run(fmt.Sprintf("%q", name), func(t *testing.T) {
				checkBroken(t, strings.Replace(text, "\r\n", "\r\n"+name+": 1\r\n", 1))
			})
		}
	}
	checkBroken(t, "HTTP/1.1 200 OK\r\n: 1\r\n"+idHeader+": request-1b\r\nContent-Length: 0\r\n\r\n")
}

// checkBroken checks that a request gets no answer where its target sends the text, on a new connection
// and on a used one, and that its connection carries no further request.
func checkBroken(t *testing.T, text string) {
	t.Helper()
	for _, used := range []bool{false, true} {
		paid := testAnswer{status: 200, body: "paid"}
		target := newFaultyTarget(t, []testExchange{
			{id: "request-0a", answer: paid}, {id: "request-1b", answer: paid, before: text}, {id: "request-2c", answer: paid},
		})
		if used {
			if got, _, err := target.send("request-0a", false); err != nil || got != paid {
				t.Fatalf("got %+v (%v), want %+v", got, err, paid)
			}
		}
		if got, sent, err := target.send("request-1b", used); !errors.Is(err, ErrBrokenAnswer) || !sent {
			t.Errorf("used connection %t: got %+v (%v), sent %t, want %v", used, got, err, sent, ErrBrokenAnswer)
		}
		if !target.pool.Suspect(time.Now()) {
			t.Errorf("used connection %t: got a target that is not suspect, want a suspect one", used)
		}
		if got, _, err := target.send("request-2c", false); err != nil || got != paid {
			t.Errorf("used connection %t: got %+v (%v), want %+v", used, got, err, paid)
		}
		if got, want := target.pool.Opened(), uint64(2); got != want {
			t.Errorf("used connection %t: got %d connections, want %d", used, got, want)
		}
	}
}

// TestBrokenCopyInAnswer guards against an answer that holds the beginning of another one, with or
// without a status, since the head or the body before that was broken off.
func TestBrokenCopyInAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 000 Trouble", "HTTP/1.1 999 Trouble"} {
		for name, text := range map[string]string{
			"reason":         "HTTP/1.1 200 O" + line + "\r\n" + idHeader + ": request-1b\r\nContent-Length: 0\r\n\r\n",
			"value":          "HTTP/1.1 200 OK\r\nX-A: b" + line + "\r\n" + idHeader + ": request-1b\r\nContent-Length: 0\r\n\r\n",
			"skipped body":   "HTTP/1.1 200 OK\r\n" + idHeader + ": request-0a\r\nContent-Length: 400\r\n\r\nca" + line + "\r\n" + strings.Repeat(" ", 400),
			"interim answer": "HTTP/1.1 103 " + line + "\r\n\r\n",
		} {
			t.Run(name+" "+line, func(t *testing.T) { checkBroken(t, text) })
		}
	}
}

// validHead is the head of an answer by RFC 9112, without continued lines, as Latin-1.
var validHead = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9][0-9]( [\t\x20-\x7e\x80-\xff]*)?\r?\n` +
	"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r?\\n)*\\r?\\n")

// interim is the beginning of an interim answer.
var interim = regexp.MustCompile(`^HTTP/1\.[01] 1`)

// latin1 returns data as text in which each byte is a character.
func latin1(data []byte) (text string) {
	characters := make([]rune, len(data))
	for i, b := range data {
		characters[i] = rune(b)
	}
	return string(characters)
}

// FuzzHeads guards against a head that is taken for that of an answer and is none.
func FuzzHeads(f *testing.F) {
	for _, line := range brokenStatusLines {
		f.Add([]byte(line + "\r\nContent-Length: 0\r\n\r\n"))
	}
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent Length: 4\r\nX-A\x01: 1\r\n\r\npaid"))
	f.Add([]byte("HTTP/1.0 200\nContent-Length : 4\nX-A:\t1\n\npaid"))
	// A reason may hold bytes that are not UTF-8.
	f.Add([]byte("HTTP/1.0 200 \xcb\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		source := &boundedSource{source: bytes.NewReader(data)}
		c := &conn{source: source, reader: bufio.NewReaderSize(source, readBuffer)}
		answer, _, err := c.read(&Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		defer answer.Body.Close()
		head := latin1(data)
		for interim.MatchString(head) {
			found := validHead.FindString(head)
			if found == "" {
				t.Fatalf("got status %d behind the head %q, want an error", answer.StatusCode, head)
			}
			head = head[len(found):]
		}
		if !validHead.MatchString(head) {
			t.Fatalf("got status %d from the head %q, want an error", answer.StatusCode, head)
		}
		if got := answer.StatusCode; got < 200 || got > 599 {
			t.Fatalf("got status %d from the head %q, want one from 200 to 599", got, head)
		}
	})
}

// TestBrokenTrailers guards against a line behind a body that is taken for a field of its answer.
func TestBrokenTrailers(t *testing.T) {
	target := newFaultyTarget(t, []testExchange{{id: "request-1b", before: "HTTP/1.1 200 OK\r\n" + idHeader +
		": request-1b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npaid\r\n0\r\nX Not Run: 1\r\n" + notRunHeader + ": 1\r\n\r\n"}})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	answer, _, err := target.pool.Exchange(ctx, &Request{Method: http.MethodGet, Path: "/", Host: "test", Headers: map[string][]string{idHeader: {"request-1b"}}})
	if err != nil {
		t.Fatalf("got %v, want the answer", err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if got, want := string(body), "paid"; got != want || err != nil {
		t.Errorf("got body %q (%v), want %q", got, err, want)
	}
	if got, want := len(answer.Header), 1; got != want {
		t.Errorf("got fields %v, want %d", answer.Header, want)
	}
}
