//go:build !go1.27

package accept

import "net/http"

// AllowHeadLines lets a head have as many lines as its bytes allow, as net/http does before Go 1.27.
func AllowHeadLines(*http.Server) {}
