package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's metadata store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's metadata store. It is always up and keeps its whole
// history.
type store struct {
	addr string

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
	began   time.Time
}

func startStore() (s *store, err error) {
	s = &store{rows: make(map[rowKey]row), changed: make(chan struct{}), began: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("POST /rows-tx", s.commit)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row of the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.write(row{Table: "op", Key: key, Value: value})
}

func (s *store) write(r row) {
	r.Ver = s.ver
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
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

func (s *store) reply(w http.ResponseWriter, status int, p page) {
	p.Ver, p.NowS = s.ver, time.Since(s.began).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	p := page{Rows: []row{}}
	for k, found := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") {
			p.Rows = append(p.Rows, found)
		}
	}
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.reply(w, http.StatusOK, p)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Rows: []row{}}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && !slices.Contains(p.Parts, k.part) {
			p.Parts = append(p.Parts, k.part)
		}
	}
	slices.Sort(p.Parts)
	s.reply(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p, changed := page{Rows: []row{}}, s.changed
		for _, old := range s.history {
			if old.Table == q.Get("table") && old.Ver > after {
				p.Rows = append(p.Rows, old)
			}
		}
		ended := len(p.Rows) > 0
		select {
		case <-timer.C:
			ended = true
		default:
		}
		if ended {
			s.reply(w, http.StatusOK, p)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			timer.Reset(0)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected, Puts, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if current := s.rows[rowKey{e.Table, e.Part, e.Key}]; current.Ver != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, page{Rows: []row{current}})
			return
		}
	}
	s.ver++
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, p := range t.Remove {
		p.Deleted = true
		s.write(p)
	}
	s.reply(w, http.StatusOK, page{Rows: []row{}})
}
