package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const settings = "instances=1\ntick=5000\nextra.slots=4\nlimits.max-open=10\nlimits.most-tries=3\nclasses.count=1\n" +
	"classes.0.effect=free\nclasses.0.gain=1\nclasses.0.target=1000000\nclasses.0.hard-limit=2000000\n"

func encodeAttach(who uint16, text string) []byte {
	b := binary.LittleEndian.AppendUint16([]byte{16}, who)
	b = binary.LittleEndian.AppendUint64(b, 1)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}

func encodeBatch(seq uint32, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, seq)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	b = binary.LittleEndian.AppendUint64(b, 1000)
	return append(b, body...)
}

func TestRestartInOneBatchAndCleanEnd(t *testing.T) {
	exit := []byte{25, 3, 0}
	tick := append([]byte{22, 3, 0}, make([]byte, 8)...)
	in := append(encodeBatch(1, encodeAttach(3, settings)), encodeBatch(2, tick, exit, encodeAttach(3, settings), tick)...)
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if want := 24; out.Len() != want {
		t.Errorf("%d bytes of reply, want two empty ones of 12", out.Len())
	}
}

func TestBadSettingsAreFatalForTheInstance(t *testing.T) {
	var out bytes.Buffer
	in := encodeBatch(1, encodeAttach(3, strings.Replace(settings, "extra.slots=4\n", "", 1)), encodeAttach(4, settings))
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if b := out.Bytes(); b[12] != 25 || !strings.Contains(string(b), "extra.slots: missing") {
		t.Errorf("reply %q", b)
	}
}

func TestBadInputWritesNothing(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(encodeBatch(1, []byte{99, 3, 0})), &out); err == nil || out.Len() > 0 {
		t.Errorf("error %v, wrote %d bytes", err, out.Len())
	}
}
