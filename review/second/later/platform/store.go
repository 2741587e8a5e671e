package main

import (
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

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	begun   time.Time
	handler http.Handler

	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newStore() (s *store) {
	s = &store{rows: make(map[rowKey]row), changed: make(chan struct{}), begun: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.commit)
	s.handler = mux
	return s
}

// listen serves the store at an address.
func (s *store) listen(addr string) (err error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go http.Serve(l, s.handler)
	return nil
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
	s.mu.Lock()
	defer s.mu.Unlock()
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for ended := false; ; {
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
