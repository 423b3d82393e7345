// Package wire implements the batch protocol between a host process and the decision library: framing, codecs for events and
// actions, and the parser of settings. It makes no decisions.
//
// A frame has a header, which gives the sizes of its body, and records. All numbers are little-endian.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"whinrun/control"
)

// maxFrameBytes is the maximum size of a frame's body, so that a corrupt length cannot exhaust the memory.
const maxFrameBytes = 1 << 30

// maxNoteBytes is the maximum size of a note between instances, in bytes.
const maxNoteBytes = 256

// Codes of events, as the protocol names them.
const (
	evAttach = 16 + iota
	evDirectory
	evInbound
	evFlowing
	evResolved
	evWithdrawn
	evTickDue
	evProbed
	evNoteFrom
	evExit
	evPool
)

// Codes of actions, as the protocol names them.
const (
	acAttempt = 16 + iota
	acOverloadReply
	acReportFailure
	acStopAttempt
	acTimer
	acAskLoad
	acHangUp
	acShare
	acNoteDown
	acFatal
	acTrack
	acQueryAll
)

// RecordKind is what a Record is about.
type RecordKind uint8

// Kinds of records.
const (
	// DispatcherEvent is an event for the library.
	DispatcherEvent RecordKind = iota

	// Attach starts an instance.
	Attach

	// Exit kills an instance.
	Exit

	// Ignored is a valid record that the library does not need.
	Ignored
)

// Record is one event and the instance that it is for.
type Record struct {
	Kind     RecordKind
	Instance uint16
	Seed     uint64        // The seed of the instance, for Attach.
	Settings string        // The settings as path=value lines, for Attach.
	Event    control.Event // The event, for ModuleEvent.
}

// Batch is a decoded frame.
type Batch struct {
	Seq     uint32
	Now     control.Time // The time of the batch, in microseconds.
	Records []Record
}

// Decoder reads batches. It keeps the numbered endpoint lists, which belong to the connection and not to an instance.
type Decoder struct {
	r     io.Reader
	lists map[uint16][]control.Entry
	body  []byte
}

// NewDecoder returns a Decoder reading from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: r, lists: make(map[uint16][]control.Entry)}
}

// Next returns the next batch. The error is io.EOF at the end of the input, and another one if a batch is truncated or not valid.
func (d *Decoder) Next() (Batch, error) {
	var head [20]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header: %w", err)
	}
	b := Batch{Seq: binary.LittleEndian.Uint32(head[0:]), Now: control.Time(binary.LittleEndian.Uint64(head[12:]))}
	size, count := binary.LittleEndian.Uint32(head[4:]), binary.LittleEndian.Uint32(head[8:])
	if size > maxFrameBytes || count > size {
		return b, fmt.Errorf("batch %d: %d bytes cannot hold %d records", b.Seq, size, count)
	}
	if cap(d.body) < int(size) {
		d.body = make([]byte, size)
	}
	if n, err := io.ReadFull(d.r, d.body[:size]); err != nil {
		return b, fmt.Errorf("batch %d: body ends after %d of %d bytes: %w", b.Seq, n, size, io.ErrUnexpectedEOF)
	}
	c := &cursor{buf: d.body[:size]}
	for i := 0; i < int(count); i++ {
		rec, err := d.decodeRecord(c)
		if err != nil {
			return b, fmt.Errorf("batch %d, record %d: %w", b.Seq, i, err)
		}
		if rec.Kind != Ignored {
			b.Records = append(b.Records, rec)
		}
	}
	if c.offset != len(c.buf) {
		return b, fmt.Errorf("batch %d: %d bytes left over after %d records", b.Seq, len(c.buf)-c.offset, count)
	}
	return b, nil
}

// cursor reads fields from a buffer. After a truncated field all fields are zero.
type cursor struct {
	buf       []byte
	offset    int
	truncated bool
}

// take returns the next n bytes. If there are fewer, it sets truncated and returns zeros, which are enough for any number.
func (c *cursor) take(n int) []byte {
	if n < 0 || len(c.buf)-c.offset < n {
		c.truncated = true
		c.offset = len(c.buf)
		return make([]byte, min(max(n, 0), 8))
	}
	c.offset += n
	return c.buf[c.offset-n : c.offset]
}

