package accept

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestHeadLines guards against net/http refusing a head for its number of lines, for which the bounds
// of this package are set.
func TestHeadLines(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.MaxHeaderBytes = HardHeadBytes
	AllowHeadLines(s.Config)
	s.Start()
	t.Cleanup(s.Close)
	request, err := http.NewRequest(http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header["A"] = strings.Split(strings.Repeat(",", 5000), ",")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if got, want := response.StatusCode, http.StatusOK; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}
