package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"whinrun/control"
)

// decodeHex decodes hexadecimal digits, and ignores white space.
func decodeHex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const sampleBatch = `0c000000 39000000 03000000 5a5c800000000000
	12 0300 c4913a5d82c10c00 0000 01 00 e02e0000 80a90300 00006442 640ad2557c3bf091
	16 0300 4d00000000000000
	15 0500 192b6f0e7a800700`

// TestDecodeBatch checks the decoding of a batch with an arrival and a tick.
func TestDecodeBatch(t *testing.T) {
	d := NewDecoder(bytes.NewReader(decodeHex(t, sampleBatch)))
	b, err := d.Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Seq != 12 || b.Now != 0x805c5a || len(b.Records) != 3 {
		t.Fatalf("batch %+v", b)
	}
	e := b.Records[0].Event
	if e.Kind != control.Arrival || e.Message != 0xcc1825d3a91c4 || e.Dest != 57 || e.TimeLeft != 240000 || e.Key == 0 {
		t.Errorf("arrival %+v", e)
	}
	if b.Records[1].Event.TimerToken != 77 || b.Records[2].Instance != 5 {
		t.Errorf("records %+v", b.Records)
	}
	if _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

// TestEncodeReply checks the encoding of a reply with a send, a timer and a note.
func TestEncodeReply(t *testing.T) {
	var r Reply
	r.Add(3, control.Action{
		Kind: control.Send, Message: 0xcc1825d3a91c4, Endpoint: control.EndpointID(0x074a120a)<<16 | 0x1f93, After: 80000,
	})
	r.Add(3, control.Action{Kind: control.Timer, After: 500000, TimerToken: 77})
	r.Add(5, control.Action{Kind: control.Log, Text: "two servers unknown"[:17]})
	var out bytes.Buffer
	if err := r.Write(&out, 12); err != nil {
		t.Fatal(err)
	}
	want := decodeHex(t, `0c000000 03000000 3a000000 10 0300 c4913a5d82c10c00 0a124a07 931f 80380100
		14 0300 20a10700 4d00000000000000 18 0500 1100`)
	if !bytes.HasPrefix(out.Bytes(), want) || out.Len() != 12+0x3a {
		t.Errorf("reply %x", out.Bytes())
	}
}

// TestBadInputNamesBatchAndRecord checks that the errors of invalid input name the batch and the record.
func TestBadInputNamesBatchAndRecord(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"header cut":     {"0c0000", "batch header"},
		"body cut":       {"0c000000 39000000 03000000 5a5c800000000000 12", "batch 12: body ends"},
		"count too big":  {"0c000000 03000000 09000000 5a5c800000000000 190300", "batch 12: 3 bytes cannot hold 9 records"},
		"unknown code":   {"0c000000 03000000 01000000 5a5c800000000000 770300", "batch 12, record 0: event code 119 is unknown"},
		"record cut":     {"0c000000 05000000 01000000 5a5c800000000000 1603004d00", "record 0: event code 22 is cut short"},
		"left over":      {"0c000000 04000000 01000000 5a5c800000000000 19030000", "1 bytes left over"},
		"list never set": {"0c000000 0e000000 01000000 5a5c800000000000 110300020000000000000000 0700", "list 7 was never sent"},
	} {
		_, err := NewDecoder(bytes.NewReader(decodeHex(t, c.in))).Next()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
	}
}

// FuzzDecoder checks that no input makes the decoder panic.
func FuzzDecoder(f *testing.F) {
	f.Add(decodeHex(f, sampleBatch))
	f.Add(decodeHex(f, "0c000000 03000000 09000000 5a5c800000000000 190300"))
	f.Add(decodeHex(f, `01000000 38000000 02000000 0000000000000000 1a 0000 01000000 0a124a07931f00003900010000803f
		0000000000000000 14 0300 01 00`))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for range 100 {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}

const goodSettings = `instances=2
tick=5000
extra.slots=13
limits.max-open=313
limits.most-tries=6
classes.count=1
classes.0.effect=guarded
classes.0.gain=2.0
classes.0.target=2500000
classes.0.hard-limit=24000000
classes.0.window=10000000
host-types=a,b
extra.batch-by-kind=10,1
extra.routes-apart=false,true
report.names=x0,x1
unknown.key=7
`

// TestParseSettings checks the parsing of valid settings, and that errors name the key that is missing or invalid.
func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(goodSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Slots != 13 || s.MaxOpen != 313 || s.Classes[0].Effect != control.Deduplicated || s.Classes[0].Value != 2 ||
		s.DestinationKinds[0].MaxBatch != 10 || !s.DestinationKinds[1].PerEndpointLimits || s.ReportLimitIndex != 1 {
		t.Errorf("settings %+v", s)
	}
	for from, key := range map[string]string{
		"extra.slots=13": "extra.slots", "tick=5000": "tick", "classes.0.gain=2.0": "classes.0.gain",
		"classes.0.effect=guarded": "classes.0.effect",
	} {
		name, _, _ := strings.Cut(from, "=")
		for _, to := range []string{"", name + "=none", name + "=-1"} {
			if _, err := ParseSettings(strings.Replace(goodSettings, from, to, 1)); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("%q for %q: error %v", to, from, err)
			}
		}
	}
}