func (c *cursor) u8() uint8   { return c.take(1)[0] }
func (c *cursor) u16() uint16 { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32 { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64 { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float32 {
	return math.Float32frombits(c.u32())
}

// micros reads a time in microseconds.
func (c *cursor) micros() control.Time { return control.Time(c.u32()) }

// endpoint reads an IPv4 address and a port.
func (c *cursor) endpoint() control.EndpointID {
	b := c.take(4)
	addr := uint64(binary.LittleEndian.Uint32(b))
	return control.EndpointID(addr<<16 | uint64(c.u16()))
}

// report reads a load report.
func (c *cursor) report() []float32 {
	n := int(c.u8())
	if n == 0 || len(c.buf)-c.offset < 4*n {
		c.truncated = c.truncated || n > 0
		return nil
	}
	r := make([]float32, n)
	for i := range r {
		r[i] = c.f32()
	}
	return r
}

// decodeRecord decodes one record.
func (d *Decoder) decodeRecord(c *cursor) (Record, error) {
	code := c.u8()
	if code == evPool {
		return Record{Kind: Ignored}, d.decodeList(c)
	}
	r := Record{Instance: c.u16()}
	e := &r.Event
	switch code {
	case evAttach:
		r.Kind, r.Seed = Attach, c.u64()
		n := int(c.u32())
		if n > len(c.buf)-c.offset {
			return r, fmt.Errorf("settings of %d bytes do not fit", n)
		}
		r.Settings = string(c.take(n))
	case evExit:
		r.Kind = Exit
	case evDirectory:
		e.Kind, e.ListKind = control.ListUpdate, control.ListKind(c.u8())
		c.u64()
		listID := c.u16()
		if e.ListKind > control.ListFailed {
			return r, fmt.Errorf("list kind %d is unknown", e.ListKind)
		}
		if e.ListKind != control.ListFailed {
			entries, ok := d.lists[listID]
			if !ok && !c.truncated {
				return r, fmt.Errorf("list %d was never sent", listID)
			}
			e.Entries = entries
		}
	case evInbound:
		e.Kind, e.Message, e.Tenant = control.Arrival, control.MessageID(c.u64()), int(c.u16())
		c.u8()
		e.Class = int(c.u8())
		c.u32()
		e.TimeLeft, e.Dest, e.Key = c.micros(), int(c.f32()), c.u64()
	case evFlowing:
		e.Kind, e.Message, e.Attempt, e.Endpoint = control.Started, control.MessageID(c.u64()), int(c.u16()), c.endpoint()
		e.Elapsed = c.micros()
	case evResolved:
		return r, c.decodeOutcome(e)
	case evWithdrawn:
		e.Kind, e.Message = control.Withdrawn, control.MessageID(c.u64())
	case evTickDue:
		e.Kind, e.TimerToken = control.TimerFired, c.u64()
	case evProbed:
		e.Kind, e.Elapsed, e.Endpoint = control.ProbeResult, c.micros(), c.endpoint()
		var err error
		if e.Result, err = decodeResult(c.u8()); err != nil && !c.truncated {
			return r, err
		}
		e.Report = c.report()
	case evNoteFrom:
		e.Kind = control.GossipReceived
		c.u16()
		e.Payload = string(c.take(int(c.u16())))
	default:
		if c.truncated {
			return r, io.ErrUnexpectedEOF
		}
		return r, fmt.Errorf("event code %d is unknown", code)
	}
	if c.truncated {
		return r, fmt.Errorf("event code %d is cut short", code)
	}
	return r, nil
}

// decodeOutcome decodes the outcome of an attempt.
func (c *cursor) decodeOutcome(e *control.Event) error {
	e.Kind, e.Message, e.Attempt, e.Endpoint = control.Outcome, control.MessageID(c.u64()), int(c.u16()), c.endpoint()
	res, err := decodeResult(c.u8())
	e.Result, e.Elapsed, e.Closed = res, c.micros(), c.u8() != 0
	note := c.u32()
	if res == control.LimitExceeded {
		e.RetryAfter = control.Time(note) * control.Millisecond
	}
	e.Report = c.report()
	if c.truncated {
		return fmt.Errorf("event code %d is cut short", evResolved)
	}
	return err
}

// decodeList decodes a numbered endpoint list. It replaces an earlier list of the same number.
func (d *Decoder) decodeList(c *cursor) error {
	id, n := c.u16(), int(c.u32())
	const entryBytes = 23
	if n > (len(c.buf)-c.offset)/entryBytes {
		return fmt.Errorf("list of %d entries does not fit", n)
	}
	list := make([]control.Entry, n)
	for i := range list {
		l := &list[i]
		l.Endpoint, l.Zone, l.DestinationKind, l.Dest = c.endpoint(), int(c.u8()), int(c.u8()), int(c.u16())
		l.Health = control.Health(c.u8())
		l.Weight = float64(c.f32())
		c.u64()
		if l.Health > control.Gone {
			return fmt.Errorf("entry %d: health %d is unknown", i, l.Health)
		}
	}
	if c.truncated {
		return fmt.Errorf("event code %d is cut short", evPool)
	}
	d.lists[id] = list
	return nil
}

// decodeResult converts an outcome code to a result.
func decodeResult(code uint8) (control.Result, error) {
	switch code {
	case 0:
		return control.OK, nil
	case 13:
		return control.ErrorResponse, nil
	case 8:
		return control.LimitExceeded, nil
	case 4:
		return control.TimedOut, nil
	case 14:
		return control.ConnectFailed, nil
	case 10:
		return control.Reset, nil
	case 1:
		return control.Cancelled, nil
	case 9:
		return control.NotExecuted, nil
	}
	return 0, fmt.Errorf("outcome code %d is unknown", code)
}

// Reply collects the records that answer one batch.
type Reply struct {
	body  []byte
	count uint32
}

// Reset empties the reply, for the next batch.
func (r *Reply) Reset() { r.body, r.count = r.body[:0], 0 }

// appendHeader begins a record with its code and instance.
func (r *Reply) appendHeader(code uint8, instance uint16) {
	r.count++
	r.body = append(r.body, code)
	r.body = binary.LittleEndian.AppendUint16(r.body, instance)
}

func (r *Reply) appendEndpoint(e control.EndpointID) {
	r.body = binary.LittleEndian.AppendUint32(r.body, uint32(e>>16))
	r.body = binary.LittleEndian.AppendUint16(r.body, uint16(e))
}

// appendDuration appends a time in microseconds, limited to 32 bits.
func (r *Reply) appendDuration(t control.Time) {
	r.body = binary.LittleEndian.AppendUint32(r.body, uint32(min(max(t, 0), math.MaxUint32)))
}

// appendText appends a record that holds a text. The text is cut at the maximum that its length field allows.
func (r *Reply) appendText(code uint8, instance uint16, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.appendHeader(code, instance)
	r.body = binary.LittleEndian.AppendUint16(r.body, uint16(len(s)))
	r.body = append(r.body, s...)
}

// Fatal adds a record that says that the decision code of an instance failed. The instance has ended.
func (r *Reply) Fatal(instance uint16, text string) { r.appendText(acFatal, instance, text) }

// Add adds one action of an instance. Actions that have no record are ignored.
func (r *Reply) Add(instance uint16, a control.Action) {
	le := binary.LittleEndian
	switch a.Kind {
	case control.Send:
		r.appendHeader(acAttempt, instance)
		r.body = le.AppendUint64(r.body, uint64(a.Message))
		r.appendEndpoint(a.Endpoint)
		r.appendDuration(a.After)
	case control.Refuse:
		r.appendHeader(acOverloadReply, instance)
		r.body = le.AppendUint64(r.body, uint64(a.Message))
		r.appendDuration(a.After)
	case control.Fail:
		r.appendHeader(acReportFailure, instance)
		r.body = le.AppendUint64(r.body, uint64(a.Message))
	case control.Cancel:
		r.appendHeader(acStopAttempt, instance)
		r.body = le.AppendUint64(r.body, uint64(a.Message))
		r.body = le.AppendUint16(r.body, uint16(a.Attempt))
	case control.Timer:
		r.appendHeader(acTimer, instance)
		r.appendDuration(a.After)
		r.body = le.AppendUint64(r.body, a.TimerToken)
	case control.Probe:
		r.appendHeader(acAskLoad, instance)
		r.appendEndpoint(a.Endpoint)
	case control.CloseIdle:
		r.appendHeader(acHangUp, instance)
		r.appendEndpoint(a.Endpoint)
	case control.SendGossip:
		text := a.Text[:min(len(a.Text), maxNoteBytes)]
		r.appendHeader(acShare, instance)
		r.body = le.AppendUint32(r.body, math.MaxUint32)
		r.body = le.AppendUint16(r.body, uint16(len(text)))
		r.body = append(r.body, text...)
	case control.Watch:
		r.appendHeader(acTrack, instance)
		r.body = append(r.body, 1)
	case control.Fetch:
		r.appendHeader(acQueryAll, instance)
	case control.Log:
		r.appendText(acNoteDown, instance, a.Text)
	}
}

// Write writes the reply to batch seq: its header and then its body.
func (r *Reply) Write(w io.Writer, seq uint32) error {
	var head [12]byte
	binary.LittleEndian.PutUint32(head[0:], seq)
	binary.LittleEndian.PutUint32(head[4:], r.count)
	binary.LittleEndian.PutUint32(head[8:], uint32(len(r.body)))
	if _, err := w.Write(head[:]); err != nil {
		return fmt.Errorf("reply to batch %d: %w", seq, err)
	}
	if _, err := w.Write(r.body); err != nil {
		return fmt.Errorf("reply to batch %d: %w", seq, err)
	}
	return nil
}
