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

// AuditTrail measures delivery with and without the audit trail, in turns on the same stand-in, and the bytes on disk
// for each message.
func AuditTrail(ctx context.Context, w io.Writer, o Options) error {
	folder, err := os.MkdirTemp("", "whinrun-trail")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	addr, withoutTrail, stop, err := startStandIn(partner.Config{ServiceTime: o.Pace}, settingsTemplate)
	if err != nil {
		return err
	}
	defer stop()
	withTrail, err := startDispatcher(fmt.Sprintf(settingsTemplate, addr) + "[audit]\nfolder = " + folder + "\n")
	if err != nil {
		return err
	}
	defer withTrail.Kill()
	targets := []*target{{name: "without trail", addr: withoutTrail.Addr().String()}, {name: "with trail", addr: withTrail.Addr().String()}}
	if err := measureInTurns(ctx, w, o, targets); err != nil {
		return err
	}
	time.Sleep(time.Second) // Closed files are compressed in the background.
	open, compressed := trailSizes(folder)
	fmt.Fprintf(w, "on disk: %d messages, %.0f bytes each: %d MiB open, %d MiB compressed\n", withTrail.Stats().Accepted,
		float64(open+compressed)/float64(max(1, withTrail.Stats().Accepted)), open>>20, compressed>>20)
	return nil
}

// trailSizes returns the bytes of the open files of a trail, and those of the compressed files with their indexes.
func trailSizes(folder string) (open, compressed int64) {
	names, _ := filepath.Glob(filepath.Join(folder, "log-*"))
	for _, name := range names {
		st, err := os.Stat(name)
		if err != nil {
			continue
		}
		if filepath.Ext(name) == ".seg" {
			open += st.Size()
		} else {
			compressed += st.Size()
		}
	}
	return open, compressed
}
