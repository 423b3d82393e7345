package compare

import (
	"fmt"
	"net"
	"strconv"

	"whinrun/internal/h2"
)

// openHeldMessages hands in many messages over few connections with as little memory of its own as can be: net/http's client
// would take more than what is to be measured. Its connections are to be closed also after an error.
func openHeldMessages(addr string, n, size int) (conns []net.Conn, err error) {
	const perConn = 1000
	body := make([]byte, size)
	for opened := 0; opened < n; opened += perConn {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return conns, err
		}
		conns = append(conns, conn)
		if err := sendWithoutReading(conn, perConn, body); err != nil {
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

// sendWithoutReading opens streams on one connection and forgets them; the answers are left to lie.
func sendWithoutReading(conn net.Conn, n int, body []byte) error {
	client := h2.NewClient(h2.Config{}, 0)
	buf := make([]byte, 1<<16)
	fields := []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/p/status"},
		{Name: "ttl", Value: "20"}, {Name: "content-length", Value: strconv.Itoa(len(body))}}
	for sent := 0; sent < n; {
		if _, err := conn.Write(client.Output()); err != nil {
			return err
		}
		if client.Room() == 0 || client.Blocked() {
			k, err := conn.Read(buf)
			if err != nil {
				return err
			}
			if _, err := client.Receive(0, buf[:k]); err != nil {
				return err
			}
			continue
		}
		if _, err := client.Request(0, fields, body); err != nil {
			return err
		}
		sent++
	}
	for client.Blocked() {
		k, err := conn.Read(buf)
		if err != nil {
			return err
		}
		if _, err := client.Receive(0, buf[:k]); err != nil {
			return err
		}
		if _, err := conn.Write(client.Output()); err != nil {
			return err
		}
	}
	_, err := conn.Write(client.Output())
	return err
}
