// Command whinlab is the lab: stand-in partners, load, and scripted days for a dispatcher.
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

var cli struct {
	Partner partnerCmd `cmd:"" help:"Run stand-in partners until interrupted, and print what they saw."`
	Send    sendCmd    `cmd:"" help:"Hand messages to a dispatcher at a fixed rate and report what came of them."`
	Compare compareCmd `cmd:"" help:"Measure the dispatcher beside a reverse proxy and the stand-in called directly, in one run."`
	Fronts  frontsCmd  `cmd:"" help:"Measure the AMQP front beside the HTTP/2 front, and fairness between them, in one run."`
	Trail   trailCmd   `cmd:"" help:"Measure delivery with the audit trail on and off, in one run."`
	Idle    idleCmd    `cmd:"" help:"Measure busy partners alone and beside many idle ones, some of which wake."`
	Day     dayCmd     `cmd:"" help:"Play scripted days through a real dispatcher and check the rules from the sockets."`
	Soak    soakCmd    `cmd:"" help:"Run real dispatchers under random faults that overlap, and judge what passes by the rules."`
	Line    lineCmd    `cmd:"" help:"Print a line of the deploy file."`
	Site    siteCmd    `cmd:"" help:"Lay out a variant of a given site file."`
	Gate    gateCmd    `cmd:"" help:"Judge a run of the tests (go test -json on standard input) by the record of those known to fail."`
}

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

type dayCmd struct {
	Scripts []string `arg:"" type:"existingfile" help:"Scripts, played one after the other."`
	Seed    uint64   `help:"Another seed than the script's."`
	Scale   float64  `default:"1" help:"Factor on all rates."`
	AMQP    float64  `help:"Share of the messages that is handed in by AMQP, where the script names none."`
	Log     bool     `help:"Show the dispatcher's own log."`
}

type compareCmd struct {
	Conns       int           `default:"4" help:"Client connections."`
	Concurrency int           `default:"128" help:"Messages out at once when measuring throughput."`
	For         time.Duration `default:"3s" help:"Length of each measurement."`
	Rounds      int           `default:"5" help:"Rounds, in turns."`
	Pace        time.Duration `default:"1ms" help:"Mean time of a call at the stand-in."`
	Size        int           `default:"256" help:"Bytes of a body."`
	Rate        float64       `help:"Messages a second at which latency is measured. Default: half of what the slowest bears."`
}

type frontsCmd compareCmd

func (c *frontsCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	return compare.Fronts(ctx, os.Stdout, compare.Options(*c))
}

type trailCmd compareCmd

func (c *trailCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	return compare.AuditTrail(ctx, os.Stdout, compare.Options(*c))
}

type idleCmd struct {
	Partners int           `default:"20000" help:"Partners in all."`
	Busy     int           `default:"100" help:"Of them, with the steady load."`
	Rate     float64       `default:"1000" help:"Messages a second to the busy ones."`
	Wake     int           `default:"2000" help:"Idle ones that get a message each during a run."`
	For      time.Duration `default:"10s" help:"Length of a run."`
	Pairs    int           `default:"5" help:"Pairs of runs."`
}

func (c *idleCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	return compare.Idle(ctx, os.Stdout, compare.IdleOptions(*c))
}

func (c *compareCmd) Run() error {
	ctx, stop := interrupted()
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

// loopback refuses addresses beyond this machine: the lab is no tool to load others with.
func loopback(addr string) error {
	if strings.HasPrefix(addr, "127.") || strings.HasPrefix(addr, "[::1]:") {
		return nil
	}
	return fmt.Errorf("%s is not a loopback address", addr)
}

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func (c *partnerCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	log := partner.NewLog(1 << 20)
	var ends []*partner.Endpoint
	for i, addr := range c.Listen {
		if err := loopback(addr); err != nil {
			return err
		}
		p := partner.New(partner.Config{Name: addr, ServiceTime: c.Pace, Concurrency: c.Servers, Capacity: c.Rate, ColdShare: 0.2, WarmUp: 10 * time.Second,
			OverloadFactor: 2, OverloadWindow: 2 * time.Second, RateLimit: c.Limit, SendRetryAfter: c.Wait, MaxConns: c.Conns, MaxStreams: c.Streams, SettingsDelay: c.Handshake,
			IdleTimeout: c.Reap, Seed: c.Seed + uint64(i)}, log)
		e, err := p.Listen(addr)
		if err != nil {
			return err
		}
		defer p.Close()
		ends = append(ends, e)
		fmt.Printf("stand-in partner %d on %v\n", i+1, e.Addr())
	}
	fmt.Println("commands: NUMBER WORD VALUES, as in docs/days.md, e.g. '1 hang', '2 lose 0.1', '1 goaway', '1 heal'")
	lines := make(chan string)
	go func() {
		in := bufio.NewScanner(os.Stdin)
		for in.Scan() {
			lines <- in.Text()
		}
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case line := <-lines:
			if err := command(ends, strings.Fields(line)); err != nil {
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

// command puts a fault in force at a stand-in.
func command(ends []*partner.Endpoint, words []string) error {
	if len(words) < 2 {
		return errors.New("NUMBER WORD VALUES")
	}
	n, err := strconv.Atoi(words[0])
	if err != nil || n < 1 || n > len(ends) {
		return fmt.Errorf("there is no stand-in %q", words[0])
	}
	e := ends[n-1]
	switch words[1] {
	case "goaway":
		e.GoAway()
		return nil
	case "streams":
		var k uint64
		if len(words) > 2 {
			k, err = strconv.ParseUint(words[2], 10, 31)
		}
		if err != nil || k == 0 {
			return errors.New("streams NUMBER")
		}
		e.SetMaxStreams(uint32(k))
		return nil
	}
	f, err := scenario.ParseFault(words[1:])
	if err != nil {
		return err
	}
	return e.SetFault(f)
}

func (c *sendCmd) Run() error {
	if err := loopback(c.To); err != nil {
		return err
	}
	if c.Rate <= 0 || c.Rate*c.For.Seconds() > 1e7 {
		return errors.New("rate and time make no sensible number of messages")
	}
	ctx, stop := interrupted()
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
	out := load.Run(ctx, client, msgs, func() time.Duration { return start.Elapsed() }, c.Most)
	load.Write(os.Stdout, load.Summarize(out), start.Elapsed())
	return nil
}

func (c *dayCmd) Run() error {
	ctx, stop := interrupted()
	defer stop()
	broken := 0
	for _, file := range c.Scripts {
		ok, err := c.play(ctx, file)
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

func (c *dayCmd) play(ctx context.Context, file string) (ok bool, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return false, err
	}
	s, err := scenario.Parse(file, string(text))
	if err != nil {
		return false, err
	}
	s.RateScale = c.Scale
	if s.AMQPShare == 0 {
		s.AMQPShare = c.AMQP
	}
	if c.Seed > 0 {
		s.Seed = c.Seed
	}
	fmt.Printf("== %s: %s\n", file, s.Name)
	lines := io.Discard
	if c.Log {
		lines = os.Stderr
	}
	start := clock.StartStopwatch()
	r, err := scenario.Run(ctx, s, lines)
	if err != nil {
		return false, err
	}
	load.Write(os.Stdout, load.Summarize(r.Outcomes), start.Elapsed())
	sum := scenario.Summarize(r)
	sum.Write(os.Stdout)
	if share := float64(sum.Served) / float64(max(1, sum.Messages)); share < s.MinServed {
		fmt.Printf("served %.3f, expected %.3f\n", share, s.MinServed)
		return false, nil
	}
	return len(sum.Violations) == 0, nil
}
