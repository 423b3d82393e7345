package main

import (
	"fmt"
	"io"
	"os"

	"whinrun/internal/audit"
	"whinrun/internal/receipt"
)

// receiptCmd groups the commands for signed receipts.
type receiptCmd struct {
	Verify receiptVerifyCmd `cmd:"" help:"Check a signed receipt and print what it says; exit 1 if it is not as it was signed."`
}

// receiptVerifyCmd verifies a signed receipt.
type receiptVerifyCmd struct {
	Keys string `required:"" type:"existingdir" help:"Folder of the public keys (*.pub.pem)."`
	File string `arg:"" default:"-" help:"The signed receipt, - for standard input."`
}

// Run verifies the signature of the receipt and prints its content.
func (c *receiptVerifyCmd) Run() error {
	in := os.Stdin
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, 1<<20))
	if err != nil {
		return err
	}
	keys, err := audit.PublicKeys(c.Keys)
	if err != nil {
		return err
	}
	r, err := receipt.Verify(string(text), keys)
	if err != nil {
		return err
	}
	fmt.Printf("well signed\n%s\n", r.JSON())
	return nil
}
