package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Apply publishes a change of configuration.
func (c *Client) Apply(ctx context.Context, by string, objects []protocol.Object) (entry.ApplyResponse, error) {
	var a entry.ApplyResponse
	err := c.sendChange(ctx, "/config", by, objects, &a)
	return a, err
}

// Plan says what a change would do, and publishes nothing.
func (c *Client) Plan(ctx context.Context, objects []protocol.Object) ([]entry.PlannedObject, error) {
	var plan []entry.PlannedObject
	err := c.sendChange(ctx, "/config/plan", "", objects, &plan)
	return plan, err
}

func (c *Client) sendChange(ctx context.Context, path, by string, objects []protocol.Object, answer any) error {
	body, err := json.Marshal(entry.ApplyRequest{By: by, Objects: objects})
	if err != nil {
		return protocol.ErrBadRequest.Wrap(err, "encode change")
	}
	return c.readJSON(ctx, request{method: http.MethodPost, path: path, token: c.settings.OperatorKey, body: body}, answer)
}

// History lists the versions of an object that the system keeps, the oldest first.
func (c *Client) History(ctx context.Context, kind, name string) ([]protocol.ObjectVersion, error) {
	var versions []protocol.ObjectVersion
	path := fmt.Sprintf("/config/history?kind=%s&name=%s", url.QueryEscape(kind), url.QueryEscape(name))
	err := c.readJSON(ctx, request{method: http.MethodGet, path: path, token: c.settings.OperatorKey}, &versions)
	return versions, err
}

// Objects lists configuration objects; empty arguments match all.
func (c *Client) Objects(ctx context.Context, kind, name string) ([]protocol.Object, error) {
	var objects []protocol.Object
	path := fmt.Sprintf("/config?kind=%s&name=%s", url.QueryEscape(kind), url.QueryEscape(name))
	err := c.readJSON(ctx, request{method: http.MethodGet, path: path, token: c.settings.OperatorKey}, &objects)
	return objects, err
}
