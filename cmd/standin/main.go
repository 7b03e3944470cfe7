// Command standin simulates the platform, the weight store, model engines and plain
// services for the demo and for tests. scripts/cluster.sh starts it with a fleet.
package main

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"mimosatide.example/mimosatide/internal/standin"
)

type commandLine struct {
	Address     string        `help:"Address of the platform; the engines, then the services, listen on the ports that follow it." default:"127.0.0.1:7000"`
	Engines     int           `help:"Number of model engines." default:"4"`
	Services    int           `help:"Number of plain services." default:"2"`
	Nodes       int           `help:"Number of hosts for nodes on the host list, named node-host-1 and so on." default:"8"`
	LoadTime    time.Duration `help:"Time of a model's load at full speed." default:"2s"`
	AdapterTime time.Duration `help:"Time of an adapter's load at full speed." default:"200ms"`
	StoreSlots  int           `help:"Number of loads that the weight store runs at full speed at once." default:"4"`
	TokenTime   time.Duration `help:"Time that an engine takes for one token of an answer." default:"5ms"`
	Concurrency int           `help:"Number of requests that an engine runs at once." default:"16"`
	Unfenced    bool          `help:"Let every second engine ignore fencing tokens."`
}

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("standin"))
	settings := standin.DefaultSettings()
	settings.Address = line.Address
	settings.Engines, settings.Services, settings.Nodes = line.Engines, line.Services, line.Nodes
	settings.LoadTime, settings.AdapterTime, settings.StoreSlots = line.LoadTime, line.AdapterTime, line.StoreSlots
	settings.TokenTime, settings.Concurrency, settings.Unfenced = line.TokenTime, line.Concurrency, line.Unfenced
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.FatalIfErrorf(standin.New(settings).Run(ctx))
}
