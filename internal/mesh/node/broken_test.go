package node

import (
	"expvar"
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
