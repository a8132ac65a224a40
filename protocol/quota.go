package protocol

import (
	"time"

	"github.com/joomcode/errorx"
)

var propertyRetryAfter = errorx.RegisterProperty("retry after")

// NewQuotaExceeded returns an ErrQuotaExceeded for a workspace whose next request is
// admitted after wait.
func NewQuotaExceeded(workspace string, perSecond float64, wait time.Duration) error {
	return ErrQuotaExceeded.New("workspace %q exceeds its quota of %g requests per second", workspace, perSecond).
		WithProperty(propertyRetryAfter, wait)
}

// RetryAfter returns the time after which a refused request may be retried: the
// one that err carries, or RetryAfterBusy if it carries none.
func RetryAfter(err error) time.Duration {
	if value, found := errorx.ExtractProperty(err, propertyRetryAfter); found {
		return value.(time.Duration)
	}
	return RetryAfterBusy
}
