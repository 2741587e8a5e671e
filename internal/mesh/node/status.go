package node

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzalstack/quetzalstack/pkg/header"
)

// statusOf returns the HTTP status that a node sends with a refusal code.
func statusOf(code header.RefusalCode) (status int) {
	switch code {
	case header.KeyMissing, header.KeyMalformed, header.KeyUnknown, header.KeyWithdrawn:
		return http.StatusUnauthorized
	case header.PassInvalid:
		return http.StatusForbidden
	case header.RouteUnknown, header.ServiceUnknown:
		return http.StatusNotFound
	case header.AlreadyClaimed, header.CallEnded:
		return http.StatusConflict
	case header.BodyBroken, header.RequestIDExpired, header.RequestIDMalformed, header.TimeoutMalformed:
		return http.StatusBadRequest
	case header.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case header.RateExceeded:
		return http.StatusTooManyRequests
	case header.AnswerLost:
		return http.StatusBadGateway
	case header.CallerLeft, header.DeadlineExceeded:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// retryAfter returns the value of a Retry-After header: the delay in seconds,
// rounded up.
func retryAfter(delay time.Duration) (text string) {
	return strconv.Itoa(int(math.Ceil(delay.Seconds())))
}
