package amqp

import (
	"bytes"
	"testing"
	"time"
)

// openPublish returns a connection with a channel on which a message of this size has begun, and its content without the header frame.
func openPublish(t *testing.T, body []byte) (r *testConn, content []byte) {
	t.Helper()
	r = openTestConn(t).methods(1, &BasicPublish{Key: "/p"})
	header := AppendContent(nil, 1, &Properties{}, nil, testFrameMax)
	content = AppendContent(nil, 1, &Properties{}, body, testFrameMax)
	r.send(content[:len(header)])
	return r, content[len(header):]
}

// testFrameMax is the frame-max of these tests.
const testFrameMax = 8192

// Guards against hundreds of clients that stop in the middle of a frame: each connection held up to frame-max bytes, beside the limit on
// held bytes. The payload of a body frame is passed on as it comes.
func TestHalfBodyFrameNeedsNoBuffer(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 6000)
	r, content := openPublish(t, body)
	r.send(content[:frameHeaderSize+5000])
	if n := r.c.Buffered(); n != 0 || len(r.bodies[1]) != 5000 {
		t.Errorf("%d bytes are buffered, %d of the body were passed on", n, len(r.bodies[1]))
	}
	r.send(content[frameHeaderSize+5000:])
	last := r.events[len(r.events)-1]
	if last.Kind != ContentBody || !last.Complete || !bytes.Equal(r.bodies[1], body) {
		t.Errorf("last event %+v, body of %d bytes", last, len(r.bodies[1]))
	}
}

// A message is complete only behind the end octet of its last frame, and a frame that is wrong is refused also in pieces.
func TestBodyFrameInPiecesIsChecked(t *testing.T) {
	r, content := openPublish(t, bytes.Repeat([]byte("x"), 100))
	content[len(content)-1] = 0
	for i := range content {
		r.send(content[i : i+1])
	}
	for _, e := range r.events {
		if e.Complete {
			t.Error("complete without the end octet")
		}
	}
	if code, hard := r.closeCode(); code != FrameError || !hard {
		t.Errorf("closed with %d", code)
	}
	r, content = openPublish(t, bytes.Repeat([]byte("x"), 100))
	content[6]++ // The frame is longer than the body.
	r.send(content[:20])
	if code, hard := r.closeCode(); code != FrameError || !hard {
		t.Errorf("a frame longer than the body: closed with %d", code)
	}
}

// Guards against work that grows with the square of a frame's size, when it comes in small pieces: what had come was copied for each.
func TestFrameInSmallPiecesIsNotCopiedEachTime(t *testing.T) {
	r := openTestConn(t)
	declare := AppendMethod(nil, 1, &QueueDeclare{Queue: "q", Arguments: Table{{Name: "a", Value: string(make([]byte, 4000))}}})
	copies := 0
	for i := range declare {
		before := cap(r.c.in)
		r.send(declare[i : i+1])
		if cap(r.c.in) != before {
			copies++
		}
	}
	if copies > 20 {
		t.Errorf("the buffer was replaced %d times in a frame of %d bytes", copies, len(declare))
	}
	if last := r.events[len(r.events)-1]; last.Kind != ChannelMethod || r.c.Buffered() != 0 {
		t.Errorf("last event %+v, %d bytes are buffered", last, r.c.Buffered())
	}
}

// A frame that has begun and does not go on ends its connection, also without heartbeats and within no message.
func TestFrameThatStandsStill(t *testing.T) {
	for name, begin := range map[string]func(t *testing.T) *testConn{
		"method": func(t *testing.T) *testConn { return openTestConn(t).send([]byte{frameMethod, 0}) },
		"body": func(t *testing.T) *testConn {
			r, content := openPublish(t, make([]byte, 100))
			return r.send(content[:50])
		},
	} {
		r := begin(t)
		limit := r.now + testConfig().BodyStallTimeout
		if due := r.c.NextCheck(r.now); due > limit+time.Second {
			t.Errorf("%s: the next check is due at %v", name, due)
		}
		if _ = r.c.Check(limit + time.Second); r.c.Running() {
			t.Errorf("%s: the connection goes on", name)
		}
	}
}
