package store

import (
	"errors"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/stub"
)

// newClient starts a stub platform on loopback and returns a client for it.
func newClient(t *testing.T, options ...stub.Option) (c *Client, s *stub.Stub) {
	t.Helper()
	s = stub.New(options...)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return New(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))), s
}

// TestClient guards against a client that does not follow the platform's protocol, such
// as one that treats a missing row or a conflict as another error.
func TestClient(t *testing.T) {
	c, _ := newClient(t)
	ctx := t.Context()
	key := "zone/a b/1"
	if _, found, err := c.Read(ctx, key); found || err != nil {
		t.Errorf("absent row: got %t and %v, want none", found, err)
	}
	if err := c.Commit(ctx, []mesh.Write{{Key: key, Value: []byte{0, 255}, Condition: mesh.IfAbsent}, {Key: "zone/b"}}); err != nil {
		t.Fatal(err)
	}
	row, found, err := c.Read(ctx, key)
	if !found || err != nil || string(row.Value) != "\x00\xff" || row.Version == 0 {
		t.Errorf("row: got %+v, %t and %v, want its value", row, found, err)
	}
	var conflict *mesh.ConflictError
	err = c.Commit(ctx, []mesh.Write{{Key: "new"}, {Key: key, Condition: mesh.IfVersion, Version: row.Version + 1}})
	if !errors.As(err, &conflict) || conflict.Current.Version != row.Version || conflict.Current.Key != key {
		t.Errorf("conflict: got %v, want the row at version %d", err, row.Version)
	}
	if _, found, _ := c.Read(ctx, "new"); found {
		t.Error("other write of a rejected transaction: got a row, want none")
	}
	rows, err := c.List(ctx, "zone/", key, 10)
	if err != nil || len(rows) != 1 || rows[0].Key != "zone/b" {
		t.Errorf("list: got %v and %v, want zone/b", rows, err)
	}
	if _, err := c.Get(ctx, "o"); !errors.Is(err, mesh.ErrObjectNotFound) {
		t.Errorf("absent object: got %v, want %v", err, mesh.ErrObjectNotFound)
	}
	if err := c.Put(ctx, "o/1", []byte("data")); err != nil {
		t.Fatal(err)
	}
	if data, err := c.Get(ctx, "o/1"); string(data) != "data" || err != nil {
		t.Errorf("object: got %q and %v, want data", data, err)
	}
}

// TestClientUnavailable guards against a failure of the platform that is treated as a
// definite result.
func TestClientUnavailable(t *testing.T) {
	c, s := newClient(t, stub.WithLimits(2, 1000))
	for _, test := range []struct {
		name   string
		faults stub.Faults
	}{
		{"down", stub.Faults{Down: true}},
		{"answer lost", stub.Faults{LoseAnswers: 1}},
		{"late", stub.Faults{LateWrites: 1}},
		{"above the limit", stub.Faults{}},
	} {
		s.SetFaults(test.faults)
		if err := c.Put(t.Context(), "o", nil); !errors.Is(err, mesh.ErrPlatformUnavailable) {
			t.Errorf("%s: got %v, want %v", test.name, err, mesh.ErrPlatformUnavailable)
		}
	}
}
