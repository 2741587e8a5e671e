// Package stub is a stand-in for the platform's table service and object
// store, for demos and tests. It keeps everything in memory.
package stub

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// Faults are the failures that the stand-in shows.
type Faults struct {
	// Down makes every request fail before it takes effect.
	Down bool `json:"down"`

	// Delay is added to every request.
	Delay time.Duration `json:"delay"`

	// LoseAnswers is how many writes take effect without an answer.
	LoseAnswers int `json:"lose-answers"`
}

// Stub is a platform in memory.
type Stub struct {
	mu sync.Mutex

	// sequence numbers row versions over all rows, so that a row that is
	// deleted and made again never repeats a version.
	sequence uint64

	rows    map[string]mesh.Row
	objects map[string][]byte
	faults  Faults
	counts  Counts
}

// Counts are the requests that took effect.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// New returns an empty platform.
func New() (s *Stub) {
	return &Stub{rows: make(map[string]mesh.Row), objects: make(map[string][]byte)}
}

// Handler returns the platform's HTTP interface, with its fault switches at
// /faults and its counters at /counts.
func (s *Stub) Handler() (h http.Handler) {
	e := echo.New()
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.currentFaults()) })
	e.PUT("/faults", s.setFaults)
	e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	g := e.Group("", s.inject)
	g.GET("/table/rows/:key", s.read)
	g.GET("/table/rows", s.list)
	g.POST("/table/commit", s.commit)
	g.GET("/objects/:name", s.get)
	g.PUT("/objects/:name", s.put)
	return e
}

// SetFaults switches failures on and off.
func (s *Stub) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns how many requests took effect.
func (s *Stub) Counts() (counts Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Stub) currentFaults() (f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Stub) setFaults(c echo.Context) (err error) {
	var f Faults
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// inject applies the faults to a request.
func (s *Stub) inject(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		f := s.currentFaults()
		time.Sleep(f.Delay)
		if f.Down {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "the platform is down")
		}
		return next(c)
	}
}

// loses reports whether the answer of a write is to be lost.
func (s *Stub) loses() (lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Stub) read(c echo.Context) (err error) {
	s.mu.Lock()
	s.counts.Reads++
	row, found := s.rows[unescape(c.Param("key"))]
	s.mu.Unlock()
	if !found {
		return echo.NewHTTPError(http.StatusNotFound, "no such row")
	}
	return c.JSON(http.StatusOK, row)
}

func (s *Stub) list(c echo.Context) (err error) {
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit < 1 {
		return echo.NewHTTPError(http.StatusBadRequest, "limit must be at least 1")
	}
	s.mu.Lock()
	s.counts.Reads++
	rows := []mesh.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, c.QueryParam("prefix")) && key > c.QueryParam("after") {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b mesh.Row) int { return strings.Compare(a.Key, b.Key) })
	return c.JSON(http.StatusOK, rows[:min(limit, len(rows))])
}

func (s *Stub) commit(c echo.Context) (err error) {
	var writes []mesh.Write
	if err := json.NewDecoder(c.Request().Body).Decode(&writes); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if current, conflict := s.apply(writes); conflict {
		return c.JSON(http.StatusConflict, current)
	}
	if s.loses() {
		panic(http.ErrAbortHandler)
	}
	return c.NoContent(http.StatusNoContent)
}

// apply commits all writes or returns the first row whose condition fails.
func (s *Stub) apply(writes []mesh.Write) (current mesh.Row, conflict bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		row, found := s.rows[w.Key]
		switch {
		case w.Condition == mesh.IfAbsent && found,
			w.Condition == mesh.IfVersion && row.Version != w.Version:
			row.Key = w.Key
			return row, true
		}
	}
	s.counts.Writes++
	for _, w := range writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.sequence++
		s.rows[w.Key] = mesh.Row{Key: w.Key, Value: w.Value, Version: s.sequence}
	}
	return mesh.Row{}, false
}

func (s *Stub) get(c echo.Context) (err error) {
	s.mu.Lock()
	s.counts.Reads++
	data, found := s.objects[unescape(c.Param("name"))]
	s.mu.Unlock()
	if !found {
		return echo.NewHTTPError(http.StatusNotFound, "no such object")
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *Stub) put(c echo.Context) (err error) {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.counts.Writes++
	s.objects[unescape(c.Param("name"))] = data
	s.mu.Unlock()
	if s.loses() {
		panic(http.ErrAbortHandler)
	}
	return c.NoContent(http.StatusNoContent)
}

// unescape undoes the escaping that the router leaves in a path parameter.
func unescape(parameter string) (text string) {
	text, err := url.PathUnescape(parameter)
	if err != nil {
		return parameter
	}
	return text
}
