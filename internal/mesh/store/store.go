// Package store implements the HTTP client of the platform's table service and
// object store. The protocol is described in docs/platform.md.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/link"
)

// maxBody is the maximum size of an answer in bytes.
const maxBody = 64 << 20

// Client implements mesh.Platform over HTTP.
type Client struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each request to the platform.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client for the platform at addr.
func New(addr netip.AddrPort, options ...Option) (c *Client) {
	c = &Client{base: "http://" + addr.String(), timeout: 2 * time.Second}
	for _, o := range options {
		o(c)
	}
	c.client = &http.Client{
		Transport: link.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}),
		// The platform redirects nobody.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Read implements mesh.Table.
func (c *Client) Read(ctx context.Context, key string) (row mesh.Row, found bool, err error) {
	err = c.do(ctx, http.MethodGet, "/table/rows/"+url.PathEscape(key), nil, &row)
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		return mesh.Row{}, false, nil
	}
	return row, err == nil, err
}

// List implements mesh.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (rows []mesh.Row, err error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err = c.do(ctx, http.MethodGet, "/table/rows?"+query.Encode(), nil, &rows)
	return rows, err
}

// Commit implements mesh.Table.
func (c *Client) Commit(ctx context.Context, writes []mesh.Write) (err error) {
	body, err := json.Marshal(writes)
	if err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	err = c.do(ctx, http.MethodPost, "/table/commit", body, nil)
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusConflict {
		conflict := new(mesh.ConflictError)
		if err := json.Unmarshal(status.body, &conflict.Current); err != nil {
			return fmt.Errorf("commit: malformed row in a conflict answer: %w", err)
		}
		return conflict
	}
	return err
}

// Get implements mesh.Objects.
func (c *Client) Get(ctx context.Context, name string) (data []byte, err error) {
	err = c.do(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &data)
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		return nil, mesh.ErrObjectNotFound
	}
	return data, err
}

// Put implements mesh.Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) (err error) {
	return c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), data, nil)
}

// statusError is an answer of the platform with an error status.
type statusError struct {
	status int
	body   []byte
}

func (e *statusError) Error() string {
	return fmt.Sprintf("platform answered with status %d: %.200s", e.status, e.body)
}

// do sends one request and decodes its answer. Network errors, the status 429 and all statuses
// but 200, 204 and 4xx are reported as mesh.ErrPlatformUnavailable.
func (c *Client) do(ctx context.Context, method, path string, body []byte, answer any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s: %w", method, path, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", mesh.ErrPlatformUnavailable, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", mesh.ErrPlatformUnavailable, err)
	case response.StatusCode == http.StatusOK, response.StatusCode == http.StatusNoContent:
		return decode(data, answer)
	case response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError && response.StatusCode != http.StatusTooManyRequests:
		return &statusError{status: response.StatusCode, body: data}
	default:
		return fmt.Errorf("%w: %w", mesh.ErrPlatformUnavailable, &statusError{status: response.StatusCode, body: data})
	}
}

// decode stores the body of an answer, unchanged in a *[]byte and decoded from JSON otherwise.
func decode(data []byte, answer any) (err error) {
	switch a := answer.(type) {
	case nil:
		return nil
	case *[]byte:
		*a = data
		return nil
	default:
		return json.Unmarshal(data, a)
	}
}
