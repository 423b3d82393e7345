package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"whinrun/internal/sitefile"
	"whinrun/internal/testgate"
)

// lineCmd prints one line of the deploy file.
type lineCmd struct {
	Key  string `arg:"" help:"Key of the line, e.g. build."`
	File string `default:"deploy/balancer.toml" help:"The deploy file."`
}

// Run prints the line. It fails where the file has no such key.
func (c *lineCmd) Run() error {
	text, err := sitefile.Text(c.File, c.Key)
	if err == nil {
		fmt.Println(text)
	}
	return err
}

// siteCmd writes a variant of a site file.
type siteCmd struct {
	Overrides string `arg:"" type:"existingfile" help:"What the variant has otherwise, e.g. a file of deploy/sites."`
	Site      string `required:"" type:"existingfile" help:"The given site file; what stands beside it comes along."`
	Out       string `default:"found/sites" help:"Folder for the variant."`
}

// Run writes the variant and prints its path.
func (c *siteCmd) Run() error {
	path, err := sitefile.WriteVariant(c.Site, c.Overrides, c.Out)
	if err == nil {
		fmt.Println(path)
	}
	return err
}

// gateCmd checks the results of the tests against the tests on record as failing.
type gateCmd struct {
	Known string `default:"KNOWN-RED.txt" help:"Tests on record as failing; the file may be missing."`
}

// Run evaluates the output of go test -json on standard input. It fails as testgate.Evaluate does, or if the record cannot be
// read.
func (c *gateCmd) Run() error {
	file, err := os.Open(c.Known)
	var known []testgate.KnownFailure
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return err
	default:
		known, err = testgate.ParseKnownFailures(file)
		if err = errors.Join(err, file.Close()); err != nil {
			return fmt.Errorf("%s: %w", c.Known, err)
		}
	}
	return testgate.Evaluate(os.Stdin, known, os.Stdout)
}
