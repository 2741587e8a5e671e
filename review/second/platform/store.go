package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
}

type page struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	HasMore bool     `json:"hasMore"`
	Ver     uint64   `json:"ver"`
	Now     float64  `json:"nowS"`
}

// store is a stand-in for the platform's store without faults. Rows are never removed.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]row
	history []row
	ver     uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: make(map[[3]string]row), changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: "op", Key: key, Value: value})
	s.notify()
}

func (s *store) write(r row) {
	r.Ver = s.ver
	s.rows[[3]string{r.Table, r.Part, r.Key}] = r
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) page() page { return page{Ver: s.ver, Now: time.Since(s.started).Seconds()} }

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		s.mu.Lock()
		p := s.page()
		for k, found := range s.rows {
			if k[0] == q.Get("table") && k[1] == q.Get("part") && k[2] >= q.Get("from") {
				p.Rows = append(p.Rows, found)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
		answer(w, http.StatusOK, p)
	case "/rows-parts":
		s.mu.Lock()
		p := s.page()
		for k := range s.rows {
			if k[0] == q.Get("table") && !slices.Contains(p.Parts, k[1]) {
				p.Parts = append(p.Parts, k[1])
			}
		}
		s.mu.Unlock()
		slices.Sort(p.Parts)
		answer(w, http.StatusOK, p)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p, changed := s.page(), s.changed
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				p.Rows = append(p.Rows, h)
			}
		}
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if current := s.rows[[3]string{e.Table, e.Part, e.Key}]; current.Ver != e.Ver {
			p := s.page()
			p.Rows = []row{current}
			answer(w, http.StatusPreconditionFailed, p)
			return
		}
	}
	s.ver++
	for _, p := range t.Puts {
		s.write(p)
	}
	s.notify()
	answer(w, http.StatusOK, s.page())
}
