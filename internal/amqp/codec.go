// Package amqp speaks AMQP 0-9-1 as a server does, with the common extensions (publisher confirms, basic.nack,
// consumer_cancel_notify, connection.blocked). It is free of I/O: bytes in, events out, output collected until it is
// written. Section numbers are those of the specification, version 0-9-1.
package amqp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// Errors of the decoder. All are syntax errors to the peer (502).
var (
	errShort    = errors.New("arguments end in mid-field")
	errTrailing = errors.New("bytes after the last argument")
	errNesting  = errors.New("field table nested too deeply")
	errEntries  = errors.New("field table with too many entries")
)

// Bounds of field tables: what a peer sends must not cost much more than its bytes.
const (
	maxNesting = 8
	maxEntries = 1024 // of a table with all that is in it
)

// Table is a field table (section 4.2.5.5), its entries in the order in which they stand.
type Table []Entry

// Entry is a name with its value: bool, int8, uint8, int16, uint16, int32, uint32, int64, float32, float64, Decimal,
// string (long string), Bytes, []any, time.Time, Table or nil.
type Entry struct {
	Name  string
	Value any
}

// Decimal is a decimal number: Value / 10^Scale.
type Decimal struct {
	Scale uint8
	Value uint32
}

// Bytes is a byte array, a type that common implementations added.
type Bytes []byte

// Get returns the first value of a name, nil where there is none.
func (t Table) Get(name string) any {
	for _, e := range t {
		if e.Name == name {
			return e.Value
		}
	}
	return nil
}

// GetString returns a string value, empty where there is none.
func (t Table) GetString(name string) string {
	s, _ := t.Get(name).(string)
	return s
}

// Set replaces the value of a name or adds it.
func (t Table) Set(name string, v any) Table {
	for i := range t {
		if t[i].Name == name {
			t[i].Value = v
			return t
		}
	}
	return append(t, Entry{name, v})
}

// coder goes over the fields of a method in their order, reading or writing them: each layout stands once.
type coder interface {
	u8(*uint8)
	u16(*uint16)
	u32(*uint32)
	u64(*uint64)
	short(*string) // up to 255 bytes
	long(*string)
	table(*Table)
	bits(...*bool) // packed into one octet
}

// reader reads fields; the first error stays.
type reader struct {
	b       []byte
	err     error
	entries int
	depth   int
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.b) {
		if r.err == nil {
			r.err = errShort
		}
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) u8(v *uint8) {
	if b := r.take(1); b != nil {
		*v = b[0]
	}
}
func (r *reader) u16(v *uint16) {
	if b := r.take(2); b != nil {
		*v = binary.BigEndian.Uint16(b)
	}
}
func (r *reader) u32(v *uint32) {
	if b := r.take(4); b != nil {
		*v = binary.BigEndian.Uint32(b)
	}
}
func (r *reader) u64(v *uint64) {
	if b := r.take(8); b != nil {
		*v = binary.BigEndian.Uint64(b)
	}
}
func (r *reader) short(v *string) {
	var n uint8
	r.u8(&n)
	*v = string(r.take(int(n)))
}
func (r *reader) long(v *string) {
	var n uint32
	r.u32(&n)
	if uint64(n) > uint64(len(r.b)) {
		n = math.MaxUint32 >> 1
	}
	*v = string(r.take(int(n)))
}
func (r *reader) bits(v ...*bool) {
	var b uint8
	r.u8(&b)
	for i, p := range v {
		*p = b&(1<<i) != 0
	}
}

// part reads a length and returns a reader's bytes of that many.
func (r *reader) part() []byte {
	var n uint32
	r.u32(&n)
	if uint64(n) > uint64(len(r.b)) {
		n = math.MaxUint32 >> 1
	}
	return r.take(int(n))
}

// inside runs do on a part of the input, one level deeper.
func (r *reader) inside(do func()) {
	in := r.part()
	if r.err != nil {
		return
	}
	if r.depth++; r.depth > maxNesting {
		r.err = errNesting
		return
	}
	rest := r.b
	r.b = in
	for len(r.b) > 0 && r.err == nil {
		if r.entries++; r.entries > maxEntries {
			r.err = errEntries
			return
		}
		do()
	}
	r.b = rest
	r.depth--
}

func (r *reader) table(v *Table) {
	var t Table
	r.inside(func() {
		var e Entry
		r.short(&e.Name)
		e.Value = r.value()
		t = append(t, e)
	})
	*v = t
}

