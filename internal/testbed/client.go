package testbed

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/h1"
)

// Message is a message that a client submits.
type Message struct {
	// Name identifies the message, IdempotencyKey is its key at the partner, and OrderKey is the key of its order.
	Name, Class, Tenant, IdempotencyKey, OrderKey string
	Dest                                          int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	Body      string
}

// Submit submits a message on a new connection and records the result. It returns the status of the answer, 0 where none
// came within 400 ms.
func (s *Testbed) Submit(addr string, m Message) int {
	sent := clock.Wall()
	status := submit(addr, m)
	e := Event{Kind: Refused, Name: m.Name, Status: status}
	if status == 202 || status == 200 {
		e = Event{Kind: Accepted, Name: m.Name, Class: m.Class, Dest: m.Dest, Due: sent.Add(m.Remaining), Key: m.OrderKey, Sent: sent}
	}
	s.Record(e)
	return status
}

// submit submits a message on a new connection and returns the status of the answer, 0 for none.
func submit(addr string, m Message) int {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clock.After(400 * time.Millisecond))
	if _, err := c.Write(EncodeRequest(m)); err != nil {
		return 0
	}
	status, _ := ReadStatus(c)
	return status
}

// ReadStatus reads the status of the first answer on a connection. It returns 0 and the error where none can be read.
func ReadStatus(c net.Conn) (int, error) {
	var buffered []byte
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		buffered = append(buffered, buf[:n]...)
		if r, size, perr := h1.ParseResponse(buffered); perr == nil && size > 0 {
			return r.Status, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// ReadStatuses reads up to count answers on a connection and returns their statuses. It returns fewer where the
// connection ends, an answer is malformed or the read deadline passes.
func ReadStatuses(c net.Conn, count int) (statuses []int) {
	var buffered []byte
	buf := make([]byte, 4096)
	for len(statuses) < count {
		n, err := c.Read(buf)
		buffered = append(buffered, buf[:n]...)
		for {
			r, size, perr := h1.ParseResponse(buffered)
			if perr != nil || size == 0 {
				break
			}
			statuses = append(statuses, r.Status)
			buffered = buffered[size:]
		}
		if err != nil {
			break
		}
	}
	return statuses
}

// EncodeRequest returns the HTTP/1.1 request that submits a message.
func EncodeRequest(m Message) []byte {
	headers := []string{"Host", "api.internal", "X-Txn", m.Name, "X-Lane", m.Class, "X-Org", m.Tenant, "X-Remaining",
		strconv.FormatFloat(m.Remaining.Seconds(), 'f', 3, 64), "Content-Length", strconv.Itoa(len(m.Body)), "X-Consignee", fmt.Sprintf("dest=%d", m.Dest)}
	if m.IdempotencyKey != "" {
		headers = append(headers, "Idempotency-Key", m.IdempotencyKey)
	}
	if m.OrderKey != "" {
		headers = append(headers, "X-Entity", "key="+m.OrderKey)
	}
	return append(h1.AppendHead(nil, "POST /"+m.Class+" HTTP/1.1", headers...), m.Body...)
}
