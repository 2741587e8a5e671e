//go:build go1.27

package accept

import "net/http"

// AllowHeadLines lets a head have as many lines as its bytes allow. From Go 1.27 on net/http takes 500
// by default.
func AllowHeadLines(s *http.Server) { s.MaxHeaderValueCount = s.MaxHeaderBytes / shortestLine }
