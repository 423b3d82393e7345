// Command whinlab is a laboratory for the dispatcher on loopback: it has stand-in partners, load, measurements, scripted
// days, runs under random faults, and tools for the deploy files.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"whinrun/internal/clock"
	"whinrun/internal/compare"
	"whinrun/internal/load"
	"whinrun/internal/partner"
	"whinrun/internal/scenario"
	"whinrun/internal/soak"
)

// cli holds the commands of whinlab.
var cli struct {
	Partner partnerCmd `cmd:"" help:"Run stand-in partners until interrupted, and print what they saw."`
	Send    sendCmd    `cmd:"" help:"Hand messages to a dispatcher at a fixed rate and report what came of them."`
	Compare compareCmd `cmd:"" help:"Measure the dispatcher beside a reverse proxy and the stand-in called directly, in one run."`
	Fronts  frontsCmd  `cmd:"" help:"Measure the AMQP front beside the HTTP/2 front, and fairness between them, in one run."`
	Trail   trailCmd   `cmd:"" help:"Measure delivery with the audit trail on and off, in one run."`
	Idle    idleCmd    `cmd:"" help:"Measure busy partners alone and beside many idle ones, some of which wake."`
	Day     dayCmd     `cmd:"" help:"Play scripted days through a real dispatcher and check the rules from the sockets."`
	Soak    soakCmd    `cmd:"" help:"Run real dispatchers under random faults that overlap, and judge what passes by the rules."`
	Abuse   abuseCmd   `cmd:"" help:"Measure memory and the answers of others while clients misbehave."`
	Leave   leaveCmd   `cmd:"" help:"Measure what becomes of the messages of clients that leave without reading an answer."`
	Line    lineCmd    `cmd:"" help:"Print a line of the deploy file."`
	Site    siteCmd    `cmd:"" help:"Lay out a variant of a given site file."`
	Gate    gateCmd    `cmd:"" help:"Judge a run of the tests (go test -json on standard input) by the record of those known to fail."`
}

// partnerCmd runs stand-in partners.
type partnerCmd struct {
	Listen    []string      `required:"" help:"Addresses, a partner each."`
	Pace      time.Duration `default:"5ms" help:"Mean time that a call takes."`
	Servers   int           `help:"Calls worked on at once; more wait. 0 is no bound."`
	Rate      float64       `help:"Calls a second that it can do when warm; cold it falls over when pushed. 0: it does not."`
	Limit     float64       `help:"Calls a second that each takes; more get 429. 0 is no limit."`
	Wait      bool          `help:"Refusals tell how long to wait."`
	Conns     int           `help:"Connections that each takes. 0 is no bound."`
	Streams   uint32        `help:"Streams on a connection."`
	Handshake time.Duration `help:"Time before SETTINGS are sent."`
	Reap      time.Duration `help:"Connections idle for longer are dropped unseen."`
	Seed      uint64        `default:"1"`
}

// sendCmd submits messages at a fixed rate.
type sendCmd struct {
	To    string        `required:"" help:"Address of the dispatcher."`
	Path  []string      `required:"" help:"Push resources, in turns."`
	Token string        `help:"Bearer token."`
	Rate  float64       `default:"100" help:"Messages a second."`
	For   time.Duration `default:"5s" help:"How long."`
	TTL   int           `default:"10" help:"TTL in seconds."`
	Size  int           `default:"256" help:"Bytes of a body."`
	Conns int           `default:"4" help:"Connections."`
	Most  int           `default:"10000" help:"Messages out at once; more wait, and their latency counts."`
}

// dayCmd plays scripted days.
type dayCmd struct {
	Scripts []string `arg:"" type:"existingfile" help:"Scripts, played one after the other."`
	Seed    uint64   `help:"Another seed than the script's."`
	Scale   float64  `default:"1" help:"Factor on all rates."`
	AMQP    float64  `help:"Share of the messages that is handed in by AMQP, where the script names none."`
	Log     bool     `help:"Show the dispatcher's own log."`
}

