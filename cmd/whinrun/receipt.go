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
	input := os.Stdin
	if c.File != "-" {
		file, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	text, err := io.ReadAll(io.LimitReader(input, 1<<20))
	if err != nil {
		return err
	}
	keys, err := audit.PublicKeys(c.Keys)
	if err != nil {
		return err
	}
	verified, err := receipt.Verify(string(text), keys)
	if err != nil {
		return err
	}
	fmt.Printf("well signed\n%s\n", verified.JSON())
	return nil
}
