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

// nodeFlags are the flags of the commands that call a node's operators' API.
type nodeFlags struct {
	Node     string `help:"Operators' address of a node, as IP:PORT." default:"127.0.0.1:8081" env:"MIMOSATIDE_NODE"`
	Key      string `help:"Operators' key." env:"MIMOSATIDE_OPERATOR_KEY" name:"operator-key"`
	Operator string `help:"Name of the operator that the history records." default:"operator" env:"MIMOSATIDE_OPERATOR"`
	Output   string `help:"Output format: table or json." enum:"table,json" default:"table" short:"o"`
}

func (flags nodeFlags) client() (*client.Client, error) {
	api, err := client.New(client.Settings{Address: flags.Node, Key: flags.Key, Operator: flags.Operator})
	return api, errors.Trace(err)
}

// print writes the value as JSON, or the rows as a table, to standard output.
func (flags nodeFlags) print(value any, headers []string, rows [][]string) error {
	if flags.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(value))
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(headers, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return errors.Trace(writer.Flush())
}
