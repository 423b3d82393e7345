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

// fakeAdmission gives permits, and writes down what it is asked.
type fakeAdmission struct {
	mu             sync.Mutex
	events         []string
	denied         map[string]bool // messages that must not be written
	recordFails    bool            // nothing can be recorded, but for ...
	noRecordNeeded string          // ... this message, which needs no record
}

func (o *fakeAdmission) logf(format string, a ...any) {
	o.mu.Lock()
	o.events = append(o.events, fmt.Sprintf(format, a...))
	o.mu.Unlock()
}

func (o *fakeAdmission) takeEvents() (events []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	events, o.events = o.events, nil
	return events
}

func (o *fakeAdmission) Write(_ control.Time, a *engine.Attempt) error {
	o.logf("write %s", a.Msg.Name)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.denied[a.Msg.Name] {
		return errors.New("forbidden")
	}
	return nil
}

func (o *fakeAdmission) Record(call []*engine.Attempt) (writable []*engine.Attempt, err error) {
	var names []string
	for _, a := range call {
		names = append(names, a.Msg.Name)
		if a.Msg.Name == o.noRecordNeeded {
			writable = append(writable, a)
		}
	}
	o.logf("record %s", strings.Join(names, " "))
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recordFails {
		return writable, errors.New("no room")
	}
	return call, nil
}

func (o *fakeAdmission) TakenBack(a *engine.Attempt) { o.logf("taken back %s", a.Msg.Name) }

func (o *fakeAdmission) wantEvents(t *testing.T, events ...string) {
	t.Helper()
	if got := o.takeEvents(); !slices.Equal(got, events) {
		t.Errorf("%q, want %q", got, events)
	}
}

// A call is permitted and recorded in the moment in which it is written, and not while it waits for a connection.
func TestPermittedAsItIsWritten(t *testing.T) {
	o := &fakeAdmission{}
	r := newTestPoolWith(t, o)
	r.start("a")
	c := r.conn()
	r.read(c)
	o.wantEvents(t, "write a", "record a")
	for range 2 {
		r.startOnNewConn("b")
	}
	o.takeEvents()
	waiting := r.start("c")
	select {
	case e := <-r.ends:
		t.Fatalf("end %+v", e)
	case <-time.After(50 * time.Millisecond): // all connections that there may be are taken
	}
	o.wantEvents(t)
	r.p.Abandon(waiting[0], engine.CalledOff)
	r.wantEnd(engine.Unsent, 0)
	o.wantEvents(t)
}

// startOnNewConn has a call written on a connection of its own.
func (r *testPool) startOnNewConn(name string) {
	r.t.Helper()
	r.start(name)
	r.read(r.conn())
}

// What is not permitted, or can't be recorded and has to be, is not written; the others of the call are.
func TestForbiddenAndUnrecorded(t *testing.T) {
	for _, c := range []struct {
		name    string
		o       *fakeAdmission
		written string
		ends    map[string]engine.EndKind
	}{
		{"one is forbidden", &fakeAdmission{denied: map[string]bool{"a": true}}, "/b", map[string]engine.EndKind{"a": engine.Unsent}},
		{"one needs no record", &fakeAdmission{recordFails: true, noRecordNeeded: "b"}, "/b", map[string]engine.EndKind{"a": engine.NotRecorded}},
		{"none can be recorded", &fakeAdmission{recordFails: true}, "", map[string]engine.EndKind{"a": engine.NotRecorded, "b": engine.NotRecorded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestPoolWith(t, c.o)
			call := r.start("a", "b")
			conn := r.conn()
			ends := map[string]engine.EndKind{}
			for range c.ends {
				select {
				case e := <-r.ends:
					ends[call[e.Seq-1].Msg.Name] = e.Kind
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
	o := &fakeAdmission{}
	r := newTestPoolWith(t, o)
	r.start("a")
	c := r.conn()
	r.read(c)
	_, _ = c.Write([]byte(okAnswer))
	r.wantEnd(engine.Answered, 200)
	_ = c.Close()
	o.takeEvents()
	r.startOnNewConn("b")
	o.wantEvents(t, "write b", "record b")
}
