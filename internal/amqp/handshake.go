package amqp

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// This file contains the handshake, from the protocol header to connection.open.

// receiveProtocolHeader processes the protocol header (section 4.2.2) and returns the number of bytes used. A header of
// another version is answered with ProtocolHeader, and the connection ends.
func (c *Conn) receiveProtocolHeader(b []byte) (int, error) {
	n := min(len(b), len(ProtocolHeader))
	if !bytes.Equal(b[:n], []byte(ProtocolHeader)[:n]) {
		c.out = append(c.out, ProtocolHeader...)
		c.phase = closed
		return 0, fmt.Errorf("protocol header %q is not that of AMQP 0-9-1", b[:n])
	}
	if n < len(ProtocolHeader) {
		return 0, nil
	}
	c.phase = awaitStartOK
	c.Send(0, &ConnectionStart{Major: 0, Minor: 9, Mechanisms: "PLAIN", Locales: "en_US", Properties: Table{
		{"product", c.cfg.Product}, {"version", c.cfg.Version}, {"capabilities", Table{{"publisher_confirms", true},
			{"basic.nack", true}, {"consumer_cancel_notify", true}, {"connection.blocked", true}, {"authentication_failure_close", true},
			{"per_consumer_qos", true}}}}})
	return n, nil
}

// handleStartOK checks the SASL mechanism and reports the credentials as a Login event.
func (c *Conn) handleStartOK(m *ConnectionStartOK) error {
	if m.Mechanism != "PLAIN" {
		c.phase = closed
		return fmt.Errorf("SASL mechanism %.40q is not offered", m.Mechanism)
	}
	capabilities, _ := m.Properties.Get("capabilities").(Table)
	c.supportsBlocked, _ = capabilities.Get("connection.blocked").(bool)
	c.supportsCancelNotify, _ = capabilities.Get("consumer_cancel_notify").(bool)
	c.supportsAuthClose, _ = capabilities.Get("authentication_failure_close").(bool)
	// RFC 4616 defines the parts: authorization identity, authentication identity, password.
	parts := strings.Split(m.Response, "\x00")
	if len(parts) != 3 || parts[1] == "" || parts[0] != "" && parts[0] != parts[1] {
		c.phase = awaitLogin
		return c.RefuseLogin("the PLAIN response is not an identity and a password (RFC 4616)")
	}
	c.phase = awaitLogin
	c.handle(&Event{Kind: Login, User: parts[1], Password: parts[2]})
	return nil
}

// AcceptLogin accepts the credentials of a Login event and continues the handshake.
func (c *Conn) AcceptLogin() {
	c.phase = awaitTuneOK
	c.Send(0, &ConnectionTune{c.cfg.ChannelMax, uint32(c.cfg.FrameMax), uint16(c.cfg.Heartbeat / time.Second)})
}

// RefuseLogin refuses the credentials of a Login event. A client with the authentication_failure_close capability gets
// a connection.close with the text. For others the connection ends, and the returned error says why.
func (c *Conn) RefuseLogin(text string) error {
	if !c.supportsAuthClose {
		c.phase = closed
		return fmt.Errorf("login refused: %s", text)
	}
	c.CloseWithError(newError(AccessRefused, 0, "%s", text))
	return nil
}

// handleTuneOK applies the client's limits (section 1.4.2.6). A client may lower ours but not raise them.
func (c *Conn) handleTuneOK(m *ConnectionTuneOK) *Error {
	frameMax, channelMax := int64(m.FrameMax), int64(m.ChannelMax)
	if channelMax == 0 {
		// 0 means that the client sets no limit, so ours applies.
		channelMax = int64(c.cfg.ChannelMax)
	}
	if frameMax == 0 {
		frameMax = int64(c.cfg.FrameMax)
	}
	switch {
	case frameMax > int64(c.cfg.FrameMax) || frameMax < minFrameMax:
		return newError(NotAllowed, 0, "frame-max %d is not within %d and %d", m.FrameMax, minFrameMax, c.cfg.FrameMax).forMethod(m)
	case channelMax > int64(c.cfg.ChannelMax):
		return newError(NotAllowed, 0, "channel-max %d is above %d", m.ChannelMax, c.cfg.ChannelMax).forMethod(m)
	}
	c.frameMax, c.channelMax = int(frameMax), int(channelMax)
	c.heartbeat = time.Duration(m.Heartbeat) * time.Second
	c.phase = awaitOpen
	return nil
}

// handleOpen processes connection.open. There is one virtual host, /, and an empty name stands for it.
func (c *Conn) handleOpen(m *ConnectionOpen) *Error {
	if m.VHost != "/" && m.VHost != "" {
		return newError(NotAllowed, 0, "there is no virtual host %.60q, only /", m.VHost).forMethod(m)
	}
	c.phase = running
	c.Send(0, &ConnectionOpenOK{})
	return nil
}
