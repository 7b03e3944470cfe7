package main

import (
	"context"
	"fmt"
	"strconv"
)

type accountCommand struct {
	List accountListCommand `cmd:"" help:"List the accounts with their limits and what this node served them."`
	Set  accountSetCommand  `cmd:"" help:"Create or change an account."`
}

type accountEntry struct {
	RateTokensPerSecond float64
	BurstTokens         float64
	Weight              float64
	Priority            int
}

type accountListCommand struct {
	nodeFlags
}

// Run lists the accounts.
func (command *accountListCommand) Run() error {
	var document struct{ Accounts map[string]accountEntry }
	if err := command.readDocument(&document); err != nil {
		return err
	}
	served, err := command.servedAccounts()
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
	heads := []string{"ACCOUNT", "RATE (TOKENS/S)", "BURST (TOKENS)", "WEIGHT", "PRIORITY", "SERVED TOKENS HERE"}
	return command.print(document.Accounts, heads, rows)
}

func (flags nodeFlags) servedAccounts() (map[string]string, error) {
	operators, err := flags.client()
	if err != nil {
		return nil, err
	}
	status, err := operators.GetStatus(context.Background())
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
	Rate     float64 `help:"Tokens a second over the whole fleet." required:""`
	Burst    float64 `help:"Most tokens at once, at least half a second of the rate." required:""`
	Weight   float64 `help:"Part of a contended model." default:"1"`
	Priority int     `help:"Priority at the engines, a larger number first." default:"0"`
}

// Run creates or changes an account.
func (command *accountSetCommand) Run() error {
	entry := accountEntry{
		RateTokensPerSecond: command.Rate,
		BurstTokens:         command.Burst,
		Weight:              command.Weight,
		Priority:            command.Priority,
	}
	return command.applyMerge(map[string]any{"Accounts": map[string]any{command.Account: entry}})
}
