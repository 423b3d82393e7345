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

// leaveCmd measures what becomes of the messages of clients that leave.
type leaveCmd struct {
	Front    string        `required:"" enum:"node,http2,amqp" help:"The front that they leave: that of a node, or one of serve."`
	Clients  int           `default:"20" help:"Clients, one after the other."`
	Messages int           `default:"400" help:"Messages of each, in one write."`
	After    time.Duration `help:"How long a client stays."`
	Orderly  bool          `help:"Close connections in order, and don't reset them."`
	Binary   string        `default:"bin/whinrun" type:"existingfile" help:"The program."`
}

// Run plays the clients and prints a line.
func (c *leaveCmd) Run() error {
	folder, err := os.MkdirTemp("", "whinlab-leave-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	report, err := abuse.Leave(abuse.LeaveOptions{Clients: c.Clients, Messages: c.Messages, After: c.After, Orderly: c.Orderly,
		Program: abuse.ProgramConfig{Binary: c.Binary, Folder: folder, Front: abuse.Front(c.Front), HoldBytesMB: 16}})
	if err != nil {
		return err
	}
	fmt.Printf("%s, after %v, in order %v: %v\n", c.Front, c.After, c.Orderly, report)
	return nil
}
