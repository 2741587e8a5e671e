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
