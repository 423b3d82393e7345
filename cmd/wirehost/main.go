// Command wirehost runs dispatchers of the decision library behind the batch protocol of package wire. It reads events from
// standard input, and writes and flushes one reply for each batch to standard output.
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

// instance is one dispatcher of the decision library and its events of the present batch.
type instance struct {
	id         uint16
	dispatcher *control.Dispatcher
	events     []control.Event
	actions    []control.Action
	queued     bool // The instance has events in the present batch.
}

// serve answers batches until the input ends. It returns an error if the input is not valid or a reply cannot be written.
func serve(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	instances := make(map[uint16]*instance)
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
		processBatch(instances, batch, &reply)
		if err := reply.Write(w, batch.Seq); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// processBatch gives each instance its events, in the order in which instances first appear in the batch.
func processBatch(instances map[uint16]*instance, batch wire.Batch, reply *wire.Reply) {
	var active []*instance
	for i := range batch.Records {
		r := &batch.Records[i]
		switch r.Kind {
		case wire.Exit:
			if h := instances[r.Instance]; h != nil {
				h.dispatcher, h.events = nil, h.events[:0]
			}
		case wire.Attach:
			h := &instance{id: r.Instance}
			if old := instances[r.Instance]; old != nil {
				old.dispatcher = nil
			}
			instances[r.Instance] = h
			var err error
			if h.dispatcher, err = newDispatcher(r); err != nil {
				reply.Fatal(r.Instance, err.Error())
			}
		case wire.DispatcherEvent:
			h := instances[r.Instance]
			if h == nil || h.dispatcher == nil {
				continue
			}
			h.events = append(h.events, r.Event)
			if !h.queued {
				h.queued = true
				active = append(active, h)
			}
		}
	}
	for _, h := range active {
		h.queued = false
		if h.dispatcher == nil {
			continue
		}
		if err := runRound(h, batch.Now); err != nil {
			h.dispatcher = nil
			reply.Fatal(h.id, err.Error())
			continue
		}
		for _, a := range h.actions {
			reply.Add(h.id, a)
		}
	}
}

// newDispatcher returns the dispatcher of an instance that starts.
func newDispatcher(r *wire.Record) (*control.Dispatcher, error) {
	s, err := wire.ParseSettings(r.Settings)
	if err != nil {
		return nil, err
	}
	return control.New(s, r.Seed)
}

// runRound runs one round of an instance. A panic of the dispatcher is returned as an error.
func runRound(h *instance, now control.Time) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	h.actions = h.dispatcher.Step(now, h.events, h.actions[:0])
	h.events = h.events[:0]
	return nil
}
