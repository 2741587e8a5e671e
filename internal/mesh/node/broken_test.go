package node

import (
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/broken"
	"github.com/quetzalstack/quetzalstack/internal/mesh/config"
	"github.com/quetzalstack/quetzalstack/internal/mesh/wire"
	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// replyBroken sends a broken answer that names the request.
func replyBroken(conn net.Conn, a broken.Answer, fields string, r *http.Request) (open bool) {
	_, err := io.WriteString(conn, a.Text("HTTP/1.1 200 OK", fields+header.RequestID+": "+r.Header.Get(header.RequestID)+"\r\n", "paid"))
	return err == nil
}

// TestBrokenAnswersOfTargets guards against a broken answer of a target that a caller gets as an
// answer, or as a refusal of a request that has not run, and against one whose request is sent again.
func TestBrokenAnswersOfTargets(t *testing.T) {
	for _, a := range broken.Answers {
		for kind, fields := range map[string]string{"answer": "", "rejection": header.Outcome + ": not-run\r\n"} {
			t.Run(a.Name+" of "+kind, func(t *testing.T) {
				target := newScriptedTarget(t, func(_ int, conn net.Conn, r *http.Request) (open bool) {
					return replyBroken(conn, a, fields, r)
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
	for _, a := range []broken.Answer{{Name: "status", StatusLine: "HTTP/1.1 000 Trouble"}, {Name: "name", Field: "X A: 1"}} {
		t.Run(a.Name, func(t *testing.T) {
			target := newScriptedTarget(t, func(_ int, conn net.Conn, r *http.Request) (open bool) {
				return replyBroken(conn, a, header.Outcome+": not-run\r\n", r)
			})
			r := newNodeFixture(t, target.addr())
			id, _ := mesh.NewRequestID()
			send := func() (got callerAnswer) {
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
		})
	}
}

// TestResetDuringUpload guards against a part of an answer that a caller gets as all of it, buffered or
// forwarded while it arrives, and against an upload that is sent again.
func TestResetDuringUpload(t *testing.T) {
	for _, size := range []int{0, 8 << 10, 2 << 20} {
		for _, pause := range []time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes/%v", size, pause), func(t *testing.T) {
				target := broken.NewUploadServer(t, broken.Upload{
					Head: func(r *http.Request) (text string) {
						return "HTTP/1.1 200 OK\r\n" + header.RequestID + ": " + r.Header.Get(header.RequestID) + "\r\n"
					},
					Size: size, Pause: pause, End: broken.Reset,
				})
				got := newNodeFixture(t, target.Addr).send(http.MethodPost, "/ledger/upload", make([]byte, uploadBytes))
				if got.failure == nil && (got.outcome != header.Unknown || got.code != header.AnswerLost) {
					t.Errorf("got %d bytes with the outcome %q (%s), want an answer that breaks off or %s, %s", len(got.body), got.outcome, got.code, header.Unknown, header.AnswerLost)
				}
				if got, want := target.Requests.Load(), int64(1); got != want {
					t.Errorf("got %d requests at the target, want %d", got, want)
				}
			})
		}
	}
}

// uploadBytes is the size of an upload that does not fit into the buffers of its connection.
const uploadBytes = 16 << 20

// TestAnswerOverHTTP10 guards against a part of an answer that an HTTP/1.0 caller takes for all of it, since
// its connection ends in the same way behind both.
func TestAnswerOverHTTP10(t *testing.T) {
	const size = 2 << 20
	for name, end := range map[string]broken.End{"cut": broken.Reset, "whole": broken.Close} {
		t.Run(name, func(t *testing.T) {
			target := broken.NewUploadServer(t, broken.Upload{
				Head: func(r *http.Request) (text string) {
					return "HTTP/1.1 200 OK\r\n" + header.RequestID + ": " + r.Header.Get(header.RequestID) + "\r\n"
				},
				Size: size, Pause: 60 * time.Millisecond, End: end, Whole: true,
			})
			n := newNodeFixture(t, target.Addr)
			answer, got, err := broken.Send(n.settings.CallerListen, "HTTP/1.0", http.MethodPost, "/ledger/pay", http.Header{"Authorization": {"Bearer key"}}, []byte("body"))
			switch {
			case end == broken.Close && (err != nil || answer.StatusCode != http.StatusOK || len(got) != size):
				t.Errorf("got %d bytes (%v), want all %d bytes", len(got), err, size)
			case end == broken.Reset && err == nil && answer.StatusCode == http.StatusOK:
				t.Errorf("got %d bytes as a whole answer, want an error", len(got))
			}
		})
	}
}

// TestResetOfNode guards against a part of another node's answer that is taken for all of it.
func TestResetOfNode(t *testing.T) {
	signer, err := wire.NewSigner(testSecret)
	if err != nil {
		t.Fatal(err)
	}
	configs := &configDuty{}
	configs.view.Store(&config.View{Version: 1})
	for _, size := range []int{0, 8 << 10, 2 << 20} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			call := newTestCall(5 * time.Second)
			peer := broken.NewUploadServer(t, broken.Upload{
				Head: func(*http.Request) (text string) {
					return "HTTP/1.1 200 OK\r\n" + header.Outcome + ": ran\r\n" + header.RequestID + ": " + call.ID.String() + "\r\n"
				},
				Size: size, Pause: 3 * time.Millisecond, End: broken.Reset,
			})
			client := &peerClient{transport: newTransport(0), signer: signer, config: configs}
			for range 5 {
				answer, _, refusal := client.SendCall(t.Context(), mesh.Endpoint{Host: peer.Addr}, call, &mesh.Payload{Method: http.MethodPost, Path: "/pay", Header: http.Header{}, Body: make([]byte, uploadBytes)})
				if refusal != nil {
					if refusal.Outcome != header.Unknown || refusal.Code != header.AnswerLost {
						t.Errorf("got %v, want %s, %s", refusal, header.Unknown, header.AnswerLost)
					}
					continue
				}
				got, err := io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				if err == nil {
					t.Errorf("got status %d and %d bytes, want an error", answer.Status, len(got))
				}
			}
		})
	}
}

// TestBrokenAnswersOfNodes guards against a broken answer of another node that is believed.
func TestBrokenAnswersOfNodes(t *testing.T) {
	signer, err := wire.NewSigner(testSecret)
	if err != nil {
		t.Fatal(err)
	}
	configs := &configDuty{}
	configs.view.Store(&config.View{Version: 1})
	for _, a := range broken.Answers {
		for kind, fields := range map[string]string{
			"answer":  header.Outcome + ": ran\r\n",
			"refusal": header.Outcome + ": not-run\r\n" + header.Code + ": overloaded\r\n",
		} {
			t.Run(a.Name+" of "+kind, func(t *testing.T) {
				call := newTestCall(time.Second)
				call.Route.Idempotent = true
				peer := broken.NewServer(t, a.Text("HTTP/1.1 200 OK", fields+header.RequestID+": "+call.ID.String()+"\r\n", "paid"))
				client := &peerClient{transport: newTransport(0), signer: signer, config: configs}
				for range 2 {
					answer, _, refusal := client.SendCall(t.Context(), mesh.Endpoint{Host: peer.Addr}, call, &mesh.Payload{Method: http.MethodPost, Path: "/pay", Header: http.Header{}})
					if refusal == nil || refusal.Outcome != header.Unknown || refusal.Code != header.AnswerLost {
						t.Errorf("got %+v, %v, want %s, %s", answer, refusal, header.Unknown, header.AnswerLost)
					}
				}
				if got, want := peer.Connections.Load(), int64(2); got != want {
					t.Errorf("got %d connections, want %d", got, want)
				}
			})
		}
	}
}

// TestBrokenControlAnswers guards against a broken answer to a control message that is believed.
func TestBrokenControlAnswers(t *testing.T) {
	for _, a := range broken.Answers {
		t.Run(a.Name, func(t *testing.T) {
			peer := broken.NewServer(t, a.Text("HTTP/1.1 200 OK", "Content-Type: application/protobuf\r\n", ""))
			client := &http.Client{Transport: newPeerBytes(new(expvar.Map)).controlTransport()}
			if got, err := wire.NewConfigProtobufClient(peerURL(peer.Addr), client).Compare(t.Context(), &wire.VersionReport{Version: 1}); err == nil {
				t.Errorf("got %v, want an error", got)
			}
		})
	}
}
