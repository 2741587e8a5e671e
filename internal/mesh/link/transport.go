package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// Transport is an http.RoundTripper that rejects broken answers. net/http believes any three digits to
// be a status, a name that holds blanks to be that of a field, and any end of file to be the end of a body.
type Transport struct {
	// base opens connections with strictConn as the innermost layer.
	base *http.Transport
}

// TransportOption configures a Transport that NewTransport creates.
type TransportOption func(*Transport)

// WithConn wraps each connection of the transport with wrap, outside the wrappers of earlier options.
func WithConn(wrap func(c net.Conn) (wrapped net.Conn)) TransportOption {
	return func(t *Transport) {
		dial := t.base.DialContext
		t.base.DialContext = func(ctx context.Context, network, address string) (c net.Conn, err error) {
			if c, err = dial(ctx, network, address); err != nil {
				return nil, err
			}
			return wrap(c), nil
		}
	}
}

// NewTransport returns a transport that sends requests with base, which it owns from then on.
func NewTransport(base *http.Transport, options ...TransportOption) (t *Transport) {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (c net.Conn, err error) {
		strict, err := dialStrict(ctx, dial, network, address)
		if err != nil {
			return nil, err
		}
		return strict, nil
	}
	t = &Transport{base: base}
	for _, o := range options {
		o(t)
	}
	return t
}

// RoundTrip implements http.RoundTripper. The connection of a broken answer is closed: what follows on
// it may be the rest of that answer.
func (t *Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	var c net.Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { c = info.Conn },
	})
	response, err = t.base.RoundTrip(request.WithContext(ctx))
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

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

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
