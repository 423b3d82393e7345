package platform

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"whinrun/internal/disk"
	"whinrun/internal/testbed"
)

const ms = time.Millisecond

// testAddress returns a made-up address of discovery.
func testAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+n))
}

// Each case plays events at given times, in milliseconds: "spoke 1" is a sign of life of watch 1, "part 1" bytes of an incomplete
// list, "ended 1" its end, "moved 2" a change to address 2, and "" only lets time pass. Watches begin at address 1. want lists which
// watches are opened (+) and closed (-) and when.
func TestWatchPlan(t *testing.T) {
	type at struct {
		ms int
		do string
	}
	for name, c := range map[string]struct {
		plays []at
		want  string
	}{
		"healthy":                             {[]at{{10, "spoke 1"}, {2010, "spoke 1"}, {4010, "spoke 1"}, {6000, ""}}, "0:+1"},
		"silent from its first word on":       {[]at{{10, "spoke 1"}, {2600, "spoke 2"}, {4600, "spoke 2"}}, "0:+1 2510:+2 2600:-1"},
		"mute while discovery is down":        {[]at{{10, "spoke 1"}, {5700, ""}}, "0:+1 2510:+2 3010:+3 3510:+4 4010:+5 4810:+6 5610:+7"},
		"the old one speaks again":            {[]at{{10, "spoke 1"}, {2700, "spoke 1"}, {3000, "spoke 2"}, {4000, ""}}, "0:+1 2510:+2 2700:-2"},
		"the new speaks, the old one behind":  {[]at{{10, "spoke 1"}, {2700, "spoke 2"}, {2700, "spoke 1"}, {4000, ""}}, "0:+1 2510:+2 2700:-1"},
		"it ends":                             {[]at{{10, "spoke 1"}, {1000, "ended 1"}, {1100, "spoke 2"}}, "0:+1 1000:+2"},
		"it ends at once, again and again":    {[]at{{10, "ended 1"}, {510, "ended 2"}, {900, ""}}, "0:+1 500:+2"},
		"it speaks and ends, again and again": {[]at{{10, "spoke 1"}, {20, "ended 1"}, {510, "spoke 2"}, {520, "ended 2"}, {900, ""}}, "0:+1 500:+2"},
		"nobody is there for long":            {[]at{{10, "ended 1"}, {510, "ended 2"}, {1010, "ended 3"}, {1400, ""}}, "0:+1 500:+2 1000:+3"},
		"moved while healthy":                 {[]at{{10, "spoke 1"}, {700, "moved 2"}, {710, "spoke 2"}, {2710, "spoke 2"}, {3000, ""}}, "0:+1 700:+2 710:-1"},
		"moved while mute":                    {[]at{{100, "moved 2"}, {500, ""}}, "0:+1 100:+2"},
		"moved twice at once":                 {[]at{{10, "spoke 1"}, {700, "moved 2"}, {700, "moved 3"}, {800, "spoke 3"}}, "0:+1 700:+2 700:+3 800:-1 800:-2"},
		"moved there and back while slow":     {[]at{{400, "moved 2"}, {450, "moved 1"}, {600, "spoke 1"}}, "0:+1 400:+2 600:-2"},
		"an earlier address speaks":           {[]at{{10, "spoke 1"}, {700, "moved 2"}, {900, "spoke 1"}, {1100, "spoke 2"}}, "0:+1 700:+2 1100:-1"},
		"moved, the present one is slow":      {[]at{{10, "spoke 1"}, {700, "moved 2"}, {2200, "ended 1"}, {3700, "spoke 2"}}, "0:+1 700:+2 1200:+3 1700:+4 2200:+5 3000:+6 3700:-3 3700:-4 3700:-5 3700:-6"},
		"one that is closed speaks":           {[]at{{10, "spoke 1"}, {700, "moved 2"}, {710, "spoke 2"}, {710, "spoke 1"}, {1100, ""}}, "0:+1 700:+2 710:-1"},
		"a list in pieces, slowly":            {[]at{{1300, "spoke 1"}, {2000, ""}}, "0:+1 500:+2 1000:+3 1300:-2 1300:-3"},
		"pieces arrive and share the way":     {[]at{{100, "part 1"}, {1300, "part 1"}, {2500, "spoke 1"}}, "0:+1 2000:+2 2500:-2"},
		"pieces stop":                         {[]at{{100, "part 1"}, {2700, ""}}, "0:+1 2000:+2 2600:+3"},
		"slow at its start (review/3)":        {[]at{{3000, "spoke 1"}, {4000, ""}}, "0:+1 500:+2 1000:+3 1500:+4 2300:+5 3000:-2 3000:-3 3000:-4 3000:-5"},
		"the slowest has its place":           {[]at{{5500, ""}, {9900, "spoke 1"}}, "0:+1 500:+2 1000:+3 1500:+4 2300:+5 3100:+6 3900:+7 4700:+8 5500:-2 5500:+9 6300:-3 6300:+10 7100:-4 7100:+11 7900:-5 7900:+12 8700:-6 8700:+13 9500:-7 9500:+14 9900:-8 9900:-9 9900:-10 9900:-11 9900:-12 9900:-13 9900:-14"},
		"slow behind a break":                 {[]at{{10, "spoke 1"}, {900, "ended 1"}, {3900, "spoke 2"}}, "0:+1 900:+2 1400:+3 1900:+4 2400:+5 3200:+6 3900:-3 3900:-4 3900:-5 3900:-6"},
	} {
		var p watchPlan
		var got []string
		note := func(now time.Duration, sign string, ids ...uint64) {
			for _, id := range ids {
				got = append(got, fmt.Sprintf("%d:%s%d", now/ms, sign, id))
			}
		}
		wake := time.Duration(0)
		step := func(now time.Duration) {
			shut, open, again := p.step(now)
			note(now, "-", shut...)
			if open > 0 {
				note(now, "+", open)
			}
			if again <= now {
				t.Fatalf("%s: step at %v asks to be called again at %v", name, now, again)
			}
			wake = again
		}
		p.setAddress(testAddress(1))
		for _, e := range c.plays {
			now := time.Duration(e.ms) * ms
			for wake < now {
				step(wake)
			}
			var what string
			var id uint64
			_, _ = fmt.Sscanf(e.do, "%s %d", &what, &id)
			switch what {
			case "spoke":
				shut, _ := p.recordActivity(id, now)
				note(now, "-", shut...)
			case "part":
				p.recordReceived(id, now)
			case "moved":
				p.setAddress(testAddress(int(id)))
			case "ended":
				p.remove(id)
			}
			step(now)
		}
		if text := strings.Join(got, " "); text != c.want {
			t.Errorf("%s:\n%s, want\n%s", name, text, c.want)
		}
	}
}

