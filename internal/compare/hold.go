package compare

import (
	"fmt"
	"net"
	"strconv"

	"whinrun/internal/h2"
)

// openHeldMessages sends n messages, rounded up to 1000 on each connection, and uses little memory of its own. The
// client of net/http would take more memory than the messages that are measured. The caller closes the connections,
// also after an error.
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

// closeAll closes connections and ignores errors.
func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// sendWithoutReading sends n requests on one connection. It reads only what flow control and the stream limit need, and
// leaves the answers unread.
func sendWithoutReading(conn net.Conn, n int, body []byte) error {
	client := h2.NewClient(h2.Config{}, 0)
	buf := make([]byte, 1<<16)
	fields := []h2.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/p/status"},
		{Name: "ttl", Value: "20"}, {Name: "content-length", Value: strconv.Itoa(len(body))}}
	for sent := 0; sent < n; {
		if _, err := conn.Write(client.Output()); err != nil {
			return err
		}
		if client.AvailableStreams() == 0 || client.SendBlocked() {
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
	for client.SendBlocked() {
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
