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
	Patch   configPatchCommand   `cmd:"" help:"Apply a patch on every node."`
	History configHistoryCommand `cmd:"" help:"Show the latest accepted patches."`
}

type configShowCommand struct {
	nodeFlags
}

// Run shows the version and the entries of the configuration in force.
func (command *configShowCommand) Run() error {
	api, err := command.client()
	if err != nil {
		return err
	}
	config, err := api.GetConfig(context.Background())
	if err != nil {
		return err
	}
	rows, err := documentRows(config.Document)
	if err != nil {
		return err
	}
	if command.Output == "table" {
		fmt.Printf("VERSION %d\n", config.Version)
	}
	return command.print(config, []string{"SECTION", "NAME", "VALUE"}, rows)
}

// documentRows returns a table row of section, name and value for each entry.
func documentRows(document json.RawMessage) ([][]string, error) {
	var sections map[string]map[string]json.RawMessage
	if err := json.Unmarshal(document, &sections); err != nil {
		return nil, errors.Annotate(err, "decode configuration document")
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
	File    string `arg:"" help:"File that contains the patch; - reads standard input."`
	Version uint64 `help:"Configuration version that the patch is based on." required:""`
	List    bool   `help:"The patch is a JSON Patch (RFC 6902) instead of a JSON Merge Patch (RFC 7396)."`
	Patch   string `help:"Id of the patch; a call repeated with the same id does not apply it again."`
}

// Run reads the patch and applies it.
func (command *configPatchCommand) Run() error {
	body, err := readInput(command.File)
	if err != nil {
		return err
	}
	patch := client.Patch{Base: command.Version, Format: client.MergePatch, Body: body, ID: command.Patch}
	if command.List {
		patch.Format = client.ListPatch
	}
	return command.applyPatch(patch)
}

// applyPatch sends a patch to the node and prints the resulting version.
func (flags nodeFlags) applyPatch(patch client.Patch) error {
	api, err := flags.client()
	if err != nil {
		return err
	}
	patched, err := api.PatchConfig(context.Background(), patch)
	if err != nil {
		return err
	}
	row := []string{strconv.FormatUint(patched.Version, 10), patched.Patch, strconv.Itoa(patched.Changes)}
	return flags.print(patched, []string{"VERSION", "PATCH", "CHANGES"}, [][]string{row})
}

// applyMergePatch applies a merge patch based on the version now in force.
func (flags nodeFlags) applyMergePatch(merge any) error {
	api, err := flags.client()
	if err != nil {
		return err
	}
	config, err := api.GetConfig(context.Background())
	if err != nil {
		return err
	}
	body, err := json.Marshal(merge)
	if err != nil {
		return errors.Trace(err)
	}
	return flags.applyPatch(client.Patch{Base: config.Version, Format: client.MergePatch, Body: body})
}

// readInput reads the named file, or standard input if the name is "-".
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
	Limit int `help:"Maximum number of patches to show." default:"20"`
}

// Run shows the latest accepted patches.
func (command *configHistoryCommand) Run() error {
	api, err := command.client()
	if err != nil {
		return err
	}
	history, err := api.GetHistory(context.Background(), command.Limit)
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
