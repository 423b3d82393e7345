// Command wirehost hosts decision modules on the batch wire: events on
// standard input, one flushed reply for each batch on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"whinrun/control"
	"whinrun/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// host is one instance with the events gathered for it in this batch.
type host struct {
	who    uint16
	module *control.Dispatcher
	events []control.Event
	acts   []control.Action
	queued bool
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	hosts := make(map[uint16]*host)
	var reply wire.Reply
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset()
		answer(hosts, batch, &reply)
		if err := reply.Write(w, batch.Seq); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// answer hands each instance its events, in the order instances appear.
func answer(hosts map[uint16]*host, batch wire.Batch, reply *wire.Reply) {
	var order []*host
	for i := range batch.Records {
		r := &batch.Records[i]
		switch r.Kind {
		case wire.Exit:
			if h := hosts[r.Instance]; h != nil {
				h.module, h.events = nil, h.events[:0]
			}
		case wire.Attach:
			h := &host{who: r.Instance}
			if old := hosts[r.Instance]; old != nil {
				old.module = nil
			}
			hosts[r.Instance] = h
			var err error
			if h.module, err = start(r); err != nil {
				reply.Fatal(r.Instance, err.Error())
			}
		case wire.ModuleEvent:
			h := hosts[r.Instance]
			if h == nil || h.module == nil {
				continue
			}
			h.events = append(h.events, r.Event)
			if !h.queued {
				h.queued = true
				order = append(order, h)
			}
		}
	}
	for _, h := range order {
		h.queued = false
		if h.module == nil {
			continue
		}
		if fault := step(h, batch.Now); fault != nil {
			h.module = nil
			reply.Fatal(h.who, fault.Error())
			continue
		}
		for _, a := range h.acts {
			reply.Add(h.who, a)
		}
	}
}

func start(r *wire.Record) (*control.Dispatcher, error) {
	s, err := wire.ParseSettings(r.Settings)
	if err != nil {
		return nil, err
	}
	return control.New(s, r.Seed)
}

// step runs one round; a panic in the module becomes an error with its text.
func step(h *host, now control.Time) (fault error) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Errorf("panic: %v", p)
		}
	}()
	h.acts = h.module.Step(now, h.events, h.acts[:0])
	h.events = h.events[:0]
	return nil
}
