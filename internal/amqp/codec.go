// Package amqp implements the server side of AMQP 0-9-1 with the common extensions: publisher confirms, basic.nack,
// consumer_cancel_notify and connection.blocked. It does no I/O. A Conn takes received bytes, reports events and
// collects output until the caller writes it. Section numbers in comments are those of the specification, version
// 0-9-1.
package amqp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// Errors of the decoder. The peer is told of each as a syntax error (502).
var (
	errTruncated       = errors.New("arguments end in mid-field")
	errTrailingBytes   = errors.New("bytes after the last argument")
	errNestedTooDeeply = errors.New("field table nested too deeply")
	errTooManyEntries  = errors.New("field table with too many entries")
)

// Limits of field tables. They keep the cost of decoding close to the number of bytes that a peer sends.
const (
	// maxTableDepth is the number of levels to which tables and arrays may be nested.
	maxTableDepth = 8
	// maxTableEntries bounds the entries of all tables and arrays of one frame together.
	maxTableEntries = 1024
)

// Table is a field table (section 4.2.5.5). Its entries are in the order of the wire.
type Table []Entry

// Entry is one name and value of a Table. The value is a bool, int8, uint8, int16, uint16, int32, uint32, int64,
// float32, float64, Decimal, string (a long string), Bytes, []any, time.Time, Table or nil.
type Entry struct {
	Name  string
	Value any
}

// Decimal is the decimal number Value / 10^Scale.
type Decimal struct {
	Scale uint8
	Value uint32
}

// Bytes is a byte array. The specification lacks this type; common implementations have added it.
type Bytes []byte

// Get returns the first value of a name, or nil if the table has none.
func (t Table) Get(name string) any {
	for _, e := range t {
		if e.Name == name {
			return e.Value
		}
	}
	return nil
}

// GetString returns the first value of a name if it is a string, or else the empty string.
func (t Table) GetString(name string) string {
	s, _ := t.Get(name).(string)
	return s
}

// Set replaces the first value of a name, or appends an entry if there is none. It returns the resulting table.
func (t Table) Set(name string, v any) Table {
	for i := range t {
		if t[i].Name == name {
			t[i].Value = v
			return t
		}
	}
	return append(t, Entry{name, v})
}

// fieldCoder reads or writes the fields of a method in wire order. Because reader and writer share it, each method
// describes its layout only once.
type fieldCoder interface {
	u8(*uint8)
	u16(*uint16)
	u32(*uint32)
	u64(*uint64)
	// shortString has at most 255 bytes.
	shortString(*string)
	longString(*string)
	table(*Table)
	// bits packs up to eight flags into one octet.
	bits(...*bool)
}

// reader decodes fields. After the first error, which it keeps, it reads nothing more.
type reader struct {
	buf     []byte
	err     error
	entries int
	depth   int
}

func (r *reader) next(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.buf) {
		if r.err == nil {
			r.err = errTruncated
		}
		return nil
	}
	b := r.buf[:n]
	r.buf = r.buf[n:]
	return b
}

func (r *reader) u8(v *uint8) {
	if b := r.next(1); b != nil {
		*v = b[0]
	}
}
func (r *reader) u16(v *uint16) {
	if b := r.next(2); b != nil {
		*v = binary.BigEndian.Uint16(b)
	}
}
func (r *reader) u32(v *uint32) {
	if b := r.next(4); b != nil {
		*v = binary.BigEndian.Uint32(b)
	}
}
func (r *reader) u64(v *uint64) {
	if b := r.next(8); b != nil {
		*v = binary.BigEndian.Uint64(b)
	}
}
func (r *reader) shortString(v *string) {
	var n uint8
	r.u8(&n)
	*v = string(r.next(int(n)))
}
func (r *reader) longString(v *string) {
	var n uint32
	r.u32(&n)
	if uint64(n) > uint64(len(r.buf)) {
		n = math.MaxUint32 >> 1
	}
	*v = string(r.next(int(n)))
}
func (r *reader) bits(v ...*bool) {
	var b uint8
	r.u8(&b)
	for i, p := range v {
		*p = b&(1<<i) != 0
	}
}

// lengthPrefixed reads a 32-bit length and returns that many bytes of the input. A length beyond the input is
// replaced by one that next refuses and that fits an int on 32-bit platforms.
func (r *reader) lengthPrefixed() []byte {
	var n uint32
	r.u32(&n)
	if uint64(n) > uint64(len(r.buf)) {
		n = math.MaxUint32 >> 1
	}
	return r.next(int(n))
}

