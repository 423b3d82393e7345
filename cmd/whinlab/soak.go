package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"whinrun/internal/soak"
)

// soakCmd runs real dispatchers under random faults.
type soakCmd struct {
	Binary    string        `default:"bin/whinrun" type:"existingfile" help:"The program."`
	Seed      uint64        `default:"1" help:"The first seed: one seed gives one sequence of faults."`
	Seeds     int           `default:"1" help:"How many seeds, one after the other."`
	Nodes     int           `default:"24" help:"Dispatchers, a process each."`
	For       time.Duration `default:"15s" help:"How long faults and load go on; a run ends some seconds later."`
	Rate      float64       `default:"20" help:"Messages a second handed to each dispatcher."`
	Intensity float64       `default:"1" help:"Factor on the rate of faults: with 4 and kills, a process lives for a second or two."`
	Slots     int           `help:"Calls that a dispatcher may have in flight. Default: 10."`
	Latency   time.Duration `help:"Time that bytes take each way between dispatchers and endpoints."`
	Body      int           `help:"Bodies are smaller than this, in bytes (default 400). Large ones fill ledgers."`
	Faults    []string      `help:"Kinds of fault. Default: all (${faults})."`
	Keep      string        `type:"path" help:"Folder for the logs and events of runs that broke a rule."`
}

// Run runs the seeds. It fails where one of them violated a rule or it is interrupted.
func (c *soakCmd) Run() error {
	for _, f := range c.Faults {
		if !slices.Contains(soak.FaultKinds(), f) {
			return fmt.Errorf("unknown fault %q: the kinds of fault are %s", f, strings.Join(soak.FaultKinds(), ", "))
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		cfg := soak.Config{Binary: binary, Folder: c.Keep, Seed: seed, Nodes: c.Nodes, Duration: c.For, Rate: c.Rate, Intensity: c.Intensity, FaultKinds: c.Faults, Slots: c.Slots, Latency: c.Latency, MaxBody: c.Body}
		res, err := soak.Run(ctx, cfg)
		if err != nil {
			return err
		}
		printSoak(res)
		if len(res.Violations) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a rule", broken, c.Seeds)
	}
	return errors.Join(ctx.Err())
}

// maxViolationsShown is the number of violations of a run that are printed. The others are counted.
const maxViolationsShown = 20

// printSoak prints the outcome of a run.
func printSoak(result *soak.Result) {
	verdict := "kept"
	if len(result.Violations) > 0 {
		verdict = fmt.Sprintf("%d violations, see %s", len(result.Violations), result.Folder)
	}
	fmt.Printf("seed %d: %d faults, %d messages taken, %d delivered, %d ended by a notice, %d calls, %.1f s: %s\n", result.Seed, len(result.Faults), result.Accepted,
		result.Delivered, result.EndedByNotice, result.Calls, result.Elapsed.Seconds(), verdict)
	for i, v := range result.Violations {
		if i == maxViolationsShown {
			fmt.Printf("  and %d more\n", len(result.Violations)-i)
			break
		}
		fmt.Println(" ", v)
	}
}
