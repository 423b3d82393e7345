package compare

import (
	"fmt"
	"net"
	"strconv"

	"whinrun/internal/h2"
)

// holdRaw hands in many messages over few connections with as little memory of its own as can be: net/http's client
// would take more than what is to be measured. Its connections are to be closed also after an error.
func holdRaw(addr string, n, size int) (conns []net.Conn, err error) {
	const perConn = 1000
	body := make([]byte, size)
	for made := 0; made < n; made += perConn {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			return conns, err
		}
		conns = append(conns, nc)
		if err := hold(nc, perConn, body); err != nil {
			return conns, fmt.Errorf("connection %d: %w", len(conns), err)
		}
	}
	return conns, nil
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// hold opens streams on one connection and forgets them; the answers are left to lie.
func hold(nc net.Conn, n int, body []byte) error {
	h := h2.NewClient(h2.Config{}, 0)
	buf := make([]byte, 1<<16)
	fields := []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/p/status"},
		{Name: "ttl", Value: "20"}, {Name: "content-length", Value: strconv.Itoa(len(body))}}
	for sent := 0; sent < n; {
		if _, err := nc.Write(h.Output()); err != nil {
			return err
		}
		if h.AvailableStreams() == 0 || h.SendBlocked() {
			k, err := nc.Read(buf)
			if err != nil {
				return err
			}
			if _, err := h.Receive(0, buf[:k]); err != nil {
				return err
			}
			continue
		}
		if _, err := h.Request(0, fields, body); err != nil {
			return err
		}
		sent++
	}
	for h.SendBlocked() {
		k, err := nc.Read(buf)
		if err != nil {
			return err
		}
		if _, err := h.Receive(0, buf[:k]); err != nil {
			return err
		}
		if _, err := nc.Write(h.Output()); err != nil {
			return err
		}
	}
	_, err := nc.Write(h.Output())
	return err
}