// Whatever fails in whichever order, a list arrives soon after an agent that answers becomes reachable. That
// has to be well within the 6 s after which the agent's list counts as received. Few watches are open at any
// time.
func TestWatchPlanIsNeverLongWithoutAList(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var p watchPlan
		p.setAddress(testAddress(0))
		// live holds the open watches that are answered.
		live := map[uint64]bool{}
		open := map[uint64]bool{}
		reachable, heard, asked := time.Duration(-1), time.Duration(0), time.Duration(0)
		up, moves := true, 0
		for now := time.Duration(0); now < 60*time.Second; now += 10 * ms {
			if rng.IntN(300) == 0 {
				up = !up
			}
			// All open watches fall silent for good.
			if rng.IntN(200) == 0 {
				clear(live)
			}
			// Watches of the earlier address are not answered any more.
			if rng.IntN(400) == 0 {
				moves++
				p.setAddress(testAddress(moves))
				clear(live)
				asked = 0
			}
			for _, id := range slices.Sorted(maps.Keys(open)) {
				if rng.IntN(300) == 0 {
					p.remove(id)
					delete(open, id)
					delete(live, id)
					asked = 0
				}
			}
			if now >= asked {
				shut, id, again := p.step(now)
				for _, s := range shut {
					delete(open, s)
					delete(live, s)
				}
				if asked = again; id > 0 {
					open[id], live[id] = true, true
				}
			}
			if len(open) > maxOpenWatches {
				t.Fatalf("seed %d: %d watches are open", seed, len(open))
			}
			if !up {
				reachable = -1
				continue
			}
			if reachable < 0 {
				reachable = now
			}
			// Watches that were answered show a sign of life within 10 ms and then at least every 2 s.
			for id := range live {
				if now-heard >= 2*time.Second || rng.IntN(20) == 0 {
					shut, ok := p.recordActivity(id, now)
					for _, s := range shut {
						delete(open, s)
						delete(live, s)
					}
					if ok {
						heard, asked = now, 0
					}
					break
				}
			}
			if since := now - max(heard, reachable); since > 5*time.Second {
				t.Fatalf("seed %d: at %v nothing is heard since %v, reachable since %v", seed, now, heard, reachable)
			}
		}
	}
}

