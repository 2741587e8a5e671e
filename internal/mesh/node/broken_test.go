package node

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// brokenAnswers are a status line and a line of the head behind it that make an answer broken.
var brokenAnswers = map[string]struct{ status, line string }{
	"status 000":                 {"HTTP/1.1 000 Trouble", "X-A: 1"},
	"status 099":                 {"HTTP/1.1 099 Trouble", "X-A: 1"},
	"status 600":                 {"HTTP/1.1 600 Trouble", "X-A: 1"},
	"status 999":                 {"HTTP/1.1 999 Trouble", "X-A: 1"},
	"blank in a name":            {"HTTP/1.1 200 OK", "X A: 1"},
	"blank behind a name":        {"HTTP/1.1 200 OK", "Transfer-Encoding : chunked"},
	"control byte in a name":     {"HTTP/1.1 200 OK", "X-\x01A: 1"},
	"control byte behind a name": {"HTTP/1.1 200 OK", "X-A\x0b: 1"},
}

// replyBroken sends a broken answer. Its other fields are those of a proper one.
func replyBroken(conn net.Conn, status, line, head, body string) (open bool) {
	_, err := fmt.Fprintf(conn, "%s\r\n%s\r\n%sContent-Length: %d\r\n\r\n%s", status, line, head, len(body), body)
	return err == nil
}

// replyBrokenID is like replyBroken and names the request that it answers.
func replyBrokenID(conn net.Conn, status, line, head string, r *http.Request) (open bool) {
	return replyBroken(conn, status, line, head+header.RequestID+": "+r.Header.Get(header.RequestID)+"\r\n", "paid")
}

// TestBrokenAnswersOfTargets guards against a broken answer of a target that a caller gets as an
// answer, or as a refusal of a request that has not run, and against one whose request is sent again.
func TestBrokenAnswersOfTargets(t *testing.T) {
	for name, c := range brokenAnswers {
		for kind, head := range map[string]string{"answer": "", "rejection": header.Outcome + ": not-run\r\n"} {
			t.Run(name+" of "+kind, func(t *testing.T) {
				target := newScriptedTarget(t, func(_ int, conn net.Conn, r *http.Request) (open bool) {
					return replyBrokenID(conn, c.status, c.line, head, r)
				})
				got := newNodeFixture(t, target.addr()).send(http.MethodPost, "/ledger/pay", []byte("body"))
				if got.outcome != header.Unknown || got.code != header.AnswerLost {
					t.Errorf("got %+v, want %s, %s", got, header.Unknown, header.AnswerLost)
				}
				if got, want := target.receivedCount(got.id), 1; got != want {
					t.Errorf("got %d requests at the target, want %d", got, want)
				}
			})
		}
	}
}

// TestResendAfterBrokenAnswer guards against a claim that is released by a broken rejection, so that
// the request runs again when its caller resends it.
func TestResendAfterBrokenAnswer(t *testing.T) {
	target := newScriptedTarget(t, func(_ int, conn net.Conn, r *http.Request) (open bool) {
		return replyBrokenID(conn, "HTTP/1.1 000 Trouble", "X-A: 1", header.Outcome+": not-run\r\n", r)
	})
	r := newNodeFixture(t, target.addr())
	id, _ := mesh.NewRequestID()
	send := func() (a callerAnswer) {
		return r.send(http.MethodPost, "/ledger/pay", []byte("body"), header.RequestID, id.String())
	}
	if got := send(); got.outcome != header.Unknown || got.code != header.AnswerLost {
		t.Errorf("got %+v, want %s, %s", got, header.Unknown, header.AnswerLost)
	}
	got := send()
	for deadline := time.Now().Add(5 * time.Second); got.code == header.NoTarget && time.Now().Before(deadline); got = send() {
		time.Sleep(10 * time.Millisecond) // The link to the target is in backoff.
	}
	if got.outcome != header.Unknown || got.code != header.AlreadyClaimed {
		t.Errorf("resent: got %+v, want %s, %s", got, header.Unknown, header.AlreadyClaimed)
	}
	if got, want := target.receivedCount(id.String()), 1; got != want {
		t.Errorf("got %d requests at the target, want %d", got, want)
	}
}