// compareCmd measures the dispatcher and, for comparison, a reverse proxy. Its fields are those of compare.Options.
type compareCmd struct {
	Conns       int           `default:"4" help:"Client connections."`
	Concurrency int           `default:"128" help:"Messages out at once when measuring throughput."`
	For         time.Duration `default:"3s" help:"Length of each measurement."`
	Rounds      int           `default:"5" help:"Rounds, in turns."`
	Pace        time.Duration `default:"1ms" help:"Mean time of a call at the stand-in."`
	Size        int           `default:"256" help:"Bytes of a body."`
	Rate        float64       `help:"Messages a second at which latency is measured. Default: half of what the slowest bears."`
}

// frontsCmd compares the AMQP front with the HTTP/2 front.
type frontsCmd compareCmd

// Run measures until the rounds are over or it is interrupted.
func (c *frontsCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	return compare.Fronts(ctx, os.Stdout, compare.Options(*c))
}

// trailCmd measures delivery with and without the audit trail.
type trailCmd compareCmd

// Run measures until the rounds are over or it is interrupted.
func (c *trailCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	return compare.AuditTrail(ctx, os.Stdout, compare.Options(*c))
}

// idleCmd measures busy partners while others are idle. Its fields are those of compare.IdleOptions.
type idleCmd struct {
	Partners int           `default:"20000" help:"Partners in all."`
	Busy     int           `default:"100" help:"Of them, with the steady load."`
	Rate     float64       `default:"1000" help:"Messages a second to the busy ones."`
	Wake     int           `default:"2000" help:"Idle ones that get a message each during a run."`
	For      time.Duration `default:"10s" help:"Length of a run."`
	Pairs    int           `default:"5" help:"Pairs of runs."`
}

// Run measures until the pairs of runs are over or it is interrupted.
func (c *idleCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	return compare.Idle(ctx, os.Stdout, compare.IdleOptions(*c))
}

// Run measures until the rounds are over or it is interrupted.
func (c *compareCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	return compare.Run(ctx, os.Stdout, compare.Options(*c))
}

func main() {
	k := kong.Parse(&cli, kong.Name("whinlab"), kong.Description("Stand-ins, load and scripted days for whinrun. Loopback only."), kong.UsageOnError(),
		kong.Vars{"faults": strings.Join(soak.FaultKinds(), ", ")})
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "whinlab:", err)
		os.Exit(1)
	}
}

// requireLoopback returns an error for an address beyond this machine, because whinlab must not put load on others.
func requireLoopback(addr string) error {
	if strings.HasPrefix(addr, "127.") || strings.HasPrefix(addr, "[::1]:") {
		return nil
	}
	return fmt.Errorf("%s is not a loopback address", addr)
}

// interruptContext returns a context that ends at SIGINT or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// Run serves partners and reads commands from standard input until it is interrupted, and prints counts of the calls.
func (c *partnerCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	log := partner.NewLog(1 << 20)
	var endpoints []*partner.Endpoint
	for i, addr := range c.Listen {
		if err := requireLoopback(addr); err != nil {
			return err
		}
		standIn := partner.New(partner.Config{Name: addr, ServiceTime: c.Pace, Concurrency: c.Servers, Capacity: c.Rate, ColdShare: 0.2, WarmUp: 10 * time.Second,
			OverloadFactor: 2, OverloadWindow: 2 * time.Second, RateLimit: c.Limit, SendRetryAfter: c.Wait, MaxConns: c.Conns, MaxStreams: c.Streams, SettingsDelay: c.Handshake,
			IdleTimeout: c.Reap, Seed: c.Seed + uint64(i)}, log)
		endpoint, err := standIn.Listen(addr)
		if err != nil {
			return err
		}
		defer standIn.Close()
		endpoints = append(endpoints, endpoint)
		fmt.Printf("stand-in partner %d on %v\n", i+1, endpoint.Addr())
	}
	fmt.Println("commands: NUMBER WORD VALUES, as in docs/days.md, e.g. '1 hang', '2 lose 0.1', '1 goaway', '1 heal'")
	lines := make(chan string)
	go func() {
		scanner := bufio.NewScanner(os.Stdin)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case line := <-lines:
			if err := runCommand(endpoints, strings.Fields(line)); err != nil {
				fmt.Println(err)
			}
		}
	}
	counts := map[partner.EventKind]int{}
	for _, e := range log.Events() {
		counts[e.Kind]++
	}
	fmt.Printf("%d calls arrived, %d applied, %d answered, %d left without an answer\n", counts[partner.RequestReceived], counts[partner.Applied],
		counts[partner.Responded], counts[partner.NoResponse])
	return nil
}

