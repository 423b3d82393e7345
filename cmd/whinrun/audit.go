package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"whinrun/internal/audit"
	"whinrun/internal/clock"
	"whinrun/internal/logstore"
)

type auditCmd struct {
	Verify auditVerifyCmd `cmd:"" help:"Check every record, link and seal of the trail; exit 1 if anything is wrong."`
	Show   auditShowCmd   `cmd:"" help:"Show all that happened to one message."`
	Find   auditFindCmd   `cmd:"" help:"List messages, the latest first."`
	Report auditReportCmd `cmd:"" help:"Write a page of outcomes over time, waits and attempts."`
}

// trailFolder is the folder of [audit]; the dispatcher may be running.
type trailFolder struct {
	Folder string `required:"" type:"existingdir" help:"Folder of the trail, as in [audit]."`
}

func (f *trailFolder) open() (*logstore.Store, error) {
	store, rep, err := audit.OpenReader(f.Folder)
	if err != nil {
		return nil, err
	}
	for _, p := range rep.Problems {
		fmt.Fprintln(os.Stderr, "whinrun:", p)
	}
	return store, nil
}

type auditVerifyCmd struct {
	trailFolder
	Keys string `type:"existingdir" help:"Folder of the public keys (*.pub.pem), kept apart from the trail. Default: the trail's own."`
}

// Run verifies. Keys from elsewhere are what makes it proof: who can write the trail's folder can write keys there, too.
func (c *auditVerifyCmd) Run() error {
	store, err := c.open()
	if err != nil {
		return err
	}
	if c.Keys == "" {
		c.Keys = c.Folder
	}
	keys, err := audit.PublicKeys(c.Keys)
	if err != nil {
		return err
	}
	v, err := audit.Verify(store, keys)
	if err != nil {
		return err
	}
	fmt.Printf("%d records, %d seals, %d records after the last seal", v.Records, v.Seals, v.Unsealed)
	if v.Records > 0 {
		fmt.Printf("; from %s to %s", v.From.Format(time.RFC3339), v.To.Format(time.RFC3339))
	}
	fmt.Println()
	if v.Lost > 0 {
		fmt.Printf("%d records were lost to a failing disk, as the trail itself tells\n", v.Lost)
	}
	for _, p := range v.Problems {
		fmt.Println("WRONG", p)
	}
	if len(v.Problems) > 0 {
		return errors.New("the trail is not as it was written")
	}
	fmt.Println("well: all records link, all seals are good")
	return nil
}

type auditShowCmd struct {
	trailFolder
	JSON bool   `help:"JSON lines."`
	ID   string `arg:"" help:"The dispatcher's name of the message (whinrun-message)."`
}

func (c *auditShowCmd) Run() error {
	store, err := c.open()
	if err != nil {
		return err
	}
	lines, err := audit.MessageRecords(store, c.ID)
	if err == nil && len(lines) == 0 {
		err = fmt.Errorf("no message %s in the trail", c.ID)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range lines {
		if c.JSON {
			printJSON(struct {
				At   string `json:"at"`
				Kind string `json:"kind"`
				*audit.Record
			}{r.Time().Format(time.RFC3339Nano), r.Kind.String(), r})
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.Time().Format("2006-01-02 15:04:05.000"), r.Kind, r.Text())
	}
	return errors.Join(err, w.Flush())
}

func printJSON(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(err.Error())
	}
	fmt.Println(string(b))
}

type auditFindCmd struct {
	trailFolder
	Partner string        `help:"Only to this partner."`
	Tenant  string        `help:"Only this tenant's."`
	Outcome string        `enum:"served,refused,failed,withdrawn,," default:"" help:"Only with this final answer: served, refused, failed or withdrawn."`
	Since   time.Duration `help:"Only those taken within this time, as 2h."`
	Most    int           `default:"100" help:"At most so many; 0 for all."`
	JSON    bool          `help:"JSON lines."`
}

func (c *auditFindCmd) Run() error {
	store, err := c.open()
	if err != nil {
		return err
	}
	q := audit.Query{Partner: c.Partner, Tenant: c.Tenant, Outcome: c.Outcome, Limit: c.Most}
	if c.Since > 0 {
		q.Since = clock.Wall().Add(-c.Since)
	}
	all, err := audit.FindMessages(store, q)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(w, "taken\tmessage\ttenant\tclass\tpartner\toutcome\tattempts\ttook\treason")
	}
	for _, m := range all {
		if c.JSON {
			printJSON(m)
			continue
		}
		took, outcome := "-", "-"
		if !m.Answered.IsZero() {
			took, outcome = m.Answered.Sub(m.Taken).Round(time.Millisecond).String(), m.Outcome
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", m.Taken.Format("2006-01-02 15:04:05.000"), m.Name, m.Tenant, m.Class, m.Partner,
			outcome, m.Attempts, took, m.Reason)
	}
	return errors.Join(err, w.Flush())
}

type auditReportCmd struct {
	trailFolder
	Since time.Duration `default:"24h" help:"How far back."`
	Out   string        `required:"" type:"path" help:"File to write, HTML in one piece."`
}

func (c *auditReportCmd) Run() error {
	store, err := c.open()
	if err != nil {
		return err
	}
	rep, err := audit.Summarize(store, clock.Wall().Add(-c.Since), clock.Wall())
	if err != nil {
		return err
	}
	f, err := os.Create(filepath.Clean(c.Out))
	if err != nil {
		return err
	}
	return errors.Join(rep.Write(f), f.Close())
}
