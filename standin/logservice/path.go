package logservice

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// PathState is the state of one process's way to the log.
type PathState int32

// The states of a path.
const (
	PathOpen PathState = iota
	// PathDown refuses every call.
	PathDown
	// PathUnresponsive takes every call and never answers.
	PathUnresponsive
)

// Path is one process's way to the log, which a test can cut. It implements
// backend.Log.
type Path struct {
	log   backend.Log
	state atomic.Int32
}

// NewPath returns an open path to log.
func NewPath(log backend.Log) *Path { return &Path{log: log} }

// Set changes the state of the path for later calls.
func (p *Path) Set(s PathState) { p.state.Store(int32(s)) }

func (p *Path) check(ctx context.Context) error {
	switch PathState(p.state.Load()) {
	case PathDown:
		return protocol.ErrLogUnavailable.New("path is cut")
	case PathUnresponsive:
		<-ctx.Done()
		return protocol.ErrLogUnavailable.Wrap(ctx.Err(), "path is silent")
	default:
		return nil
	}
}

// Append implements backend.Log.
func (p *Path) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := p.check(ctx); err != nil {
		return 0, err
	}
	return p.log.Append(ctx, stream, data)
}

// Read implements backend.Log.
func (p *Path) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (backend.LogPage, error) {
	if err := p.check(ctx); err != nil {
		return backend.LogPage{}, err
	}
	return p.log.Read(ctx, stream, from, limit, wait)
}
