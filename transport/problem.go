package transport

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ProblemContentType is the media type of problem documents.
const ProblemContentType = "application/problem+json"

// WriteProblem answers with the problem document of err. The key names the
// request where it has one.
func WriteProblem(w http.ResponseWriter, err error, key string) {
	p := protocol.ProblemOf(err)
	p.Key = key
	w.Header().Set("Content-Type", ProblemContentType)
	if p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(protocol.RetryAfter(err).Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// ReadProblem reads the error that a problem document describes.
func ReadProblem(resp *http.Response) error {
	var p protocol.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil || p.Type == "" {
		return protocol.ErrTargetFailed.New("status %d without a problem document", resp.StatusCode)
	}
	return p.Err()
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// RequireSecret lets only requests through that carry the secret as a bearer token.
func RequireSecret(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || !equalSecrets(token, secret) {
			WriteProblem(w, protocol.ErrUnauthorized.New("the secret is missing or wrong"), "")
			return
		}
		next.ServeHTTP(w, r)
	})
}
