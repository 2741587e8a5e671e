package link

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// Transport is an http.RoundTripper that rejects broken answers. net/http believes any three digits to
// be a status, and a name that holds blanks to be that of a field.
type Transport struct{ Base *http.Transport }

// RoundTrip implements http.RoundTripper. The connection of a broken answer is closed: what follows on
// it may be the rest of that answer.
func (t *Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	var c net.Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { c = info.Conn },
	})
	response, err = t.Base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		_ = c.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// checkResponse checks the status and the names of the fields of a final answer.
func checkResponse(r *http.Response) (err error) {
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: its status is %.40q", ErrBrokenAnswer, r.Status)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: its head has the name %.40q", ErrBrokenAnswer, name)
		}
	}
	return nil
}
