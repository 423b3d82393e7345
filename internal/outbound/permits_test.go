package outbound

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"whinrun/control"
	"whinrun/internal/engine"
)

// office gives permits, and writes down what it is asked.
type office struct {
	mu      sync.Mutex
	lines   []string
	forbid  map[string]bool // messages that must not be written
	broken  bool            // nothing can be recorded, but for ...
	without string          // ... this message, which needs no record
}

func (o *office) put(f string, a ...any) {
	o.mu.Lock()
	o.lines = append(o.lines, fmt.Sprintf(f, a...))
	o.mu.Unlock()
}

func (o *office) take() (lines []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lines, o.lines = o.lines, nil
	return lines
}

func (o *office) Write(_ control.Time, a *engine.Attempt) error {
	o.put("write %s", a.Message.ExternalID)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.forbid[a.Message.ExternalID] {
		return errors.New("forbidden")
	}
	return nil
}

func (o *office) Record(call []*engine.Attempt) (may []*engine.Attempt, err error) {
	var names []string
	for _, a := range call {
		names = append(names, a.Message.ExternalID)
		if a.Message.ExternalID == o.without {
			may = append(may, a)
		}
	}
	o.put("record %s", strings.Join(names, " "))
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.broken {
		return may, errors.New("no room")
	}
	return call, nil
}

func (o *office) TakenBack(a *engine.Attempt) { o.put("taken back %s", a.Message.ExternalID) }

func (o *office) want(t *testing.T, lines ...string) {
	t.Helper()
	if got := o.take(); !slices.Equal(got, lines) {
		t.Errorf("%q, want %q", got, lines)
	}
}

// A call is permitted and recorded in the moment in which it is written, and not while it waits for a connection.
func TestPermittedAsItIsWritten(t *testing.T) {
	o := &office{}
	r := newRigWith(t, o)
	r.start("a")
	c := r.conn()
	r.read(c)
	o.want(t, "write a", "record a")
	for range 2 {
		r.conn2("b")
	}
	o.take()
	waiting := r.start("c")
	select {
	case e := <-r.ends:
		t.Fatalf("end %+v", e)
	case <-time.After(50 * time.Millisecond): // all connections that there may be are taken
	}
	o.want(t)
	r.p.Cancel(waiting[0], engine.Cancelled)
	r.want(engine.Unsent, 0)
	o.want(t)
}

// conn2 has a call written on a connection of its own.
func (r *rig) conn2(name string) {
	r.t.Helper()
	r.start(name)
	r.read(r.conn())
}

// What is not permitted, or can't be recorded and has to be, is not written; the others of the call are.
func TestForbiddenAndUnrecorded(t *testing.T) {
	for _, c := range []struct {
		name    string
		o       *office
		written string
		ends    map[string]engine.OutcomeKind
	}{
		{"one is forbidden", &office{forbid: map[string]bool{"a": true}}, "/b", map[string]engine.OutcomeKind{"a": engine.Unsent}},
		{"one needs no record", &office{broken: true, without: "b"}, "/b", map[string]engine.OutcomeKind{"a": engine.NotRecorded}},
		{"none can be recorded", &office{broken: true}, "", map[string]engine.OutcomeKind{"a": engine.NotRecorded, "b": engine.NotRecorded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRigWith(t, c.o)
			call := r.start("a", "b")
			conn := r.conn()
			ends := map[string]engine.OutcomeKind{}
			for range c.ends {
				select {
				case e := <-r.ends:
					ends[call[e.Seq-1].Message.ExternalID] = e.Kind
				case <-time.After(5 * time.Second):
					t.Fatal("no end came")
				}
			}
			for name, kind := range c.ends {
				if ends[name] != kind {
					t.Errorf("%s ends as %d, want %d", name, ends[name], kind)
				}
			}
			if c.written != "" {
				if got := r.read(conn); !strings.HasPrefix(got, "POST "+c.written+" ") {
					t.Errorf("written %q", got)
				}
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if n, _ := conn.Read(make([]byte, 1)); n > 0 {
				t.Error("something was written")
			}
		})
	}
}

// A connection that its peer has closed is not recorded on: the call goes elsewhere with one record.
func TestNothingIsRecordedOnAStaleConnection(t *testing.T) {
	o := &office{}
	r := newRigWith(t, o)
	r.start("a")
	c := r.conn()
	r.read(c)
	_, _ = c.Write([]byte(okAnswer))
	r.want(engine.Answered, 200)
	_ = c.Close()
	o.take()
	r.conn2("b")
	o.want(t, "write b", "record b")
}