// value reads a tagged value. The tags are those in use (with the errata that common implementations agree on).
func (r *reader) value() any {
	var tag uint8
	r.u8(&tag)
	if r.err != nil {
		return nil
	}
	switch tag {
	case 't':
		var b uint8
		r.u8(&b)
		return b != 0
	case 'b', 'B':
		var n uint8
		r.u8(&n)
		if tag == 'b' {
			return int8(n)
		}
		return n
	case 's', 'U', 'u':
		var n uint16
		r.u16(&n)
		if tag == 'u' {
			return n
		}
		return int16(n)
	case 'I', 'i':
		var n uint32
		r.u32(&n)
		if tag == 'I' {
			return int32(n)
		}
		return n
	case 'l', 'L':
		var n uint64
		r.u64(&n)
		return int64(n)
	case 'f':
		var n uint32
		r.u32(&n)
		return math.Float32frombits(n)
	case 'd':
		var n uint64
		r.u64(&n)
		return math.Float64frombits(n)
	case 'D':
		var d Decimal
		r.u8(&d.Scale)
		r.u32(&d.Value)
		return d
	case 'S':
		var s string
		r.long(&s)
		return s
	case 'x':
		return Bytes(append([]byte(nil), r.part()...))
	case 'T':
		var n uint64
		r.u64(&n)
		return time.Unix(int64(n), 0).UTC()
	case 'A':
		all := []any{}
		r.inside(func() { all = append(all, r.value()) })
		return all
	case 'F':
		var t Table
		r.table(&t)
		return t
	case 'V':
		return nil
	}
	r.err = fmt.Errorf("field value of unknown type %q", tag)
	return nil
}

// done returns the first error, or that not all bytes were used.
func (r *reader) done() error {
	if r.err == nil && len(r.b) > 0 {
		r.err = errTrailing
	}
	return r.err
}

// writer appends fields. Strings too long for their form are cut: what we send comes from us, or came within bounds.
type writer struct{ b []byte }

func (w *writer) u8(v *uint8)   { w.b = append(w.b, *v) }
func (w *writer) u16(v *uint16) { w.b = binary.BigEndian.AppendUint16(w.b, *v) }
func (w *writer) u32(v *uint32) { w.b = binary.BigEndian.AppendUint32(w.b, *v) }
func (w *writer) u64(v *uint64) { w.b = binary.BigEndian.AppendUint64(w.b, *v) }
func (w *writer) short(v *string) {
	s := (*v)[:min(255, len(*v))]
	w.b = append(append(w.b, byte(len(s))), s...)
}
func (w *writer) long(v *string) {
	w.b = append(binary.BigEndian.AppendUint32(w.b, uint32(len(*v))), *v...)
}
func (w *writer) bits(v ...*bool) {
	var b byte
	for i, p := range v {
		if *p {
			b |= 1 << i
		}
	}
	w.b = append(w.b, b)
}

// sized writes what do writes, its length before it.
func (w *writer) sized(do func()) {
	at := len(w.b)
	w.b = append(w.b, 0, 0, 0, 0)
	do()
	binary.BigEndian.PutUint32(w.b[at:], uint32(len(w.b)-at-4))
}

func (w *writer) table(v *Table) {
	w.sized(func() {
		for i := range *v {
			w.short(&(*v)[i].Name)
			w.value((*v)[i].Value)
		}
	})
}

func (w *writer) tag(t byte) { w.b = append(w.b, t) }

func (w *writer) value(v any) {
	switch v := v.(type) {
	case bool:
		w.tag('t')
		w.bits(&v)
	case int8:
		w.b = append(w.b, 'b', byte(v))
	case uint8:
		w.b = append(w.b, 'B', v)
	case int16:
		w.tag('s')
		w.b = binary.BigEndian.AppendUint16(w.b, uint16(v))
	case uint16:
		w.tag('u')
		w.u16(&v)
	case int32:
		w.tag('I')
		w.b = binary.BigEndian.AppendUint32(w.b, uint32(v))
	case uint32:
		w.tag('i')
		w.u32(&v)
	case int64:
		w.tag('l')
		w.b = binary.BigEndian.AppendUint64(w.b, uint64(v))
	case float32:
		w.tag('f')
		w.b = binary.BigEndian.AppendUint32(w.b, math.Float32bits(v))
	case float64:
		w.tag('d')
		w.b = binary.BigEndian.AppendUint64(w.b, math.Float64bits(v))
	case Decimal:
		w.tag('D')
		w.u8(&v.Scale)
		w.u32(&v.Value)
	case string:
		w.tag('S')
		w.long(&v)
	case Bytes:
		w.tag('x')
		w.sized(func() { w.b = append(w.b, v...) })
	case time.Time:
		w.tag('T')
		w.b = binary.BigEndian.AppendUint64(w.b, uint64(v.Unix()))
	case []any:
		w.tag('A')
		w.sized(func() {
			for _, x := range v {
				w.value(x)
			}
		})
	case Table:
		w.tag('F')
		w.table(&v)
	default:
		w.tag('V')
	}
}
