// Command standin emulates the platform, the weight store, model engines and plain
// services for the demo and for tests.
//
// # Usage
//
//	standin --address 127.0.0.1:7000 --engines 4 --services 2
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
	Address     string        `help:"Address of the emulated platform; the targets listen on the ports that follow it." default:"127.0.0.1:7000"`
	Engines     int           `help:"Number of model engines." default:"4"`
	Services    int           `help:"Number of plain services." default:"2"`
	Nodes       int           `help:"Number of node hosts on the host list." default:"8"`
	LoadTime    time.Duration `help:"Load time of a model at full speed." default:"2s"`
	AdapterTime time.Duration `help:"Load time of an adapter at full speed." default:"200ms"`
	StoreSlots  int           `help:"Number of concurrent loads that the weight store serves at full speed." default:"4"`
	TokenTime   time.Duration `help:"Time to generate one token." default:"5ms"`
	Concurrency int           `help:"Number of requests that an engine runs concurrently." default:"16"`
	Unfenced    bool          `help:"Make every second engine ignore fencing numbers."`
}

func main() {
	var options commandLine
	parsed := kong.Parse(&options, kong.Name("standin"))
	settings := standin.DefaultSettings()
	settings.Address = options.Address
	settings.Engines, settings.Services, settings.Nodes = options.Engines, options.Services, options.Nodes
	settings.LoadTime, settings.AdapterTime, settings.StoreSlots = options.LoadTime, options.AdapterTime, options.StoreSlots
	settings.TokenTime, settings.Concurrency, settings.Unfenced = options.TokenTime, options.Concurrency, options.Unfenced
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.FatalIfErrorf(standin.New(settings).Run(ctx))
}
