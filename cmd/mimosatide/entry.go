package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/decisionlog"
	"mimosatide.example/mimosatide/internal/entrynode"
	"mimosatide.example/mimosatide/platform"
)

const (
	// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the
	// node's memory limit; above it the garbage collector runs more often.
	memoryLimitFraction = 0.6
	// outsideMemory is the least memory that the soft limit leaves, in bytes: the pages of the
	// program itself take 18 MB on a host of any size, and the heap exceeds the limit by some
	// while the garbage collector runs.
	outsideMemory = 32 << 20
	// minMemoryLimitFraction bounds the soft limit from below on hosts that have hardly more.
	minMemoryLimitFraction = 0.25
)

// memoryLimit returns the Go runtime's soft memory limit in bytes.
func memoryLimit(limits platform.Limits) int64 {
	memory := float64(limits.MemoryMB) * (1 << 20)
	return int64(max(memory*minMemoryLimitFraction, min(memory*memoryLimitFraction, memory-outsideMemory)))
}

// reloadSignals receives SIGHUP in an entry node. It is initialized before main
// runs, because SIGHUP terminates a process that has no handler for it yet, without a
// log line.
var reloadSignals = subscribeReloadSignals()

func subscribeReloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		signal.Notify(signals, syscall.SIGHUP)
	}
	return signals
}

type entryCommand struct {
	Settings    string `help:"Path of the platform's settings file." env:"MIMOSATIDE_NODE_FILE" required:""`
	MetricsPort string `help:"Port that serves the metrics." default:"9464" env:"MIMOSATIDE_METRICS_PORT"`
	Triage      bool   `help:"Order the requests that wait for room at a target by rank and time left, and refuse those that no target can answer in time." default:"true" negatable:"" env:"MIMOSATIDE_TRIAGE"`
	LogLevel    string `help:"Minimum level that is logged: debug, info or error." enum:"debug,info,error" default:"info" env:"MIMOSATIDE_LOG_LEVEL"`
}

// Run runs an entry node on the users' platform until SIGTERM or SIGINT stops it.
func (command *entryCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings, err := platform.ReadSettings(command.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	debug.SetMemoryLimit(memoryLimit(settings.Limits))
	writer := decisionlog.New(os.Stdout)
	defer writer.Close()
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}
	log := logr.FromSlogHandler(slog.NewTextHandler(writer, &slog.HandlerOptions{Level: levels[command.LogLevel]}))
	var options []entrynode.Option
	if !command.Triage {
		options = append(options, entrynode.WithoutTriage())
	}
	node, err := entrynode.New(settings, command.MetricsPort, log, options...)
	if err != nil {
		log.Error(err, "node not started")
		return errors.Trace(err)
	}
	go logReloads(ctx, command.Settings, settings, log)
	return errors.Trace(node.Run(ctx))
}

// logReloads reads the settings file again on every SIGHUP and logs whether it
// has changed. Changes apply from the next start on, because the addresses and
// limits of a running process are fixed.
func logReloads(ctx context.Context, path string, current platform.Settings, log logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		}
		reloaded, err := platform.ReadSettings(path)
		if err != nil {
			log.Error(err, "settings not reloaded; the settings read at the start stay in force")
			continue
		}
		log.Info("settings reloaded", "changed", reloaded != current)
	}
}
