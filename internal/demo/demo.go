// Package demo shows the dispatcher at work in one process: stand-in partners, a short load, and what came of it.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/config"
	"whinrun/internal/load"
	"whinrun/internal/logs"
	"whinrun/internal/partner"
	"whinrun/internal/service"
)

// Settings returns the settings of the quickstart with its addresses replaced: the dispatcher's and the partners'.
func Settings(listen string, endpoints []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[dispatcher]\nlisten = %s\n\n", listen)
	b.WriteString(common)
	names := []string{"archive", "tracker", "mirror"}
	for i, n := range names {
		fmt.Fprintf(&b, "\n[partner %s]\nkind = gateway\nendpoints = %s\n", n, endpoints[i])
		for _, c := range []string{"status", "sync", "upload"} {
			fmt.Fprintf(&b, "\n[push /%s/%s]\npartner = %s\nclass = %s\ntenant = farm\n", n, c, n, c)
		}
	}
	return b.String()
}

const common = `[class status]
effect = safe
aim = 1500ms
deadline = 5s
worth = 2

[class sync]
effect = keyed
window = 10s
aim = 2500ms
deadline = 20s
worth = 1
late-worth = 0.5
order = yes

[class upload]
effect = unsafe
aim = 2500ms
deadline = 20s
worth = 5
late-worth = 0.4

[tenant farm]
token = quickstart

[kind gateway]
dialect = push
`

// Run runs the demonstration and writes what comes of it.
func Run(ctx context.Context, w io.Writer) error {
	fmt.Fprintln(w, "Three stand-in partners and a dispatcher on loopback; 600 messages in three seconds.")
	fmt.Fprintln(w, "The tracker is silent from 0.8 s to 1.8 s, the mirror loses one answer in five after applying it.")
	log := partner.NewLog(100000)
	var addrs []string
	var ends []*partner.Endpoint
	for i, n := range []string{"archive", "tracker", "mirror"} {
		p := partner.New(partner.Config{Name: n, ServiceTime: 5 * time.Millisecond, Seed: uint64(i)}, log)
		e, err := p.Listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		defer p.Close()
		ends = append(ends, e)
		addrs = append(addrs, e.Addr().String())
	}
	cfg, err := config.Parse("demo settings", []byte(Settings("127.0.0.1:0", addrs)))
	if err != nil {
		return err
	}
	logger, err := logs.New(io.Discard, "info", 10)
	if err != nil {
		return err
	}
	s, err := service.Start(cfg, logger, nil)
	if err != nil {
		return err
	}
	_ = ends[2].SetFault(partner.Fault{LostResponseRate: 0.2})
	silent := time.AfterFunc(800*time.Millisecond, func() { _ = ends[1].SetFault(partner.Fault{Hang: true}) })
	back := time.AfterFunc(1800*time.Millisecond, func() { _ = ends[1].SetFault(partner.Fault{}) })
	defer silent.Stop()
	defer back.Stop()

	c := load.NewClient(s.Addr().String(), 2)
	defer c.Close()
	start := clock.StartStopwatch()
	out := load.Run(ctx, c, messages(), func() time.Duration { return start.Elapsed() }, 1000)
	load.Write(w, load.Summarize(out), start.Elapsed())
	stop, done := context.WithTimeout(context.Background(), 15*time.Second)
	defer done()
	s.Stop(stop)
	applied := map[string]int{}
	for _, e := range log.Events() {
		if e.Kind == partner.Applied && e.Class == "upload" {
			applied[e.CorrelationID]++
		}
	}
	twice := 0
	for _, n := range applied {
		if n > 1 {
			twice++
		}
	}
	st := s.Stats()
	fmt.Fprintf(w, "%d taken, %d final answers, %d attempts; uploads applied: %d, twice: %d.\n", st.Accepted, st.Served+st.Refused+st.Failed,
		st.Attempts, len(applied), twice)
	fmt.Fprintln(w, "served: a partner took it. refused: handing it in again is harmless. failed: nothing is promised.")
	return ctx.Err()
}

func messages() []load.Message {
	var all []load.Message
	partners, classes := []string{"archive", "tracker", "mirror"}, []string{"status", "sync", "upload"}
	for i := range 600 {
		p, c := partners[i%3], classes[(i/3)%3]
		m := load.Message{At: time.Duration(i) * 5 * time.Millisecond, CorrelationID: fmt.Sprintf("m%d", i), Class: c, Path: "/" + p + "/" + c,
			Token: "quickstart", TTL: 4, Partner: p}
		if c == "sync" {
			m.OrderKey = fmt.Sprintf("k%d", i%7)
		}
		all = append(all, m)
	}
	return all
}