// However long discovery takes to answer a watch, it is heard: within the 6 s after which its list counts as received if it answers
// within 3 s, counted from the last sign of life of a watch that broke, or within 5 s, counted from its return; and later if it is
// slower. It guards against giving up each watch after the same time (review/3).
func TestSlowDiscoveryIsHeard(t *testing.T) {
	for _, broken := range []time.Duration{0, 10 * ms, 20 * time.Second, 300 * time.Second} {
		for answer := 100 * ms; answer < 100*time.Second; answer += answer/7 + 100*ms {
			var p watchPlan
			p.setAddress(testAddress(1))
			opened := map[uint64]time.Duration{}
			now, heard, count := time.Duration(0), false, 0
			if broken > 0 {
				// The first watch breaks with its first sign of life, and the next ones are not answered before the time broken.
				_, id, _ := p.step(0)
				p.recordActivity(id, ms)
				now = 2501 * ms
			}
			start := max(broken, ms)
			for !heard && now < start+10*time.Minute {
				shut, id, next := p.step(now)
				for _, s := range shut {
					delete(opened, s)
				}
				if id > 0 {
					count++
					if now >= broken {
						opened[id] = now
					}
				}
				for id, at := range opened {
					if heard = at+answer <= next; heard {
						p.recordActivity(id, at+answer)
						now = at + answer
						break
					}
				}
				if !heard {
					now = next
				}
			}
			took := now - start
			inTime := answer <= 3*time.Second || answer <= 5*time.Second && broken > 10*time.Second
			if !heard || inTime && took > 6*time.Second || took > 4*answer+3*broken+20*time.Second {
				t.Errorf("silent until %v, answers after %v: heard %v after %v, %d watches opened", broken, answer, heard, took, count)
			}
		}
	}
}

