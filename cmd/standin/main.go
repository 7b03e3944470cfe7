// Command standin plays the platform, the weight store, engines and plain services for the demo and for tests.
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
	Address     string        `help:"Address of the platform; targets listen on the ports behind it." default:"127.0.0.1:7000"`
	Engines     int           `help:"Number of model engines." default:"4"`
	Services    int           `help:"Number of plain services." default:"2"`
	Nodes       int           `help:"Number of entry hosts on the host list." default:"8"`
	LoadTime    time.Duration `help:"Time of a model's load at full speed." default:"2s"`
	AdapterTime time.Duration `help:"Time of an adapter's load at full speed." default:"200ms"`
	StoreSlots  int           `help:"Loads at once at full speed." default:"4"`
	TokenTime   time.Duration `help:"Time of one token." default:"5ms"`
	Concurrency int           `help:"Requests at once at an engine." default:"16"`
	Unfenced    bool          `help:"Let every second engine ignore fencing numbers."`
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
