package main

import (
	"context"
	"fmt"
	"strconv"
)

type accountCommand struct {
	List accountListCommand `cmd:"" help:"List the accounts, their limits and the tokens that the queried node has served."`
	Set  accountSetCommand  `cmd:"" help:"Create or change an account."`
}

// accountEntry is an account in the configuration document and in the JSON output.
type accountEntry struct {
	RateTokensPerSecond float64
	BurstTokens         float64
	Weight              float64
	Priority            int
}

type accountListCommand struct {
	nodeFlags
}

// Run lists the configured accounts.
func (command *accountListCommand) Run() error {
	var document struct{ Accounts map[string]accountEntry }
	if err := command.readDocument(&document); err != nil {
		return err
	}
	served, err := command.servedTokens()
	if err != nil {
		return err
	}
	var rows [][]string
	for _, name := range sortedNames(document.Accounts) {
		entry := document.Accounts[name]
		rows = append(rows, []string{
			name, fmt.Sprint(entry.RateTokensPerSecond), fmt.Sprint(entry.BurstTokens), fmt.Sprint(entry.Weight),
			strconv.Itoa(entry.Priority), served[name],
		})
	}
	headers := []string{"ACCOUNT", "RATE (TOKENS/S)", "BURST (TOKENS)", "WEIGHT", "PRIORITY", "SERVED TOKENS HERE"}
	return command.print(document.Accounts, headers, rows)
}

// servedTokens returns the tokens that the queried node has served, by account.
func (flags nodeFlags) servedTokens() (map[string]string, error) {
	api, err := flags.client()
	if err != nil {
		return nil, err
	}
	status, err := api.GetStatus(context.Background())
	if err != nil {
		return nil, err
	}
	served := map[string]string{}
	for _, account := range status.Accounts {
		served[account.Name] = strconv.FormatFloat(account.ServedTokens, 'f', 0, 64)
	}
	return served, nil
}

type accountSetCommand struct {
	nodeFlags
	Account  string  `arg:"" help:"Name of the account."`
	Rate     float64 `help:"Rate limit over the whole fleet in tokens per second." required:""`
	Burst    float64 `help:"Burst limit in tokens; at least half a second of the rate." required:""`
	Weight   float64 `help:"Weight of the account when accounts compete for a model." default:"1"`
	Priority int     `help:"Priority sent to the engines; larger numbers run first." default:"0"`
}

// Run creates or changes an account.
func (command *accountSetCommand) Run() error {
	entry := accountEntry{
		RateTokensPerSecond: command.Rate,
		BurstTokens:         command.Burst,
		Weight:              command.Weight,
		Priority:            command.Priority,
	}
	return command.applyMergePatch(map[string]any{"Accounts": map[string]any{command.Account: entry}})
}
