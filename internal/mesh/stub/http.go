package stub

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
)

// maxList is the maximum number of rows in an answer.
const maxList = 10_000

// Handler returns the HTTP interface of the platform, which is described in
// docs/platform.md. In addition, faults are injected at /faults and request counters
// are served at /counts.
func (s *Stub) Handler() (h http.Handler) {
	e := echo.New()
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	e.PUT("/faults", s.serveFaults)
	e.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	e.GET("/table/rows/:key", s.serveRead)
	e.GET("/table/rows", s.serveList)
	e.POST("/table/commit", s.serveCommit)
	e.GET("/objects/:name", s.serveGet)
	e.PUT("/objects/:name", s.servePut)
	return e
}

func (s *Stub) serveFaults(c echo.Context) (err error) {
	var f Faults
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// writeError answers with the status that the protocol defines for the error. For a
// lost answer, it closes the connection without an answer.
func writeError(c echo.Context, err error) error {
	var conflict *mesh.ConflictError
	switch {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, conflict.Current)
	case errors.Is(err, errAnswerLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errRateLimited):
		c.Response().Header().Set("Retry-After", "1")
		return echo.NewHTTPError(http.StatusTooManyRequests, "request rate limit exceeded")
	case errors.Is(err, errUnavailable):
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the platform is unavailable")
	case errors.Is(err, mesh.ErrObjectNotFound):
		return echo.NewHTTPError(http.StatusNotFound, "no such object")
	default:
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
}

func (s *Stub) serveRead(c echo.Context) (err error) {
	row, found, err := s.Read(c.Request().Context(), unescape(c.Param("key")))
	switch {
	case err != nil:
		return writeError(c, err)
	case !found:
		return echo.NewHTTPError(http.StatusNotFound, "no such row")
	}
	return c.JSON(http.StatusOK, row)
}

func (s *Stub) serveList(c echo.Context) (err error) {
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit < 1 || limit > maxList {
		return echo.NewHTTPError(http.StatusBadRequest, "limit must be from 1 to "+strconv.Itoa(maxList))
	}
	rows, err := s.List(c.Request().Context(), c.QueryParam("prefix"), c.QueryParam("after"), limit)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, rows)
}

func (s *Stub) serveCommit(c echo.Context) (err error) {
	var writes []mesh.Write
	if err := json.NewDecoder(c.Request().Body).Decode(&writes); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if err := s.Commit(c.Request().Context(), writes); err != nil {
		return writeError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Stub) serveGet(c echo.Context) (err error) {
	data, err := s.Get(c.Request().Context(), unescape(c.Param("name")))
	if err != nil {
		return writeError(c, err)
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *Stub) servePut(c echo.Context) (err error) {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	if err := s.Put(c.Request().Context(), unescape(c.Param("name")), data); err != nil {
		return writeError(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

// unescape decodes a path parameter, which the router leaves percent-encoded.
func unescape(parameter string) (text string) {
	text, err := url.PathUnescape(parameter)
	if err != nil {
		return parameter
	}
	return text
}
