package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/entrynode"
)

type evacuationsCommand struct {
	Address string `required:"" help:"Metrics address of an entry node, as HOST:PORT."`
	JSON    bool   `help:"Print the answer as JSON." name:"json"`
}

// Run shows the evacuated zones and the cold targets that a node knows.
func (command *evacuationsCommand) Run() error {
	address := url.URL{Scheme: "http", Host: command.Address, Path: "/evacuations"}
	body, err := queryNode(address)
	if err != nil {
		return errors.Trace(err)
	}
	if command.JSON {
		_, err := os.Stdout.Write(body)
		return errors.Trace(err)
	}
	var report entrynode.EvacuationReport
	if err := json.Unmarshal(body, &report); err != nil {
		return errors.Annotate(err, "evacuations")
	}
	return errors.Trace(printEvacuations(os.Stdout, report))
}

// queryNode returns what a node answers at its metrics address.
func queryNode(address url.URL) ([]byte, error) {
	response, err := (&http.Client{Timeout: explainTimeout}).Get(address.String())
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the node answered %s: %s", response.Status, body)
	}
	return body, nil
}

// printEvacuations prints a table of the evacuated zones, one of the models that only they held, and one of the
// cold targets.
func printEvacuations(to io.Writer, report entrynode.EvacuationReport) error {
	if _, err := fmt.Fprintf(to, "node %s: %d evacuated zones, %d cold targets, part %.2f\n",
		report.Node, len(report.Zones), len(report.Cold), report.Part); err != nil {
		return errors.Trace(err)
	}
	table := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	if len(report.Zones) > 0 {
		fmt.Fprintln(table, "ZONE\tSINCE\tFOR\tTARGETS\tIN FLIGHT\tMODELS\tLOADED ELSEWHERE")
	}
	for _, zone := range report.Zones {
		loaded := 0
		for _, model := range zone.Models {
			if len(model.LoadedAt) > 0 {
				loaded++
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", zone.Zone, zone.Since.UTC().Format(time.RFC3339),
			time.Duration(zone.SinceMillis)*time.Millisecond, zone.Targets, zone.InFlight, len(zone.Models), loaded)
	}
	for _, zone := range report.Zones {
		if len(zone.Models) > 0 {
			fmt.Fprintf(table, "ONLY IN %s\tSERVICE\tNOW AT\n", zone.Zone)
		}
		for _, model := range zone.Models {
			at := strings.Join(model.LoadedAt, ",")
			if at == "" {
				at = "-"
			}
			fmt.Fprintf(table, "%s\t%s\t%s\n", model.Model, model.Service, at)
		}
	}
	if len(report.Cold) > 0 {
		fmt.Fprintln(table, "COLD TARGET\tSERVICE\tZONE\tLEFT\tRATE\tREASON")
	}
	for _, cold := range report.Cold {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%g\t%s\n", cold.Target, cold.Service, cold.Zone,
			time.Duration(cold.LeftMillis)*time.Millisecond, cold.Rate, cold.Reason)
	}
	return errors.Trace(table.Flush())
}
