package standin

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Proxy is the address of the provider for clients. It forwards each channel to an edge machine.
type Proxy struct {
	target  *Machine
	address string

	mu       sync.Mutex
	channels []net.Conn
}

// NewProxy starts a proxy, which ends with the deployment.
func (d *Deployment) NewProxy(target *Machine) (*Proxy, error) {
	address := fmt.Sprint(d.newAddress(), ":", frontPort)
	listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:  target,
		address: address,
	}
	d.stopped.Go(func() {
		<-d.ctx.Done()
		_ = listener.Close()
		p.Reset()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.forward(d, conn)
		}
	}()
	return p, nil
}

// forward copies the bytes of a channel in both directions.
func (p *Proxy) forward(d *Deployment, conn net.Conn) {
	upstream, err := (&net.Dialer{}).DialContext(d.ctx, "tcp", p.target.Front())
	if err != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	p.channels = append(p.channels, conn, upstream)
	p.mu.Unlock()
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}
	go pipe(upstream, conn)
	go pipe(conn, upstream)
}

// Reset resets all open channels, on both sides.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.channels {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	p.channels = nil
}

// Front returns the address for clients.
func (p *Proxy) Front() string { return p.address }

// String returns a name for the record.
func (p *Proxy) String() string { return "the provider" }
