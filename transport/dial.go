package transport

import (
	"context"
	"net"
	"net/http"
)

// Dial opens a connection like net.Dialer.DialContext. Simulations of several data
// centres inject network delays and partitions through it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// UseDial makes d open the connections. It must be called before the first call.
func (p *Peers) UseDial(d Dial) { p.dialFunc = d }

// UseDial makes d open the connections. It must be called before the first attempt.
func (c *AttemptClient) UseDial(d Dial) {
	if t, ok := c.client.Transport.(*http.Transport); ok {
		t.DialContext = d
	}
}

func defaultDial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}
