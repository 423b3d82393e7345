package abuse

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Options describe one measurement.
type Options struct {
	Program ProgramConfig
	// Behaviour is one of Behaviours. If it is empty, nobody misbehaves.
	Behaviour string
	// Connections is the number of clients that misbehave, with a connection each. A connection that ends is opened again.
	Connections int
	// For is how long they do so.
	For time.Duration
}

// Report is the result of a measurement.
type Report struct {
	// Others are the requests of a client that behaves, while the others do not.
	Others *Latencies
	// PeakMemory is the largest resident set of the process, in bytes.
	PeakMemory int64
	// Opened is the number of connections that the misbehaving clients opened.
	Opened int
	// LastError is the last cause for which such a connection ended.
	LastError error
}

func (r *Report) String() string {
	o := r.Others
	text := fmt.Sprintf("%d MB at most; others: %d answered, median %v, p99 %v, longest %v, %d over 400 ms, %d without an answer; %d connections",
		r.PeakMemory>>20, o.Count(), o.Quantile(0.5).Round(time.Microsecond), o.Quantile(0.99).Round(time.Microsecond), o.Quantile(1).Round(time.Microsecond),
		o.Over(400*time.Millisecond), o.Failed, r.Opened)
	if o.LastError != nil {
		text += fmt.Sprintf(" (others: %v)", o.LastError)
	}
	return text
}

// reopenDelay is the time before a connection that ended is opened again.
const reopenDelay = 10 * time.Millisecond

// Run starts a dispatcher and measures it while clients misbehave.
func Run(o Options) (*Report, error) {
	play, known := behaviours[o.Program.Front][o.Behaviour]
	if !known && o.Behaviour != "" {
		return nil, fmt.Errorf("behaviour %q is not one of %q", o.Behaviour, Behaviours(o.Program.Front))
	}
	program, err := StartProgram(o.Program)
	if err != nil {
		return nil, err
	}
	defer program.Close()
	ctx, stop := context.WithTimeout(context.Background(), o.For)
	defer stop()
	report := &Report{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	if known {
		for range o.Connections {
			clients.Go(func() {
				for ctx.Err() == nil {
					err := playOnce(ctx, program.Addr, play)
					mu.Lock()
					report.Opened++
					report.LastError = err
					mu.Unlock()
					time.Sleep(reopenDelay)
				}
			})
		}
	}
	report.Others = measure(ctx, o.Program.Front, program.Addr)
	report.PeakMemory, err = program.PeakMemory()
	clients.Wait()
	return report, err
}

// playOnce plays a behaviour on a new connection.
func playOnce(ctx context.Context, addr string, play behaviour) error {
	c, err := dial(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	return play(ctx, c)
}
