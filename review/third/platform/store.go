package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's metadata store. Each machine reaches it at an address of its own,
// by which the store tells machines apart.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	begun   time.Time
	handler http.Handler

	// changed is closed and replaced on each change.
	changed chan struct{}

	// away holds the machines that the store turns away, and waiting the number of calls of each machine
	// that wait for changes.
	away    map[string]bool
	waiting map[string]int
}

func newStore() (s *store) {
	s = &store{
		rows: make(map[rowKey]row), changed: make(chan struct{}), begun: time.Now(),
		away: make(map[string]bool), waiting: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.commit)
	s.handler = mux
	return s
}

type machineKey struct{}

// listen serves one machine at an address.
func (s *store) listen(machine, addr string) (err error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.turnsAway(machine) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), machineKey{}, machine)))
	}))
	return nil
}

func (s *store) turnsAway(machine string) (away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away[machine]
}

// turnAway replaces the machines that the store turns away. Their waiting calls end with 503.
func (s *store) turnAway(machines []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.away)
	for _, m := range machines {
		s.away[m] = true
	}
	s.notify()
}

// followers returns the machines that wait for changes.
func (s *store) followers() (machines []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for m, n := range s.waiting {
		if n > 0 {
			machines = append(machines, m)
		}
	}
	slices.Sort(machines)
	return machines
}

// put writes a row of the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: "op", Key: key, Value: value})
	s.notify()
}

// write applies a change at the current version; mu is held.
func (s *store) write(r row) {
	r.Ver = s.ver
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply writes an answer; mu is held.
func (s *store) reply(w http.ResponseWriter, status int, fields map[string]any) {
	fields["ver"], fields["nowS"] = s.ver, time.Since(s.begun).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(fields)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	rows := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": false})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && !slices.Contains(parts, k.part) {
			parts = append(parts, k.part)
		}
	}
	slices.Sort(parts)
	s.reply(w, http.StatusOK, map[string]any{"parts": parts, "hasMore": false})
}

// feed answers with the changes of a table as soon as there is one.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	machine, _ := r.Context().Value(machineKey{}).(string)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[machine]++
	defer func() { s.waiting[machine]-- }()
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for ended := false; ; {
		if s.away[machine] {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rows := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 || ended {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			ended = true // Nobody reads the answer.
		}
		s.mu.Lock()
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Puts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if now := s.rows[rowKey{e.Table, e.Part, e.Key}]; now.Ver != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{now}})
			return
		}
	}
	s.ver++
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, d := range t.Remove {
		d.Deleted = true
		s.write(d)
	}
	s.notify()
	s.reply(w, http.StatusOK, map[string]any{})
}
