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

// callerTimeout is how long a caller waits for its answer.
const callerTimeout = 10 * time.Second

// Protocols are the versions of HTTP that callers use. With the first, an answer without a length ends
// with its connection.
var Protocols = []string{"HTTP/1.0", "HTTP/1.1"}

// Send sends a request on a connection of its own. An error means that no answer came, or that the caller
// sees that the answer was cut.
func Send(addr netip.AddrPort, protocol, method, path string, header http.Header, body []byte) (answer *http.Response, got []byte, err error) {
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		return nil, nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return nil, nil, err
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s %s\r\nContent-Length: %d\r\n", method, path, protocol, len(body))
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
