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

// fakeAdmission is an Admission that records its calls.
type fakeAdmission struct {
	mu sync.Mutex
	// events are the calls since takeEvents was last called.
	events []string
	// denied holds the names of messages that must not be written.
	denied map[string]bool
	// recordFails makes Record fail.
	recordFails bool
	// noRecordNeeded is the name of a message that may be written even if Record fails.
	noRecordNeeded string
}

func (f *fakeAdmission) logf(format string, a ...any) {
	f.mu.Lock()
	f.events = append(f.events, fmt.Sprintf(format, a...))
	f.mu.Unlock()
}

func (f *fakeAdmission) takeEvents() (events []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events, f.events = f.events, nil
	return events
}

func (f *fakeAdmission) Write(_ control.Time, a *engine.Attempt) error {
	f.logf("write %s", a.Message.ExternalID)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.denied[a.Message.ExternalID] {
		return errors.New("forbidden")
	}
	return nil
}

func (f *fakeAdmission) Record(call []*engine.Attempt) (writable []*engine.Attempt, err error) {
	var names []string
	for _, a := range call {
		names = append(names, a.Message.ExternalID)
		if a.Message.ExternalID == f.noRecordNeeded {
			writable = append(writable, a)
		}
	}
	f.logf("record %s", strings.Join(names, " "))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.recordFails {
		return writable, errors.New("no room")
	}
	return call, nil
}

func (f *fakeAdmission) MarkUnwritten(a *engine.Attempt) {
	f.logf("taken back %s", a.Message.ExternalID)
}

func (f *fakeAdmission) MarkPossiblyOver(attempts []*engine.Attempt) {
	for _, a := range attempts {
		f.logf("possibly over %s", a.Message.ExternalID)
	}
}

func (f *fakeAdmission) wantEvents(t *testing.T, events ...string) {
	t.Helper()
	if got := f.takeEvents(); !slices.Equal(got, events) {
		t.Errorf("%q, want %q", got, events)
	}
}

// A call must be admitted and recorded when it is written, not while it waits for a connection.
func TestPermittedAsItIsWritten(t *testing.T) {
	admission := &fakeAdmission{}
	tp := newTestPoolWith(t, admission)
	tp.start("a")
	c := tp.conn()
	tp.read(c)
	admission.wantEvents(t, "write a", "record a")
	for range 2 {
		tp.startOnNewConn("b")
	}
	admission.takeEvents()
	waiting := tp.start("c")
	select {
	case e := <-tp.ends:
		t.Fatalf("end %+v", e)
	// All connections that are allowed carry calls, so that this one waits.
	case <-time.After(50 * time.Millisecond):
	}
	admission.wantEvents(t)
	tp.p.Cancel(waiting[0], engine.Cancelled)
	tp.wantEnd(engine.Unsent, 0)
	admission.wantEvents(t)
}

// startOnNewConn starts a call and has it written on a connection of its own.
func (tp *testPool) startOnNewConn(name string) {
	tp.t.Helper()
	tp.start(name)
	tp.read(tp.conn())
}

// An attempt that is denied, or that needs a record and cannot be recorded, must not be written. The other
// attempts of its call must be.
func TestForbiddenAndUnrecorded(t *testing.T) {
	for _, c := range []struct {
		name      string
		admission *fakeAdmission
		written   string
		ends      map[string]engine.OutcomeKind
	}{
		{"one is forbidden", &fakeAdmission{denied: map[string]bool{"a": true}}, "/b", map[string]engine.OutcomeKind{"a": engine.Unsent}},
		{"one needs no record", &fakeAdmission{recordFails: true, noRecordNeeded: "b"}, "/b", map[string]engine.OutcomeKind{"a": engine.NotRecorded}},
		{"none can be recorded", &fakeAdmission{recordFails: true}, "", map[string]engine.OutcomeKind{"a": engine.NotRecorded, "b": engine.NotRecorded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			tp := newTestPoolWith(t, c.admission)
			call := tp.start("a", "b")
			conn := tp.conn()
			ends := map[string]engine.OutcomeKind{}
			for range c.ends {
				select {
				case e := <-tp.ends:
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
				if got := tp.read(conn); !strings.HasPrefix(got, "POST "+c.written+" ") {
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

// A call must not be recorded for a connection that its peer has closed. It goes to another connection, with one
// record.
func TestNothingIsRecordedOnAStaleConnection(t *testing.T) {
	admission := &fakeAdmission{}
	tp := newTestPoolWith(t, admission)
	tp.start("a")
	c := tp.conn()
	tp.read(c)
	_, _ = c.Write([]byte(okAnswer))
	tp.wantEnd(engine.Answered, 200)
	_ = c.Close()
	admission.takeEvents()
	tp.startOnNewConn("b")
	admission.wantEvents(t, "write b", "record b")
}
