package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// maxListBytes is the size limit of the instance list.
const maxListBytes = 16 << 20

// Role is the role of a process of the system.
type Role string

// The roles of instances.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Instance is one row of the instance list.
type Instance struct {
	Name       string `json:"name" toml:"name"`
	Role       Role   `json:"role" toml:"role"`
	DataCentre string `json:"data_centre" toml:"data_centre"`
	// HTTP and Peer are the process's addresses, as IP:port.
	HTTP    string `json:"http" toml:"http"`
	Peer    string `json:"peer" toml:"peer"`
	Leaving bool   `json:"leaving" toml:"leaving"`
}

// InstanceList is the platform's list of instances. It lags behind the actual state.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// HTTPInstanceList is the client of an instance list over HTTP.
type HTTPInstanceList struct {
	url    string
	client *http.Client
}

// NewHTTPInstanceList returns a client of the list at the URL base.
func NewHTTPInstanceList(base string) *HTTPInstanceList {
	return &HTTPInstanceList{url: base + "/instances", client: &http.Client{}}
}

// Instances implements InstanceList. It fails with ErrTargetFailed.
func (l *HTTPInstanceList) Instances(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, protocol.ErrBadRequest.Wrap(err, "instance list")
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, protocol.ErrTargetFailed.Wrap(err, "instance list")
	}
	defer drainBody(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, protocol.ErrTargetFailed.New("instance list: status %d", resp.StatusCode)
	}
	var instances []Instance
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&instances); err != nil {
		return nil, protocol.ErrTargetFailed.Wrap(err, "instance list")
	}
	return instances, nil
}
