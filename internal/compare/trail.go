package compare

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"whinrun/internal/partner"
)

// AuditTrail measures delivery with the audit trail on and off, in turns on the same stand-in, and what a message takes on
// disk.
func AuditTrail(ctx context.Context, w io.Writer, o Options) error {
	folder, err := os.MkdirTemp("", "whinrun-trail")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	addr, off, stop, err := standIn(partner.Config{ServiceTime: o.Pace}, settings)
	if err != nil {
		return err
	}
	defer stop()
	on, err := startDispatcher(fmt.Sprintf(settings, addr) + "[audit]\nfolder = " + folder + "\n")
	if err != nil {
		return err
	}
	defer on.Kill()
	targets := []*target{{name: "without trail", addr: off.Addr().String()}, {name: "with trail", addr: on.Addr().String()}}
	if err := inTurns(ctx, w, o, targets); err != nil {
		return err
	}
	time.Sleep(time.Second) // closed files are compressed
	open, packed := sizes(folder)
	fmt.Fprintf(w, "on disk: %d messages, %.0f bytes each: %d MiB open, %d MiB compressed\n", on.Stats().Accepted,
		float64(open+packed)/float64(max(1, on.Stats().Accepted)), open>>20, packed>>20)
	return nil
}

// sizes are the bytes of a trail's files, plain and compressed, the latter with their indexes.
func sizes(folder string) (open, packed int64) {
	names, _ := filepath.Glob(filepath.Join(folder, "log-*"))
	for _, name := range names {
		st, err := os.Stat(name)
		if err != nil {
			continue
		}
		if filepath.Ext(name) == ".seg" {
			open += st.Size()
		} else {
			packed += st.Size()
		}
	}
	return open, packed
}
