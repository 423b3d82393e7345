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

// auditCmd groups the commands that read the audit trail.
type auditCmd struct {
	Verify auditVerifyCmd `cmd:"" help:"Check every record, link and seal of the trail; exit 1 if anything is wrong."`
	Show   auditShowCmd   `cmd:"" help:"Show all that happened to one message."`
	Find   auditFindCmd   `cmd:"" help:"List messages, the latest first."`
	Report auditReportCmd `cmd:"" help:"Write a page of outcomes over time, waits and attempts."`
}

// trailFolder is the flag for the folder of the audit trail. The dispatcher may be running while the trail is read.
type trailFolder struct {
	Folder string `required:"" type:"existingdir" help:"Folder of the trail, as in [audit]."`
}

// open opens the trail for reading and prints the problems that it finds to standard error.
func (f *trailFolder) open() (*logstore.Store, error) {
	store, report, err := audit.OpenReader(f.Folder)
	if err != nil {
		return nil, err
	}
	for _, p := range report.Problems {
		fmt.Fprintln(os.Stderr, "whinrun:", p)
	}
	return store, nil
}

// auditVerifyCmd verifies the records, links and seals of the audit trail.
type auditVerifyCmd struct {
	trailFolder
	Keys string `type:"existingdir" help:"Folder of the public keys (*.pub.pem), kept apart from the trail. Default: the trail's own."`
}

// Run verifies the trail. It is a proof only with public keys that are kept elsewhere, because anybody who can write to the
// folder of the trail can also replace the keys in it.
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
	result, err := audit.Verify(store, keys)
	if err != nil {
		return err
	}
	fmt.Printf("%d records, %d seals, %d records after the last seal", result.Records, result.Seals, result.Unsealed)
	if result.Records > 0 {
		fmt.Printf("; from %s to %s", result.From.Format(time.RFC3339), result.To.Format(time.RFC3339))
	}
	fmt.Println()
	if result.Lost > 0 {
		fmt.Printf("%d records were lost to a failing disk, as the trail itself tells\n", result.Lost)
	}
	for _, p := range result.Problems {
		fmt.Println("WRONG", p)
	}
	if len(result.Problems) > 0 {
		return errors.New("the trail failed verification")
	}
	fmt.Println("well: all records link, all seals are good")
	return nil
}

// auditShowCmd prints all records of one message.
type auditShowCmd struct {
	trailFolder
	JSON bool   `help:"JSON lines."`
	ID   string `arg:"" help:"The dispatcher's name of the message (whinrun-message)."`
}

// Run prints the records of the message as a table or as JSON lines.
func (c *auditShowCmd) Run() error {
	store, err := c.open()
	if err != nil {
		return err
	}
	records, err := audit.MessageRecords(store, c.ID)
	if err == nil && len(records) == 0 {
		err = fmt.Errorf("no message %s in the trail", c.ID)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range records {
		if c.JSON {
			printJSON(struct {
				At   string `json:"at"`
				Kind string `json:"kind"`
				*audit.Record
			}{r.Time().Format(time.RFC3339Nano), r.Kind.String(), r})
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\n", r.Time().Format("2006-01-02 15:04:05.000"), r.Kind, r.Text())
	}
	return errors.Join(err, table.Flush())
}

// printJSON prints a value as one line of JSON, or the error if it cannot be encoded.
func printJSON(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(err.Error())
	}
	fmt.Println(string(b))
}

// auditFindCmd lists messages by partner, tenant, outcome and time.
type auditFindCmd struct {
	trailFolder
	Partner string        `help:"Only to this partner."`
	Tenant  string        `help:"Only this tenant's."`
	Outcome string        `enum:"served,refused,failed,withdrawn,," default:"" help:"Only with this final answer: served, refused, failed or withdrawn."`
	Since   time.Duration `help:"Only those taken within this time, as 2h."`
	Most    int           `default:"100" help:"At most so many; 0 for all."`
	JSON    bool          `help:"JSON lines."`
}

// Run prints the messages as a table or as JSON lines.
func (c *auditFindCmd) Run() error {
	store, err := c.open()
	if err != nil {
		return err
	}
	query := audit.Query{Partner: c.Partner, Tenant: c.Tenant, Outcome: c.Outcome, Limit: c.Most}
	if c.Since > 0 {
		query.Since = clock.Wall().Add(-c.Since)
	}
	messages, err := audit.FindMessages(store, query)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if !c.JSON {
		fmt.Fprintln(table, "taken\tmessage\ttenant\tclass\tpartner\toutcome\tattempts\ttook\treason")
	}
	for _, m := range messages {
		if c.JSON {
			printJSON(m)
			continue
		}
		duration, outcome := "-", "-"
		if !m.Answered.IsZero() {
			duration, outcome = m.Answered.Sub(m.Taken).Round(time.Millisecond).String(), m.Outcome
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", m.Taken.Format("2006-01-02 15:04:05.000"), m.Name, m.Tenant, m.Class, m.Partner,
			outcome, m.Attempts, duration, m.Reason)
	}
	return errors.Join(err, table.Flush())
}

// auditReportCmd writes a report of the recent outcomes.
type auditReportCmd struct {
	trailFolder
	Since time.Duration `default:"24h" help:"How far back."`
	Out   string        `required:"" type:"path" help:"File to write, HTML in one piece."`
}

// Run writes the report to an HTML file.
func (c *auditReportCmd) Run() error {
	store, err := c.open()
	if err != nil {
		return err
	}
	report, err := audit.Summarize(store, clock.Wall().Add(-c.Since), clock.Wall())
	if err != nil {
		return err
	}
	file, err := os.Create(filepath.Clean(c.Out))
	if err != nil {
		return err
	}
	return errors.Join(report.Write(file), file.Close())
}
