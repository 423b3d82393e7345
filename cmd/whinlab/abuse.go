package main

import (
	"fmt"
	"os"
	"time"

	"whinrun/internal/abuse"
)

// abuseCmd measures a dispatcher while clients misbehave.
type abuseCmd struct {
	Front       string        `required:"" enum:"node,http2,amqp" help:"The abused front: that of a node, or one of serve."`
	Behaviour   []string      `help:"Ways to misbehave, one after the other. Default: all of the front, and none."`
	Connections int           `default:"1" help:"Clients that misbehave, with a connection each."`
	For         time.Duration `default:"8s" help:"Length of each measurement."`
	OneCore     bool          `help:"Bind the dispatcher to one core."`
	Memory      int           `help:"memory_mb of a node (default 32), or memory of serve (default none), in MiB."`
	HoldBytes   int           `default:"16" help:"hold-bytes of serve, in MiB."`
	Binary      string        `default:"bin/whinrun" type:"existingfile" help:"The program."`
}

// Run measures each behaviour and prints a line for it.
func (c *abuseCmd) Run() error {
	front := abuse.Front(c.Front)
	all := c.Behaviour
	if len(all) == 0 {
		all = append([]string{""}, abuse.Behaviours(front)...)
	}
	for _, behaviour := range all {
		folder, err := os.MkdirTemp("", "whinlab-abuse-")
		if err != nil {
			return err
		}
		report, err := abuse.Run(abuse.Options{Behaviour: behaviour, Connections: c.Connections, For: c.For,
			Program: abuse.ProgramConfig{Binary: c.Binary, Folder: folder, Front: front, OneCore: c.OneCore, MemoryMB: c.Memory, HoldBytesMB: c.HoldBytes}})
		if err := os.RemoveAll(folder); err != nil {
			return err
		}
		if err != nil {
			return err
		}
		fmt.Printf("%s, %q, %d connections, one core %v: %v\n", front, behaviour, c.Connections, c.OneCore, report)
	}
	return nil
}
