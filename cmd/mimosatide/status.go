package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"mimosatide.example/mimosatide/pkg/client"
)

type statusCommand struct {
	nodeFlags
}

// Run shows the state of the fleet as the queried node knows it.
func (command *statusCommand) Run() error {
	api, err := command.client()
	if err != nil {
		return err
	}
	status, err := api.GetStatus(context.Background())
	if err != nil {
		return err
	}
	return command.print(status, []string{"WHAT", "NAME", "STATE"}, statusRows(status))
}

func statusRows(status client.Status) [][]string {
	rows := [][]string{{
		"node", status.Node,
		fmt.Sprintf("version=%d fresh=%t fresh-for=%dms draining=%t", status.Version, status.Fresh, status.FreshForMs, status.Draining),
	}}
	for _, member := range status.Members {
		state := fmt.Sprintf("zone=%s host=%s live=%t shares=%d", member.Zone, member.Host, member.Live, member.Shares)
		rows = append(rows, []string{"member", member.Address, state})
	}
	for _, target := range status.Targets {
		state := fmt.Sprintf("kind=%s zone=%s reachable=%t leaving=%t running=%d",
			target.Kind, target.Zone, target.Reachable, target.Leaving, target.Running)
		rows = append(rows, []string{"target", target.Name, state})
	}
	for _, placement := range status.Placements {
		state := fmt.Sprintf("target=%s state=%s version=%s adapters=%s",
			placement.Target, placement.State, placement.Version, strings.Join(placement.Adapters, ","))
		rows = append(rows, []string{"placement", placement.ID, state})
	}
	for _, account := range status.Accounts {
		state := fmt.Sprintf("balance=%.0f served=%d refused=%d tokens=%.0f mean-wait=%sms", account.Balance, account.Served,
			account.Refused, account.ServedTokens, strconv.FormatFloat(account.MeanWaitMs, 'f', 1, 64))
		rows = append(rows, []string{"account", account.Name, state})
	}
	return rows
}
