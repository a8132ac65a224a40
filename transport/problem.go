package transport

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ProblemContentType is the media type of problem documents.
const ProblemContentType = "application/problem+json"

// WriteProblem answers with the problem document of err. key is the request's key,
// empty if it has none.
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

// maxProblemBytes is the size limit of a problem document.
const maxProblemBytes = 64 << 10

// ReadProblem returns the error that the response's problem document describes. It
// returns ErrTargetFailed if there is none.
func ReadProblem(resp *http.Response) error {
	var p protocol.Problem
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&p); err != nil || p.Type == "" {
		return protocol.ErrTargetFailed.New("response with status %d has no valid problem document", resp.StatusCode)
	}
	return p.Err()
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// RequireSecret passes on only requests that carry the secret as a bearer token.
func RequireSecret(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || !equalSecrets(token, secret) {
			WriteProblem(w, protocol.ErrUnauthorized.New("bearer token is missing or wrong"), "")
			return
		}
		next.ServeHTTP(w, r)
	})
}
