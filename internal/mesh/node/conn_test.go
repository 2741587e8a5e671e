package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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
