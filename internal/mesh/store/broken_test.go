package store

import (
	"errors"
	"testing"

	"github.com/quetzalstack/quetzalstack/internal/mesh"
	"github.com/quetzalstack/quetzalstack/internal/mesh/broken"
)

// TestBrokenAnswers guards against a broken answer of the platform that is believed: a write that took
// effect, a row, or one that does not exist.
func TestBrokenAnswers(t *testing.T) {
	for _, a := range broken.Answers {
		for _, c := range []struct {
			name, statusLine, body string
			call                   func(c *Client) (err error)
		}{
			{"commit", "HTTP/1.1 204 No Content", "", func(c *Client) (err error) {
				return c.Commit(t.Context(), []mesh.Write{{Key: "a"}})
			}},
			{"conflict", "HTTP/1.1 409 Conflict", `{"Key": "a", "Version": 2}`, func(c *Client) (err error) {
				return c.Commit(t.Context(), []mesh.Write{{Key: "a"}})
			}},
			{"row", "HTTP/1.1 200 OK", `{"Key": "a", "Version": 2}`, func(c *Client) (err error) {
				_, _, err = c.Read(t.Context(), "a")
				return err
			}},
			{"no row", "HTTP/1.1 404 Not Found", "", func(c *Client) (err error) {
				_, _, err = c.Read(t.Context(), "a")
				return err
			}},
			{"object", "HTTP/1.1 200 OK", "data", func(c *Client) (err error) {
				_, err = c.Get(t.Context(), "a")
				return err
			}},
		} {
			t.Run(a.Name+" of "+c.name, func(t *testing.T) {
				err := c.call(New(broken.NewServer(t, a.Text(c.statusLine, "", c.body)).Addr))
				if !errors.Is(err, mesh.ErrPlatformUnavailable) {
					t.Errorf("got %v, want %v", err, mesh.ErrPlatformUnavailable)
				}
			})
		}
	}
}

// TestOtherStatuses guards against an answer that is neither a success nor an error of the platform's
// protocol and counts as success, and against a redirection that the client follows.
func TestOtherStatuses(t *testing.T) {
	elsewhere := broken.NewServer(t, broken.Answer{}.Text("HTTP/1.1 200 OK", "", "{}"))
	for _, statusLine := range []string{
		"HTTP/1.1 201 Created", "HTTP/1.1 206 Partial Content", "HTTP/1.1 300 Multiple Choices", "HTTP/1.1 302 Found",
		"HTTP/1.1 304 Not Modified", "HTTP/1.1 307 Temporary Redirect",
	} {
		for _, location := range []string{"", "Location: http://" + elsewhere.Addr.String() + "/\r\n"} {
			c := New(broken.NewServer(t, broken.Answer{}.Text(statusLine, location, "")).Addr)
			if err := c.Commit(t.Context(), []mesh.Write{{Key: "a"}}); !errors.Is(err, mesh.ErrPlatformUnavailable) {
				t.Errorf("%s, %q: commit: got %v, want %v", statusLine, location, err, mesh.ErrPlatformUnavailable)
			}
			if _, _, err := c.Read(t.Context(), "a"); !errors.Is(err, mesh.ErrPlatformUnavailable) {
				t.Errorf("%s, %q: read: got %v, want %v", statusLine, location, err, mesh.ErrPlatformUnavailable)
			}
		}
	}
	if got, want := elsewhere.Requests.Load(), int64(0); got != want {
		t.Errorf("got %d requests elsewhere, want %d", got, want)
	}
}