// Objects of a list may have any layout and be cut anywhere.
func TestListInPieces(t *testing.T) {
	body := "{\"seq\":1,\"whole\":true,\"hosts\":[]}\n\n{\n  \"seq\": 2,\n\n  \"hosts\": [\n    {\"host\": \"br{ce \\\" }\\\\\"}\n  ]\n}\n\n{\"seq\":3}{\"seq\":4}\r\n\r\n"
	for _, chunk := range []int{1, 7, len(body)} {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		for rest := body; rest != ""; {
			n := min(chunk, len(rest))
			text += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		for cut := range text {
			var seqs []int64
			beats, host := 0, ""
			r := &listReader{onHeartbeat: func() { beats++ }, onList: func(l EndpointList) {
				seqs = append(seqs, l.Seq)
				if len(l.Hosts) > 0 {
					host = l.Hosts[0].Name
				}
			}}
			if err := r.read([]byte(text[:cut])); err != nil {
				t.Fatal(err)
			}
			if err := r.read([]byte(text[cut:])); err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(seqs, []int64{1, 2, 3, 4}) || beats != 3 || host != "br{ce \" }\\" {
				t.Fatalf("chunks of %d, cut at %d: lists %v, %d empty lines, host %q", chunk, cut, seqs, beats, host)
			}
		}
	}
	for _, bad := range []string{"x\n", "{]}\n", "{\"seq\":\"a\"}\n", "}\n"} {
		r := &listReader{onList: func(EndpointList) {}, onHeartbeat: func() {}}
		if err := r.read([]byte("HTTP/1.1 200 OK\r\n\r\n" + bad)); err == nil {
			t.Errorf("%q is read as a list", bad)
		}
	}
}

// awaitRoutedTo submits messages for a destination until one is sent to host, which shows that the list is in
// force. It fails after 200 messages.
func (d *testDispatcher) awaitRoutedTo(host string, dest int) {
	d.t.Helper()
	for i := range 200 {
		name := fmt.Sprint("to-", host, "-", i)
		d.awaitEnds(d.submitOne(newMessage(name, "status", dest)))
		for _, e := range d.bed.Events() {
			if e.Kind == testbed.CallReceived && e.Name == name && e.Host == host {
				return
			}
		}
	}
	d.t.Fatalf("nothing goes to %s; log: %s", host, d.logText())
}

// submitOne submits a message that must be accepted and returns its id.
func (d *testDispatcher) submitOne(m testbed.Message) []string {
	d.t.Helper()
	if status := d.bed.Submit(d.addr, m); status != 202 {
		d.t.Fatalf("%s: %d", m.Name, status)
	}
	return []string{m.Name}
}

// awaitList waits until discovery has written a list since an event and returns how long that took.
func (d *testDispatcher) awaitList(since int, within time.Duration) time.Duration {
	d.t.Helper()
	start := time.Now()
	if !d.bed.Await(within, func(ev []testbed.Event) bool { return testbed.Count(ev[since:], testbed.ListSent, "") > 0 }) {
		d.t.Fatalf("no list was sent within %v; log: %s", within, d.logText())
	}
	return time.Since(start)
}

// expectOnlyHost checks that all messages whose id has a prefix were sent to one host.
func (d *testDispatcher) expectOnlyHost(host, prefix string) {
	d.t.Helper()
	for _, e := range d.bed.Events() {
		if e.Kind == testbed.CallReceived && e.Host != host && strings.HasPrefix(e.Name, prefix) {
			d.t.Errorf("%s went to %s", e.Name, e.Host)
		}
	}
}

// A watch that falls silent is replaced in time for the changes that it missed: a drain counts as received 6
// s after the silence began. The new watch sends indented lists.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	t.Parallel()
	d := newTestDispatcher(t)
	a := d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	d.awaitEnds(d.submitAll("x", 1, 1, "status"))
	d.agent.SilenceOpenWatches()
	d.agent.IndentLists()
	since := len(d.bed.Events())
	d.setListed(a, "single", "draining")
	d.addEndpoint("b", 1, "single", succeed)
	if took := d.awaitList(since, 10*time.Second); took > 4*time.Second {
		t.Errorf("the list came after %v", took)
	}
	d.awaitRoutedTo("b", 1)
	d.awaitEnds(d.submitAll("y", 5, 1, "status"))
	d.expectOnlyHost("b", "y")
}

// Discovery stops answering on all open connections and returns with a change. The change is received at
// once, without waiting for the next retry.
func TestDiscoveryReturnsWithAChange(t *testing.T) {
	t.Parallel()
	d := newTestDispatcher(t)
	a := d.addEndpoint("a", 1, "single", succeed)
	d.startReady()
	d.awaitEnds(d.submitAll("x", 1, 1, "status"))
	// The open watch stays silent when discovery returns.
	d.agent.SilenceOpenWatches()
	d.agent.SetMuted(true)
	had := len(d.bed.Events())
	if !d.bed.Await(10*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev[had:], testbed.WatchOpened, "") >= 2 }) {
		t.Fatal("no watch is tried while discovery is down")
	}
	since := len(d.bed.Events())
	d.setListed(a, "single", "draining")
	d.addEndpoint("b", 1, "single", succeed)
	d.agent.SetMuted(false)
	if took := d.awaitList(since, 10*time.Second); took > time.Second {
		t.Errorf("the list came %v after the return", took)
	}
	d.awaitRoutedTo("b", 1)
	d.awaitEnds(d.submitAll("y", 5, 1, "status"))
	d.expectOnlyHost("b", "y")
}

