package beat

import (
	"net/netip"
	"testing"
	"time"
)

// TestAskSurvivesEncoding guards against asks and verdicts that change on the wire.
func TestAskSurvivesEncoding(t *testing.T) {
	ask := Ask{ID: 7, From: netip.MustParseAddrPort("10.0.0.1:7000"), Organisation: "a"}
	data, err := EncodeAsk(&ask)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeAsk(data); err != nil || *got != ask || !IsAsk(data) || IsVerdict(data) {
		t.Errorf("got %+v (%v), want %+v", got, err, ask)
	}
	verdict := Verdict{ID: 7, Known: true, RetryAfter: 1500 * time.Millisecond}
	if data, err = EncodeVerdict(&verdict); err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeVerdict(data); err != nil || *got != verdict || !IsVerdict(data) || IsAsk(data) {
		t.Errorf("got %+v (%v), want %+v", got, err, verdict)
	}
}

// TestBadAsks guards against asks and verdicts that are cut, oversized or of another kind.
func TestBadAsks(t *testing.T) {
	ask, err := EncodeAsk(&Ask{ID: 7, From: netip.MustParseAddrPort("10.0.0.1:7000"), Organisation: "a"})
	if err != nil {
		t.Fatal(err)
	}
	verdict, err := EncodeVerdict(&Verdict{ID: 7, RetryAfter: -time.Second})
	if err != nil {
		t.Fatal(err)
	}
	nowhere, err := EncodeAsk(&Ask{ID: 7, Organisation: "a"})
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		"nothing": nil, "no message": ask[:1], "cut": ask[:len(ask)-1], "oversized": append(ask, make([]byte, MaxAskBytes)...),
		"another kind": verdict, "no sender": nowhere,
	} {
		if got, err := DecodeAsk(data); err == nil {
			t.Errorf("ask, %s: got %+v, want an error", name, got)
		}
	}
	for name, data := range map[string][]byte{"nothing": nil, "cut": verdict[:len(verdict)-1], "another kind": ask, "negative time": verdict} {
		if got, err := DecodeVerdict(data); err == nil {
			t.Errorf("verdict, %s: got %+v, want an error", name, got)
		}
	}
	if got, err := Decode(time.Now(), ask); err == nil {
		t.Errorf("heartbeat: got %+v from an ask, want an error", got)
	}
}