// runCommand injects a fault at one of the stand-in partners, as a line of standard input says.
func runCommand(endpoints []*partner.Endpoint, words []string) error {
	if len(words) < 2 {
		return errors.New("usage: NUMBER WORD VALUES")
	}
	n, err := strconv.Atoi(words[0])
	if err != nil || n < 1 || n > len(endpoints) {
		return fmt.Errorf("there is no stand-in partner %q", words[0])
	}
	endpoint := endpoints[n-1]
	switch words[1] {
	case "goaway":
		endpoint.GoAway()
		return nil
	case "streams":
		var streams uint64
		if len(words) > 2 {
			streams, err = strconv.ParseUint(words[2], 10, 31)
		}
		if err != nil || streams == 0 {
			return errors.New("usage: NUMBER streams LIMIT, with a LIMIT above 0")
		}
		endpoint.SetMaxStreams(uint32(streams))
		return nil
	}
	fault, err := scenario.ParseFault(words[1:])
	if err != nil {
		return err
	}
	return endpoint.SetFault(fault)
}

// Run submits the messages and prints a report of their outcomes.
func (c *sendCmd) Run() error {
	if err := requireLoopback(c.To); err != nil {
		return err
	}
	if c.Rate <= 0 || c.Rate*c.For.Seconds() > 1e7 {
		return errors.New("the rate must be above 0, and rate times duration at most 1e7 messages")
	}
	ctx, stop := interruptContext()
	defer stop()
	client := load.NewClient(c.To, c.Conns)
	defer client.Close()
	n := int(c.Rate * c.For.Seconds())
	msgs := make([]load.Message, n)
	for i := range msgs {
		path := c.Path[i%len(c.Path)]
		msgs[i] = load.Message{At: time.Duration(float64(i) / c.Rate * float64(time.Second)), CorrelationID: fmt.Sprintf("s%d", i),
			Class: path[strings.LastIndexByte(path, '/')+1:], Path: path, Token: c.Token, TTL: c.TTL, BodySize: c.Size}
	}
	start := clock.StartStopwatch()
	outcomes := load.Run(ctx, client, msgs, func() time.Duration { return start.Elapsed() }, c.Most)
	load.Write(os.Stdout, load.Summarize(outcomes), start.Elapsed())
	return nil
}

// Run plays the scripts. It fails where a rule was violated or too little was served.
func (c *dayCmd) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	broken := 0
	for _, file := range c.Scripts {
		ok, err := c.runScript(ctx, file)
		if err != nil {
			return err
		}
		if !ok {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d days broke a rule or served too little", broken, len(c.Scripts))
	}
	return nil
}

// runScript plays one script and prints its outcome. It returns false where a rule was violated or too little was
// served.
func (c *dayCmd) runScript(ctx context.Context, file string) (ok bool, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return false, err
	}
	script, err := scenario.Parse(file, string(text))
	if err != nil {
		return false, err
	}
	script.RateScale = c.Scale
	if script.AMQPShare == 0 {
		script.AMQPShare = c.AMQP
	}
	if c.Seed > 0 {
		script.Seed = c.Seed
	}
	fmt.Printf("== %s: %s\n", file, script.Name)
	dispatcherLog := io.Discard
	if c.Log {
		dispatcherLog = os.Stderr
	}
	start := clock.StartStopwatch()
	run, err := scenario.Run(ctx, script, dispatcherLog)
	if err != nil {
		return false, err
	}
	load.Write(os.Stdout, load.Summarize(run.Outcomes), start.Elapsed())
	summary := scenario.Summarize(run)
	summary.Write(os.Stdout)
	if share := float64(summary.Served) / float64(max(1, summary.Messages)); share < script.MinServed {
		fmt.Printf("served %.3f, expected %.3f\n", share, script.MinServed)
		return false, nil
	}
	return len(summary.Violations) == 0, nil
}
