package transport

import (
	"context"
	"net"
	"net/http"
)

// Dial makes a connection, as net.Dialer.DialContext does. A site that imitates
// several data centres puts delays and cuts here.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// UseDial makes later connections by d. It must be called before the first call.
func (p *Peers) UseDial(d Dial) { p.dialFunc = d }

// UseDial makes later connections by d. It must be called before the first attempt.
func (c *AttemptClient) UseDial(d Dial) {
	if t, ok := c.client.Transport.(*http.Transport); ok {
		t.DialContext = d
	}
}

func defaultDial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}
