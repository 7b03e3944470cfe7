package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/pkg/client"
)

// nodeFlags tell an operators' command which node to ask and how to print.
type nodeFlags struct {
	Node     string `help:"Operators' address of any node, as IP:PORT." default:"127.0.0.1:8081" env:"MIMOSATIDE_NODE"`
	Key      string `help:"Operators' key." env:"MIMOSATIDE_OPERATOR_KEY" name:"operator-key"`
	Operator string `help:"Your name, for the history." default:"operator" env:"MIMOSATIDE_OPERATOR"`
	Output   string `help:"How to print: table or json." enum:"table,json" default:"table" short:"o"`
}

func (flags nodeFlags) client() (*client.Client, error) {
	operators, err := client.New(client.Settings{Address: flags.Node, Key: flags.Key, Operator: flags.Operator})
	return operators, errors.Trace(err)
}

// print writes a value as JSON, or rows as a table under their heads.
func (flags nodeFlags) print(value any, heads []string, rows [][]string) error {
	if flags.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(value))
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(heads, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return errors.Trace(writer.Flush())
}
