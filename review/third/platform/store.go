package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// snapshot is a copy of the store.
type snapshot struct {
	at      time.Time
	rows    map[rowKey]row
	history []row
	ver     uint64
}

// store is the platform's metadata store. It can be away, and come back from a copy.
type store struct {
	addr string

	mu      sync.Mutex
	state   snapshot
	era     uint64
	away    bool
	changed chan struct{}
	conns   map[net.Conn]bool
	began   time.Time
}

func startStore(addr string) (s *store, err error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s = &store{
		addr: l.Addr().String(), era: 1, changed: make(chan struct{}), conns: make(map[net.Conn]bool), began: time.Now(),
		state: snapshot{rows: make(map[rowKey]row)},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.commit)
	server := &http.Server{Handler: mux, ConnState: s.track}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// track closes connections that are opened while the store is away.
func (s *store) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
		if s.away {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// leave resets all connections and those to come, until restore or comeBack.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// copyNow returns a copy of what the store holds.
func (s *store) copyNow() (c snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{at: time.Now(), rows: maps.Clone(s.state.rows), history: slices.Clone(s.state.history), ver: s.state.ver}
}

// comeBack ends leave; with a copy, the store holds what that does, in a new era.
func (s *store) comeBack(c *snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if c == nil {
		return
	}
	s.state = snapshot{rows: maps.Clone(c.rows), history: slices.Clone(c.history), ver: c.ver}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does and returns its version.
func (s *store) put(key string, value []byte) (ver uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ver++
	s.write(row{Table: "op", Key: key, Value: value})
	return s.state.ver
}

// remove deletes a row as the operator does.
func (s *store) remove(key string) (ver uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ver++
	s.write(row{Table: "op", Key: key, Deleted: true})
	return s.state.ver
}

func (s *store) version() (ver uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ver
}

// systemRows returns the keys of the rows in the tables of the system.
func (s *store) systemRows() (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.state.rows {
		if k.table != "op" {
			keys = append(keys, k.table+"/"+k.part+"/"+k.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// write applies a change at the current version; mu is held.
func (s *store) write(r row) {
	r.Ver = s.state.ver
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.state.rows, k)
	} else {
		s.state.rows[k] = r
	}
	s.state.history = append(s.state.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

type page struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	HasMore bool     `json:"hasMore"`
	Ver     uint64   `json:"ver"`
	NowS    float64  `json:"nowS"`
}

// answer sends a page; mu is held.
func (s *store) answer(w http.ResponseWriter, status int, p page) {
	p.Ver, p.NowS = s.state.ver, time.Since(s.began).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	p := page{Rows: []row{}}
	for k, found := range s.state.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			p.Rows = append(p.Rows, found)
		}
	}
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, p)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Rows: []row{}, Parts: []string{}}
	for k := range s.state.rows {
		if k.table == r.URL.Query().Get("table") && !slices.Contains(p.Parts, k.part) {
			p.Parts = append(p.Parts, k.part)
		}
	}
	slices.Sort(p.Parts)
	s.answer(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil || wait > 30000 {
		http.Error(w, "after or waitMs", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		p, changed := page{Rows: []row{}}, s.changed
		if after > s.state.ver {
			s.answer(w, http.StatusGone, p)
			s.mu.Unlock()
			return
		}
		for _, found := range s.state.history {
			if found.Table == q.Get("table") && found.Ver > after {
				p.Rows = append(p.Rows, found)
			}
		}
		if len(p.Rows) > 0 || ended {
			s.answer(w, http.StatusOK, p)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, changed := range slices.Concat(t.Puts, t.Remove) {
		if changed.Table == "op" || changed.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	p, holds := page{Rows: []row{}}, true
	for _, expected := range t.Expected {
		current := s.state.rows[rowKey{expected.Table, expected.Part, expected.Key}]
		holds = holds && current.Ver == expected.Ver
		if current.Ver > 0 {
			p.Rows = append(p.Rows, current)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, p)
		return
	}
	s.state.ver++
	for _, put := range t.Puts {
		s.write(put)
	}
	for _, removed := range t.Remove {
		removed.Deleted, removed.Value = true, nil
		s.write(removed)
	}
	s.answer(w, http.StatusOK, page{Rows: []row{}})
}
