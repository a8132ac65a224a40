package protocol

import (
	"time"

	"github.com/joomcode/errorx"
)

var propertyRetryAfter = errorx.RegisterProperty("retry after")

// NewQuotaExceeded returns an ErrQuota for a workspace that has used its rate up
// until wait has passed.
func NewQuotaExceeded(workspace string, perSecond float64, wait time.Duration) error {
	return ErrQuotaExceeded.New("workspace %q has used up its %g requests a second", workspace, perSecond).
		WithProperty(propertyRetryAfter, wait)
}

// RetryAfter returns the time after which a refused request may be sent again:
// the one that err carries, and RetryAfterBusy where it carries none.
func RetryAfter(err error) time.Duration {
	if value, found := errorx.ExtractProperty(err, propertyRetryAfter); found {
		return value.(time.Duration)
	}
	return RetryAfterBusy
}
