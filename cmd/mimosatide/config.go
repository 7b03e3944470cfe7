package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/pkg/client"
)

type configCommand struct {
	Show    configShowCommand    `cmd:"" help:"Show the configuration in force."`
	Patch   configPatchCommand   `cmd:"" help:"Put a patch in force everywhere."`
	History configHistoryCommand `cmd:"" help:"Show the accepted patches."`
}

type configShowCommand struct {
	nodeFlags
}

// Run shows the configuration.
func (command *configShowCommand) Run() error {
	operators, err := command.client()
	if err != nil {
		return err
	}
	config, err := operators.GetConfig(context.Background())
	if err != nil {
		return err
	}
	rows, err := entityRows(config.Document)
	if err != nil {
		return err
	}
	if command.Output == "table" {
		fmt.Printf("VERSION %d\n", config.Version)
	}
	return command.print(config, []string{"SECTION", "NAME", "VALUE"}, rows)
}

func entityRows(document json.RawMessage) ([][]string, error) {
	var sections map[string]map[string]json.RawMessage
	if err := json.Unmarshal(document, &sections); err != nil {
		return nil, errors.Annotate(err, "document")
	}
	var rows [][]string
	for _, section := range sortedNames(sections) {
		for _, name := range sortedNames(sections[section]) {
			rows = append(rows, []string{section, name, string(sections[section][name])})
		}
	}
	return rows, nil
}

type configPatchCommand struct {
	nodeFlags
	File    string `arg:"" help:"File with the patch, or - for standard input."`
	Version uint64 `help:"Version that the patch is against." required:""`
	List    bool   `help:"The patch is a list of operations (RFC 6902) instead of a merge patch (RFC 7396)."`
	Patch   string `help:"Id of the patch: a repeated call with the same id is the same patch."`
}

// Run puts the patch in force.
func (command *configPatchCommand) Run() error {
	body, err := readInput(command.File)
	if err != nil {
		return err
	}
	patch := client.Patch{Base: command.Version, Format: client.MergePatch, Body: body, ID: command.Patch}
	if command.List {
		patch.Format = client.ListPatch
	}
	return command.apply(patch)
}

// apply sends a patch and prints what became of it.
func (flags nodeFlags) apply(patch client.Patch) error {
	operators, err := flags.client()
	if err != nil {
		return err
	}
	patched, err := operators.PatchConfig(context.Background(), patch)
	if err != nil {
		return err
	}
	row := []string{strconv.FormatUint(patched.Version, 10), patched.Patch, strconv.Itoa(patched.Changes)}
	return flags.print(patched, []string{"VERSION", "PATCH", "CHANGES"}, [][]string{row})
}

// applyMerge puts a merge patch against the present version in force.
func (flags nodeFlags) applyMerge(merge any) error {
	operators, err := flags.client()
	if err != nil {
		return err
	}
	config, err := operators.GetConfig(context.Background())
	if err != nil {
		return err
	}
	body, err := json.Marshal(merge)
	if err != nil {
		return errors.Trace(err)
	}
	return flags.apply(client.Patch{Base: config.Version, Format: client.MergePatch, Body: body})
}

func readInput(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.Trace(err)
	}
	data, err := os.ReadFile(name)
	return data, errors.Trace(err)
}

type configHistoryCommand struct {
	nodeFlags
	Limit int `help:"Most patches to show." default:"20"`
}

// Run shows the accepted patches.
func (command *configHistoryCommand) Run() error {
	operators, err := command.client()
	if err != nil {
		return err
	}
	history, err := operators.GetHistory(context.Background(), command.Limit)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, entry := range history {
		var changed []string
		for _, change := range entry.Changes {
			changed = append(changed, change.Section+"/"+change.Name)
		}
		rows = append(rows, []string{strconv.FormatUint(entry.Version, 10), entry.Operator, entry.Patch, strings.Join(changed, " ")})
	}
	return command.print(history, []string{"VERSION", "OPERATOR", "PATCH", "CHANGED"}, rows)
}
