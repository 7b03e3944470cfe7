package main

import (
	"context"
	"strconv"
	"strings"
)

type modelCommand struct {
	List modelListCommand `cmd:"" help:"List the models, their adapters and the placements that the queried node decides about."`
}

// modelEntry is a model in the configuration document and in the JSON output.
type modelEntry struct {
	Version     string
	MemoryBytes int64
	LoadTime    string
	MaxReplicas int
	Adapters    map[string]struct{ Version string }
}

type modelListCommand struct {
	nodeFlags
}

// Run lists the configured models.
func (command *modelListCommand) Run() error {
	var document struct{ Models map[string]modelEntry }
	if err := command.readDocument(&document); err != nil {
		return err
	}
	api, err := command.client()
	if err != nil {
		return err
	}
	status, err := api.GetStatus(context.Background())
	if err != nil {
		return err
	}
	placed := map[string][]string{}
	for _, placement := range status.Placements {
		placed[placement.Model] = append(placed[placement.Model], placement.Target+"="+placement.State)
	}
	var rows [][]string
	for _, name := range sortedNames(document.Models) {
		entry := document.Models[name]
		rows = append(rows, []string{
			name, entry.Version, strconv.FormatInt(entry.MemoryBytes, 10), entry.LoadTime,
			strings.Join(sortedNames(entry.Adapters), " "), strings.Join(placed[name], " "),
		})
	}
	return command.print(document.Models, []string{"MODEL", "VERSION", "MEMORY (BYTES)", "LOAD TIME", "ADAPTERS", "PLACEMENTS"}, rows)
}
