// Package demo runs a short demonstration in one process: a dispatcher, stand-in partners, a short load, and a summary of
// the results.
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

// Settings returns the settings of the quickstart with other addresses. listen is the address of the dispatcher, and
// endpoints holds one endpoint for each of the three partners.
func Settings(listen string, endpoints []string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[dispatcher]\nlisten = %s\n\n", listen)
	text.WriteString(commonSettings)
	names := []string{"archive", "tracker", "mirror"}
	for i, n := range names {
		fmt.Fprintf(&text, "\n[partner %s]\nkind = gateway\nendpoints = %s\n", n, endpoints[i])
		for _, c := range []string{"status", "sync", "upload"} {
			fmt.Fprintf(&text, "\n[push /%s/%s]\npartner = %s\nclass = %s\ntenant = farm\n", n, c, n, c)
		}
	}
	return text.String()
}

// commonSettings holds the sections that do not depend on addresses.
const commonSettings = `[class status]
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

// Run runs the demonstration and writes the results to w.
func Run(ctx context.Context, w io.Writer) error {
	fmt.Fprintln(w, "Three stand-in partners and a dispatcher on loopback; 600 messages in three seconds.")
	fmt.Fprintln(w, "The tracker is silent from 0.8 s to 1.8 s, the mirror loses one answer in five after applying it.")
	events := partner.NewLog(100000)
	var addrs []string
	var endpoints []*partner.Endpoint
	for i, n := range []string{"archive", "tracker", "mirror"} {
		p := partner.New(partner.Config{Name: n, ServiceTime: 5 * time.Millisecond, Seed: uint64(i)}, events)
		endpoint, err := p.Listen("127.0.0.1:0")
		if err != nil {
			return err
		}
		defer p.Close()
		endpoints = append(endpoints, endpoint)
		addrs = append(addrs, endpoint.Addr().String())
	}
	cfg, err := config.Parse("demo settings", []byte(Settings("127.0.0.1:0", addrs)))
	if err != nil {
		return err
	}
	logger, err := logs.New(io.Discard, "info", 10)
	if err != nil {
		return err
	}
	dispatcher, err := service.Start(cfg, logger, nil)
	if err != nil {
		return err
	}
	_ = endpoints[2].SetFault(partner.Fault{LostResponseRate: 0.2})
	silence := time.AfterFunc(800*time.Millisecond, func() { _ = endpoints[1].SetFault(partner.Fault{Hang: true}) })
	recovery := time.AfterFunc(1800*time.Millisecond, func() { _ = endpoints[1].SetFault(partner.Fault{}) })
	defer silence.Stop()
	defer recovery.Stop()

	client := load.NewClient(dispatcher.Addr().String(), 2)
	defer client.Close()
	start := clock.StartStopwatch()
	outcomes := load.Run(ctx, client, messages(), func() time.Duration { return start.Elapsed() }, 1000)
	load.Write(w, load.Summarize(outcomes), start.Elapsed())
	stopCtx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	dispatcher.Stop(stopCtx)
	applied := map[string]int{}
	for _, e := range events.Events() {
		if e.Kind == partner.Applied && e.Class == "upload" {
			applied[e.CorrelationID]++
		}
	}
	duplicates := 0
	for _, n := range applied {
		if n > 1 {
			duplicates++
		}
	}
	stats := dispatcher.Stats()
	fmt.Fprintf(w, "%d taken, %d final answers, %d attempts; uploads applied: %d, twice: %d.\n", stats.Accepted, stats.Served+stats.Refused+stats.Failed,
		stats.Attempts, len(applied), duplicates)
	fmt.Fprintln(w, "served: a partner took it. refused: handing it in again is harmless. failed: nothing is promised.")
	return ctx.Err()
}

// messages returns the load: 600 messages, one every 5 ms, spread over the partners and classes.
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
