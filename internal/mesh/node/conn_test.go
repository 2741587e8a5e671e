package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/quetzalstack/quetzalstack/internal/sample"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// rawRequest returns the text of a request with a timeout of 400 ms.
func rawRequest(method, path, more string) (text string) {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n%s: 400ms\r\n%s\r\n", method, path, benchKey, header.Timeout, more)
}

// TestHeldPastTimeout guards against requests that are held past their timeout because their
// body stalls or because another request on their connection came before them.
func TestHeldPastTimeout(t *testing.T) {
	const wantWithin = 900 * time.Millisecond
	s := startNode(t, seedPlatform(t, frontTree), nil)
	startTarget(t, s.LocalListen, sample.WithSlots(8), sample.WithServiceTime(700*time.Millisecond))
	await(t, "http://"+s.CallerListen.String()+"/ledger/books")
	read := rawRequest(http.MethodGet, "/ledger/books", "")
	for _, c := range []struct {
		name, text string
		want       []int
	}{
		{"stalled body", rawRequest(http.MethodPost, "/ledger/payouts", "Content-Length: 10\r\n") + "half", []int{504}},
		{"stalled body, unknown route", rawRequest(http.MethodPost, "/ledger/other", "Content-Length: 10\r\n") + "half", []int{404}},
		{"stalled body, too large", rawRequest(http.MethodPost, "/ledger/payouts", "Content-Length: 17\r\n") + "half", []int{413}},
		{"behind another", read + read + read, []int{504, 504, 504}},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.CallerListen.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			started := time.Now()
			if _, err := io.WriteString(conn, c.text); err != nil {
				t.Fatal(err)
			}
			if err := conn.SetReadDeadline(started.Add(wantWithin)); err != nil {
				t.Fatal(err)
			}
			answers := bufio.NewReader(conn)
			for i, want := range c.want {
				answer, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatalf("answer %d: got %v after %v, want status %d", i, err, time.Since(started), want)
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					t.Error(err)
				}
				if got := answer.StatusCode; got != want {
					t.Errorf("answer %d: got status %d, want %d", i, got, want)
				}
			}
		})
	}
}

// TestPipelinedRequests guards against answers in another order than the requests of their
// connection, and against requests that run behind an answer that closes the connection.
func TestPipelinedRequests(t *testing.T) {
	target := newScriptedTarget(t, func(n int, conn net.Conn, r *http.Request) bool {
		time.Sleep(time.Duration(n%4) * 10 * time.Millisecond)
		return answerID(n, conn, r)
	})
	r := newNodeFixture(t, target.addr())
	text := func(id, path, more string) string {
		return fmt.Sprintf("GET /ledger/%s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n%s: %s\r\n%s\r\n", path, header.RequestID, id, more)
	}
	conn, err := net.Dial("tcp", r.settings.CallerListen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var sent string
	var ids []string
	for i := range 12 {
		id, path, more := uuid.Must(uuid.NewV7()).String(), "read", ""
		if i%5 == 3 {
			path = "none"
		}
		if i == 9 {
			more = "Connection: close\r\n"
		}
		ids = append(ids, id)
		sent += text(id, path, more)
	}
	if _, err := io.WriteString(conn, sent); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(conn)
	for i, id := range ids[:10] {
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			t.Errorf("answer %d: %v", i, err)
		}
		if !strings.Contains(string(body), id) {
			t.Errorf("answer %d: got %q, want the answer to %q", i, body, id)
		}
		if got, want := answer.StatusCode == http.StatusOK, i%5 != 3; got != want {
			t.Errorf("answer %d: got status %d", i, answer.StatusCode)
		}
	}
	if _, err := answers.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("behind the closing answer: got %v, want %v", err, io.EOF)
	}
	time.Sleep(100 * time.Millisecond)
	for _, id := range ids[10:] {
		if got := target.receivedCount(id); got != 0 {
			t.Errorf("request %s behind the closing answer: got %d runs, want none", id, got)
		}
	}
}
