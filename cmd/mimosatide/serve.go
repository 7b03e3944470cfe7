package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"mimosatide.example/mimosatide/internal/node"
	"mimosatide.example/mimosatide/internal/setting"
)

type serveCommand struct {
	setting.Serve
	LogLevel string `help:"Minimum level that is logged: debug, info or error." enum:"debug,info,error" default:"info" env:"MIMOSATIDE_LOG_LEVEL"`
}

// Run runs a node until SIGTERM or SIGINT stops it. Invalid settings are all
// reported in one error.
func (command *serveCommand) Run() error {
	if faults := command.Check(); len(faults) > 0 {
		text := "invalid settings:"
		for _, fault := range faults {
			text += "\n  " + fault.String()
		}
		return errors.New(text)
	}
	hlog.SetLevel(hlog.LevelFatal)
	log := newLogger(command.LogLevel)
	fleetNode, err := node.New(command.Node(), log)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return fleetNode.Run(ctx)
}

// newLogger returns a logger that writes lines of key=value pairs to standard error.
func newLogger(level string) logr.Logger {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "error": slog.LevelError}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: levels[level]})
	return logr.FromSlogHandler(handler)
}
