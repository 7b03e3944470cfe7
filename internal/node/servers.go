package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"mimosatide.example/mimosatide/internal/caller"
	"mimosatide.example/mimosatide/internal/operator"
)

// hardHeaderLimit is the size at which the HTTP library itself cuts a request off, in bytes.
const hardHeaderLimit = 1 << 20

const idleConnection = 2 * time.Minute

func (node *Node) newCallerServer() *server.Hertz {
	hertz := server.New(
		server.WithHostPorts(node.settings.CallerListen),
		server.WithSenseClientDisconnection(true),
		server.WithStreamBody(true),
		server.WithMaxHeaderBytes(hardHeaderLimit),
		server.WithHandleMethodNotAllowed(true),
		server.WithIdleTimeout(idleConnection),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)
	settings := caller.Settings{MaxBody: node.settings.MaxBody, MaxHeader: node.settings.MaxHeader}
	caller.New(settings, node.clock, node.store, node.dispatch, node.meter, newID).Register(hertz.Engine)
	node.registerHealth(hertz)
	return hertz
}

func (node *Node) newAdminServer() *server.Hertz {
	hertz := server.New(
		server.WithHostPorts(node.settings.OperatorListen),
		server.WithMaxRequestBodySize(node.settings.MaxBody),
		server.WithIdleTimeout(idleConnection),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)
	operator.New(node.settings.OperatorKey, node.store, node, node, node, newID).Register(hertz.Engine)
	node.registerHealth(hertz)
	return hertz
}

// registerHealth adds what the balancer and the metrics collector ask for.
func (node *Node) registerHealth(hertz *server.Hertz) {
	hertz.GET("/healthz", func(_ context.Context, c *app.RequestContext) {
		c.String(http.StatusOK, "ok")
	})
	hertz.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if node.Ready() {
			c.String(http.StatusOK, "ready")
			return
		}
		c.String(http.StatusServiceUnavailable, "not ready")
	})
	hertz.GET("/metrics", adaptor.HertzHandler(node.meter.Handler()))
}
