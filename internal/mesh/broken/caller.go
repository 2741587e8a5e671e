package broken

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// callerTimeout bounds what an HTTP/1.0 caller waits for its answer.
const callerTimeout = 10 * time.Second

// SendHTTP10 sends a request over HTTP/1.0, where an answer without a length ends with its connection.
// An error means that no answer came, or that the caller sees that the answer was cut.
func SendHTTP10(addr netip.AddrPort, method, path string, header http.Header, body []byte) (answer *http.Response, got []byte, err error) {
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return nil, nil, err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.0\r\nContent-Length: %d\r\n", method, path, len(body))
	if err := header.Write(&text); err != nil {
		return nil, nil, err
	}
	text.WriteString("\r\n")
	text.Write(body)
	if _, err := c.Write(text.Bytes()); err != nil {
		return nil, nil, err
	}
	if answer, err = http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	got, err = io.ReadAll(answer.Body)
	return answer, got, err
}
