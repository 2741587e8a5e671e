package link

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrBrokenAnswer means that the remote end sent a broken answer, or bytes that belong to no answer or
// to another one. What it did with the request is not known then.
var ErrBrokenAnswer = errors.New("the answer is broken or mixed with bytes that do not belong to it")

// statusLine is the beginning of a status line up to its version's minor digit. The status follows from
// statusAt to statusEnd.
const (
	statusLine = "HTTP/1."
	statusAt   = len(statusLine) + len("1 ")
	statusEnd  = statusAt + len("200")
)

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// checkHead waits for the head of the next answer and checks it, without consuming it. The head of
// an answer follows the remains of an earlier one where the remote end broke off a copy of that: so
// a head has one status line, at its beginning and of exact form, and neither fields that contradict
// each other nor a second status line in any of them.
func (c *conn) checkHead() (err error) {
	head, err := c.peekHead()
	if err != nil {
		return err
	}
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	if !isStatusLine(trimCR(line)) {
		return fmt.Errorf("%w: it begins with %.40q", ErrBrokenAnswer, line)
	}
	if holdsStatusLine(rest) || holdsStatusLine(line[len(statusLine):]) {
		return fmt.Errorf("%w: its head holds two status lines", ErrBrokenAnswer)
	}
	return checkFields(rest, line[len(statusLine)])
}

// peekHead returns the head of the next answer, with the empty line that ends it.
func (c *conn) peekHead() (head []byte, err error) {
	checked := 0
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if end := headEnd(buffered, checked); end > 0 {
			return buffered[:end], nil
		}
		checked = len(buffered)
		if checked == c.reader.Size() {
			// The wider buffer reads on from this one.
			c.reader = bufio.NewReaderSize(c.reader, 2*checked)
			c.wide = true
		}
		if _, err := c.reader.Peek(checked + 1); err != nil {
			if checked > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// headEnd returns the size of the head in data, or 0 when it does not end there. The first checked
// bytes hold no end.
func headEnd(data []byte, checked int) (size int) {
	// An end that begins among the checked bytes has at most three bytes there.
	from := max(0, checked-3)
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		switch rest := data[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
}

func trimCR(line []byte) (trimmed []byte) { return bytes.TrimSuffix(line, []byte("\r")) }

// isStatusLine reports whether a line without its end is a status line of HTTP/1.0 or 1.1.
func isStatusLine(line []byte) bool {
	if !startsStatusLine(line) || !isStatusClass(line[statusAt]) {
		return false
	}
	reason := line[statusEnd:]
	return len(reason) == 0 || reason[0] == ' ' && validValue(reason)
}

// isStatusClass reports whether b is the first digit of a status.
func isStatusClass(b byte) bool { return b >= '1' && b <= '0'+maxStatus/100 }

// startsStatusLine reports whether data begins with a version and three digits. In the midst of an
// answer that is the beginning of another one even where the digits are no status.
func startsStatusLine(data []byte) bool {
	if len(data) < statusEnd || !bytes.HasPrefix(data, []byte(statusLine)) {
		return false
	}
	version, status := data[len(statusLine)], data[statusAt:statusEnd]
	return (version == '0' || version == '1') && data[statusAt-1] == ' ' && isDigit(status[0]) && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// HoldsStatusLine reports whether an answer with the text in a field would be taken for two answers.
func HoldsStatusLine(text string) bool { return holdsStatusLine([]byte(text)) }

// holdsStatusLine reports whether a version and three digits stand anywhere in data.
func holdsStatusLine(data []byte) bool {
	for {
		i := bytes.Index(data, []byte(statusLine))
		if i < 0 {
			return false
		}
		data = data[i:]
		if startsStatusLine(data) {
			return true
		}
		data = data[len(statusLine):]
	}
}

// checkFields checks the lines of a head behind its status line, which has that minor version.
func checkFields(lines []byte, minor byte) (err error) {
	lengths, codings := 0, 0
	for {
		line, rest, _ := bytes.Cut(lines, []byte("\n"))
		line = trimCR(line)
		if len(line) == 0 {
			break
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !validName(name) || !validValue(value) {
			return fmt.Errorf("%w: its head has the line %.40q", ErrBrokenAnswer, line)
		}
		switch {
		case isField(name, "Content-Length"):
			lengths++
		case isField(name, "Transfer-Encoding"):
			codings++
		}
		lines = rest
	}
	if minor == '0' && codings > 0 {
		return fmt.Errorf("%w: it is of HTTP/1.0, which has no Transfer-Encoding", ErrBrokenAnswer)
	}
	if lengths+codings > 1 {
		return fmt.Errorf("%w: its head states the length %d times", ErrBrokenAnswer, lengths+codings)
	}
	return nil
}

// isField reports whether name is that of the field.
func isField(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}

// tokens and values say which bytes the name and the value of a field may hold.
var tokens, values = fieldBytes()

func fieldBytes() (tokens, values [256]bool) {
	for b := range tokens {
		tokens[b] = httpguts.IsTokenRune(rune(b))
		// A carriage return in a value is the end of a line whose rest was cut off.
		values[b] = b == '\t' || b >= ' ' && b != 0x7f
	}
	return tokens, values
}

// validName reports whether the name of a field is a token.
func validName(name []byte) bool { return len(name) > 0 && holdsOnly(name, &tokens) }

// validValue reports whether the value of a field holds no control characters but tabs.
func validValue(value []byte) bool { return holdsOnly(value, &values) }

func holdsOnly(data []byte, allowed *[256]bool) bool {
	for _, b := range data {
		if !allowed[b] {
			return false
		}
	}
	return true
}

// skipBody reads and drops the body of an answer to another request. Where that was broken off, what
// follows stands in place of its rest, which may never come.
func skipBody(body io.Reader) (err error) {
	var data []byte
	for chunk := make([]byte, readBuffer); ; {
		n, err := body.Read(chunk)
		// A status line may begin at the end of what was read before.
		from := max(0, len(data)-statusEnd)
		data = append(data, chunk[:n]...)
		if holdsStatusLine(data[from:]) {
			return fmt.Errorf("%w: the body of an answer to another request holds a status line", ErrBrokenAnswer)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
