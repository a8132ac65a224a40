package protocol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"
)

// maxCauseDepth is the maximum number of links of an error chain that are examined.
const maxCauseDepth = 8

// Cause describes an error for a log line: the types along its chain and the
// operating system's reason. It contains no message, URL or body, because those
// may hold a caller's data. It is a separate type so that an error's text cannot
// be logged in its place.
type Cause string

// CauseOf describes err for a log line; it is empty for nil.
func CauseOf(err error) Cause {
	var links []string
	for depth := 0; err != nil && depth < maxCauseDepth; depth++ {
		link, next := describeLink(err)
		if link != "" && (len(links) == 0 || links[len(links)-1] != link) {
			links = append(links, link)
		}
		err = next
	}
	return Cause(strings.Join(links, ": "))
}

// describeLink returns the name of the first link of the chain and the rest of it.
func describeLink(err error) (link string, rest error) {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Type().FullName(), typed.Cause()
	}
	switch e := err.(type) {
	case *url.Error:
		return "", e.Err
	case *net.OpError:
		return e.Op, e.Err
	case syscall.Errno:
		return e.Error(), nil
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline exceeded", nil
	case errors.Is(err, context.Canceled):
		return "canceled", nil
	}
	if next := errors.Unwrap(err); next != nil {
		return "", next
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", err), "*"), nil
}