// TestCloseIsHangUp checks the encoding of the action Close.
func TestCloseIsHangUp(t *testing.T) {
	var r Reply
	var out bytes.Buffer
	r.Add(3, control.Action{Kind: control.CloseIdle, Endpoint: control.EndpointID(0xf211900a<<16 | 0x1fbc)})
	if err := r.Write(&out, 1); err != nil {
		t.Fatal(err)
	}
	if want := decodeHex(t, `01000000 01000000 09000000 16 0300 0a9011f2 bc1f`); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply %x, want %x", out.Bytes(), want)
	}
}

// TestListAndNoteRecords checks the records that ask for the endpoint list, and those that carry notes to and from peers.
func TestListAndNoteRecords(t *testing.T) {
	var r Reply
	r.Add(3, control.Action{Kind: control.Watch})
	r.Add(3, control.Action{Kind: control.Fetch})
	r.Add(3, control.Action{Kind: control.SendGossip, Text: "hi 7"})
	r.Add(3, control.Action{Kind: control.SendGossip, Text: strings.Repeat("x", 300)})
	want := decodeHex(t, "1a 0300 01  1b 0300  17 0300 ffffffff 0400 68692037  17 0300 ffffffff 0001")
	if !bytes.HasPrefix(r.body, want) || len(r.body) != len(want)+maxNoteBytes {
		t.Errorf("encoded %x, %d bytes", r.body[:len(want)], len(r.body))
	}
	frame := func(body string) []byte {
		b := decodeHex(t, body)
		head := append(decodeHex(t, "01000000"), byte(len(b)), 0, 0, 0, 1, 0, 0, 0)
		return append(append(head, decodeHex(t, "5a5c800000000000")...), b...)
	}
	b, err := NewDecoder(bytes.NewReader(frame("18 0300 0200 0400 68692037"))).Next()
	if err != nil || len(b.Records) != 1 || b.Records[0].Event.Kind != control.GossipReceived ||
		b.Records[0].Event.Payload != "hi 7" || b.Records[0].Instance != 3 {
		t.Errorf("note %+v, %v", b.Records, err)
	}
	if _, err = NewDecoder(bytes.NewReader(frame("18 0300 0200 0900 68692037"))).Next(); err == nil ||
		!strings.Contains(err.Error(), "record 0") {
		t.Errorf("a note cut short: %v", err)
	}
}

// TestAskPeerAndFeeSettings checks the settings of list subscriptions, notes between instances and fees.
func TestAskPeerAndFeeSettings(t *testing.T) {
	base := "instances=2\ntick=5000\nextra.slots=4\nlimits.max-open=9\nlimits.most-tries=3\nclasses.count=1\n" +
		"classes.0.effect=free\nclasses.0.gain=1\nclasses.0.target=1\nclasses.0.hard-limit=2\n"
	s, err := ParseSettings(base + "membership-mode=subscribe\nrules.ask-every=10000000\nlimits.peer-messages=true\n" +
		"deductions.peer=0.01\nextra.carriage=0.0,0.05\n")
	if err != nil || !s.PullList || s.PullInterval != 10*control.Second || !s.Gossip || s.GossipCost != 0.01/256 ||
		len(s.ZoneCosts) != 2 || s.ZoneCosts[1] != 0.05 {
		t.Errorf("%+v, %v", s, err)
	}
	if s, err = ParseSettings(base + "membership-mode=automatic\n"); err != nil || s.PullList || s.Gossip || s.ZoneCosts != nil {
		t.Errorf("%+v, %v", s, err)
	}
	for key, line := range map[string]string{
		"extra.carriage": "extra.carriage=0,NaN", "rules.ask-every": "rules.ask-every=x", "deductions.peer": "deductions.peer=-1",
	} {
		if _, err := ParseSettings(base + line + "\n"); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", line, err)
		}
	}
}