// nested reads a length and calls do for each entry within that many bytes, one nesting level deeper.
func (r *reader) nested(do func()) {
	part := r.lengthPrefixed()
	if r.err != nil {
		return
	}
	if r.depth++; r.depth > maxTableDepth {
		r.err = errNestedTooDeeply
		return
	}
	rest := r.buf
	r.buf = part
	for len(r.buf) > 0 && r.err == nil {
		if r.entries++; r.entries > maxTableEntries {
			r.err = errTooManyEntries
			return
		}
		do()
	}
	r.buf = rest
	r.depth--
}

func (r *reader) table(v *Table) {
	var t Table
	r.nested(func() {
		var e Entry
		r.shortString(&e.Name)
		e.Value = r.value()
		t = append(t, e)
	})
	*v = t
}

// value reads a type tag and its value. The tags are those in actual use: the specification's, with the errata that
// common implementations agree on.
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
		r.longString(&s)
		return s
	case 'x':
		return Bytes(append([]byte(nil), r.lengthPrefixed()...))
	case 'T':
		var n uint64
		r.u64(&n)
		return time.Unix(int64(n), 0).UTC()
	case 'A':
		values := []any{}
		r.nested(func() { values = append(values, r.value()) })
		return values
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

// finish returns the first error, or errTrailingBytes if input is left over.
func (r *reader) finish() error {
	if r.err == nil && len(r.buf) > 0 {
		r.err = errTrailingBytes
	}
	return r.err
}

// writer encodes fields. It truncates short strings to 255 bytes: what is sent is either our own text or was received
// within that limit.
type writer struct{ buf []byte }

func (w *writer) u8(v *uint8)   { w.buf = append(w.buf, *v) }
func (w *writer) u16(v *uint16) { w.buf = binary.BigEndian.AppendUint16(w.buf, *v) }
func (w *writer) u32(v *uint32) { w.buf = binary.BigEndian.AppendUint32(w.buf, *v) }
func (w *writer) u64(v *uint64) { w.buf = binary.BigEndian.AppendUint64(w.buf, *v) }
func (w *writer) shortString(v *string) {
	s := (*v)[:min(255, len(*v))]
	w.buf = append(append(w.buf, byte(len(s))), s...)
}
func (w *writer) longString(v *string) {
	w.buf = append(binary.BigEndian.AppendUint32(w.buf, uint32(len(*v))), *v...)
}
func (w *writer) bits(v ...*bool) {
	var b byte
	for i, p := range v {
		if *p {
			b |= 1 << i
		}
	}
	w.buf = append(w.buf, b)
}

// lengthPrefixed writes the output of do with its 32-bit length in front.
func (w *writer) lengthPrefixed(do func()) {
	lengthAt := len(w.buf)
	w.buf = append(w.buf, 0, 0, 0, 0)
	do()
	binary.BigEndian.PutUint32(w.buf[lengthAt:], uint32(len(w.buf)-lengthAt-4))
}

func (w *writer) table(v *Table) {
	w.lengthPrefixed(func() {
		for i := range *v {
			w.shortString(&(*v)[i].Name)
			w.value((*v)[i].Value)
		}
	})
}

func (w *writer) tag(t byte) { w.buf = append(w.buf, t) }

func (w *writer) value(v any) {
	switch v := v.(type) {
	case bool:
		w.tag('t')
		w.bits(&v)
	case int8:
		w.buf = append(w.buf, 'b', byte(v))
	case uint8:
		w.buf = append(w.buf, 'B', v)
	case int16:
		w.tag('s')
		w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(v))
	case uint16:
		w.tag('u')
		w.u16(&v)
	case int32:
		w.tag('I')
		w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(v))
	case uint32:
		w.tag('i')
		w.u32(&v)
	case int64:
		w.tag('l')
		w.buf = binary.BigEndian.AppendUint64(w.buf, uint64(v))
	case float32:
		w.tag('f')
		w.buf = binary.BigEndian.AppendUint32(w.buf, math.Float32bits(v))
	case float64:
		w.tag('d')
		w.buf = binary.BigEndian.AppendUint64(w.buf, math.Float64bits(v))
	case Decimal:
		w.tag('D')
		w.u8(&v.Scale)
		w.u32(&v.Value)
	case string:
		w.tag('S')
		w.longString(&v)
	case Bytes:
		w.tag('x')
		w.lengthPrefixed(func() { w.buf = append(w.buf, v...) })
	case time.Time:
		w.tag('T')
		w.buf = binary.BigEndian.AppendUint64(w.buf, uint64(v.Unix()))
	case []any:
		w.tag('A')
		w.lengthPrefixed(func() {
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
