// Package wire defines the messages between nodes, generated from the .proto
// files in this directory, and the signatures that authenticate them.
package wire

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
)

// Errors for messages that are malformed or fail authentication.
var (
	ErrSignature = errors.New("signature does not match any secret of the fleet")
	ErrMalformed = errors.New("signed message is malformed")
	ErrStale     = errors.New("timestamp of signed message is outside the allowed clock skew")
)

const (
	signatureHeader = "Quetzal-Signature"

	// MinSecretBytes is the minimum length of a secret.
	MinSecretBytes = 16

	// maxClockSkew is the maximum clock skew between two nodes.
	maxClockSkew = time.Minute

	// maxControlBodyBytes is the maximum size of the body of a control-plane request.
	maxControlBodyBytes = 64 << 20
)

// Signer signs and verifies messages with the fleet's shared secrets (HMAC-SHA256). It
// signs with the first secret and accepts all of them, so that secrets can be rotated
// while nodes run.
type Signer struct {
	// secrets is never empty.
	secrets [][]byte
}

// NewSigner returns a signer that signs with the first of the secrets.
func NewSigner(secrets ...string) (s *Signer, err error) {
	if len(secrets) == 0 {
		return nil, errors.New("no secret is set")
	}
	s = new(Signer)
	for i, text := range secrets {
		if len(text) < MinSecretBytes {
			return nil, fmt.Errorf("secret %d has %d bytes; it must have at least %d", i+1, len(text), MinSecretBytes)
		}
		s.secrets = append(s.secrets, []byte(text))
	}
	return s, nil
}

func mac(secret []byte, parts ...[]byte) (sum []byte) {
	h := hmac.New(sha256.New, secret)
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

func (s *Signer) verify(sum []byte, parts ...[]byte) (err error) {
	for _, secret := range s.secrets {
		if hmac.Equal(sum, mac(secret, parts...)) {
			return nil
		}
	}
	return ErrSignature
}

// passContext provides domain separation: the signature of a pass is not valid for any
// other kind of message.
var passContext = []byte("quetzal-pass\x00")

// SignPass encodes and signs a pass as a header value.
func (s *Signer) SignPass(pass *Pass) (value string, err error) {
	data, err := proto.Marshal(pass)
	if err != nil {
		return "", fmt.Errorf("encode pass: %w", err)
	}
	sum := mac(s.secrets[0], passContext, data)
	return base64.RawURLEncoding.EncodeToString(data) + "." + base64.RawURLEncoding.EncodeToString(sum), nil
}

// VerifyPass verifies the signature of a header value and returns its pass.
func (s *Signer) VerifyPass(value string) (pass *Pass, err error) {
	left, right, _ := strings.Cut(value, ".")
	data, err1 := base64.RawURLEncoding.DecodeString(left)
	sum, err2 := base64.RawURLEncoding.DecodeString(right)
	if err1 != nil || err2 != nil {
		return nil, ErrMalformed
	}
	if err := s.verify(sum, passContext, data); err != nil {
		return nil, err
	}
	pass = new(Pass)
	if err := proto.Unmarshal(data, pass); err != nil {
		return nil, ErrMalformed
	}
	return pass, nil
}

// Transport is an http.RoundTripper that signs control-plane requests and sends them
// through Base.
type Transport struct {
	Signer *Signer
	Base   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (response *http.Response, err error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	signed := request.Clone(request.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	timestamp := strconv.FormatInt(time.Now().UnixNano(), 10)
	sum := mac(t.Signer.secrets[0], []byte(timestamp), []byte(request.URL.Path), body)
	// Nodes do not read these headers, which would be a fifth of the
	// control-plane traffic.
	signed.Header.Del("Accept")
	signed.Header.Del("Twirp-Version")
	signed.Header.Set("User-Agent", "")
	signed.Header.Set(signatureHeader, timestamp+"."+base64.RawURLEncoding.EncodeToString(sum))
	return t.Base.RoundTrip(signed)
}

// Verify returns middleware that calls next only for control-plane requests with a valid
// signature.
func (s *Signer) Verify(next http.Handler) (h http.Handler) {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := s.checkSignature(r, body); err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

func (s *Signer) checkSignature(r *http.Request, body []byte) (err error) {
	timestamp, text, _ := strings.Cut(r.Header.Get(signatureHeader), ".")
	sum, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return ErrMalformed
	}
	if err := s.verify(sum, []byte(timestamp), []byte(r.URL.Path), body); err != nil {
		return err
	}
	nanoseconds, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil {
		return ErrMalformed
	}
	if age := time.Since(time.Unix(0, nanoseconds)); age.Abs() > maxClockSkew {
		return ErrStale
	}
	return nil
}