// A list that discovery sent to one process also binds the next one, even if discovery is down then and the
// list of the configuration is older.
func TestRestartWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	d := newTestDispatcher(t)
	a := d.addEndpoint("a", 1, "single", succeed)
	d.addEndpoint("b", 1, "single", succeed)
	d.fixedConfig = testbed.Configuration(d.addr, d.agent)
	d.startReady()
	since := len(d.bed.Events())
	d.setListed(a, "single", "draining")
	d.awaitList(since, 5*time.Second)
	d.awaitRoutedTo("b", 1)
	d.awaitEnds(d.submitAll("x", 5, 1, "status"))
	d.kill()
	d.agent.SetMuted(true)
	d.startReady()
	d.awaitEnds(d.submitAll("y", 10, 1, "status", "upload"))
	d.expectOnlyHost("b", "y")
}

// A start with an old list must send nothing before discovery answers, because an address may belong to
// another endpoint by now.
func TestRestartWithAnOldList(t *testing.T) {
	t.Parallel()
	d := newTestDispatcher(t)
	a := d.addEndpoint("a", 1, "single", alwaysReply(testbed.Reply{Hang: true}))
	d.fixedConfig = testbed.Configuration(d.addr, d.agent)
	d.startReady()
	names := d.submitAll("x", 3, 1, "status", "sync")
	d.kill()
	a.Close()
	d.setListed(a, "single", "gone")
	other, err := d.bed.Endpoint("other", 2, a.Addr, succeed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	d.setListed(other, "single", "ready")
	d.addEndpoint("a2", 1, "single", succeed)
	d.agent.SetMuted(true)
	since := len(d.bed.Events())
	// The answer comes after the watch is open, and later than a call would be made.
	go func() {
		d.bed.Await(5*time.Second, func(ev []testbed.Event) bool { return testbed.Count(ev[since:], testbed.WatchOpened, "") > 0 })
		d.bed.Await(200*time.Millisecond, func(ev []testbed.Event) bool { return testbed.Count(ev[since:], testbed.CallReceived, "") > 0 })
		d.agent.SetMuted(false)
	}()
	d.startReady()
	d.awaitEnds(names)
	for _, e := range d.bed.Events()[since:] {
		if e.Kind == testbed.CallReceived && e.Host != "a2" {
			t.Errorf("%s went to %s", e.Name, e.Host)
		}
	}
}

// testHosts returns n endpoints of a list, ordered by name.
func testHosts(n int) []Host {
	all := make([]Host, n)
	for i := range all {
		all[i] = Host{Name: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Dial: fmt.Sprintf("10.%d.%d.%d:7070", i%3, i/200, i%200), Site: "a", Class: "m2",
			Block: i / 2, Health: "ready", Share: float64(i%977) / 31}
	}
	slices.SortFunc(all, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// newTestListCache returns a cache of the list that now points to and collects its log lines in said.
func newTestListCache(fs disk.FS, most int, now *EndpointList, said *[]string) *listCache {
	return newListCache(fs, most, func() EndpointList { return *now }, func(f string, a ...any) { *said = append(*said, fmt.Sprintf(f, a...)) })
}

// Changes count on top of the whole list, however many there are. A list that does not fit is logged once. A
// failing disk leaves the previous file in place, and a repair brings it up to date.
func TestLastList(t *testing.T) {
	fs := disk.NewMemory()
	var said []string
	now := EndpointList{Seq: 4, Whole: true, Hosts: testHosts(40)}
	k := newTestListCache(fs, 20000, &now, &said)
	if _, ok := k.load(); ok {
		t.Error("load returned a list although none was saved")
	}
	k.update(now)
	want := func() {
		t.Helper()
		if l, ok := k.load(); !ok || l.Seq != now.Seq || !l.Whole || !slices.Equal(l.Hosts, now.Hosts) {
			t.Fatalf("version %d with %d hosts, %v; want version %d with %d", l.Seq, len(l.Hosts), ok, now.Seq, len(now.Hosts))
		}
	}
	want()
	change := func(i int) {
		now.Hosts = slices.Clone(now.Hosts)
		now.Hosts[i%40].Share++
		now.Seq++
		k.update(EndpointList{Seq: now.Seq, Hosts: []Host{now.Hosts[i%40]}})
	}
	for i := range 500 {
		change(i)
		want()
	}
	if n := len(fs.Bytes(listFileName)); n > 20000 {
		t.Errorf("%d bytes", n)
	}
	gone := now.Hosts[3]
	gone.Health = "gone"
	now.Hosts, now.Seq = slices.Delete(slices.Clone(now.Hosts), 3, 4), now.Seq+1
	k.update(EndpointList{Seq: now.Seq, Hosts: []Host{gone}})
	want()
	before := now
	fs.SetFail(func(op, name string) error { return fmt.Errorf("%s %s: %w", op, name, unix.EIO) })
	now.Hosts = slices.Clone(now.Hosts)
	now.Hosts[0].Health, now.Seq = "draining", now.Seq+1
	k.update(EndpointList{Seq: now.Seq, Hosts: now.Hosts[:1]})
	if k.repair() == nil {
		t.Error("repair succeeded on a failing disk")
	}
	fs.SetFail(nil)
	if l, ok := k.load(); !ok || l.Seq != before.Seq {
		t.Errorf("version %d, %v while the disk failed", l.Seq, ok)
	}
	if err := k.repair(); err != nil {
		t.Error(err)
	}
	want()
	if len(said) != 1 {
		t.Errorf("logged %q", said)
	}
	big := EndpointList{Seq: 9000, Whole: true, Hosts: testHosts(3000)}
	now, before = big, now
	k.update(big)
	k.update(big)
	if l, ok := k.load(); !ok || l.Seq != before.Seq || len(said) != 2 {
		t.Errorf("version %d, %v, logged %d times", l.Seq, ok, len(said))
	}
}

// Wherever the file is truncated, load returns a list that was in force, with the changes up to the cut.
func TestLastListTruncated(t *testing.T) {
	fs := disk.NewMemory()
	var said []string
	now := EndpointList{Seq: 1, Whole: true, Hosts: testHosts(3)}
	k := newTestListCache(fs, 20000, &now, &said)
	k.update(now)
	base := len(fs.Bytes(listFileName))
	for seq := int64(2); seq < 6; seq++ {
		k.update(EndpointList{Seq: seq, Hosts: []Host{{Name: fmt.Sprint("new", seq), Dial: "127.0.0.1:1", Health: "ready"}}})
	}
	whole := slices.Clone(fs.Bytes(listFileName))
	for cut := range whole {
		f, err := fs.Create(listFileName)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = f.Write(whole[:cut])
		l, ok := k.load()
		if ok != (cut >= base) || ok && len(l.Hosts) != 2+int(l.Seq) {
			t.Fatalf("cut at %d: %v, version %d with %d hosts", cut, ok, l.Seq, len(l.Hosts))
		}
	}
}

// The list of the largest fleet fits into its part of the smallest state directory, together with the copy
// that a rewrite makes.
func TestLastListOfALargeFleet(t *testing.T) {
	fs := disk.NewMemory()
	var said []string
	now := EndpointList{Seq: 1, Whole: true, Hosts: testHosts(3200)}
	k := newTestListCache(fs, int(math.Floor(listDiskFraction*3*(1<<20))), &now, &said)
	k.update(now)
	if l, ok := k.load(); !ok || !slices.Equal(l.Hosts, now.Hosts) || len(said) > 0 {
		t.Errorf("%d hosts, %v, logged %q", len(l.Hosts), ok, said)
	}
}
