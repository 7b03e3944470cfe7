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

// hardHeaderLimit is the size of the request header at which the HTTP library itself ends the
// request, in bytes. Package caller refuses headers larger than Settings.MaxHeader.
const hardHeaderLimit = 1 << 20

const idleConnectionTimeout = 2 * time.Minute

func (node *Node) newCallerServer() *server.Hertz {
	hertz := server.New(
		server.WithHostPorts(node.settings.CallerListen),
		server.WithSenseClientDisconnection(true),
		server.WithStreamBody(true),
		server.WithMaxHeaderBytes(hardHeaderLimit),
		server.WithHandleMethodNotAllowed(true),
		server.WithIdleTimeout(idleConnectionTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)
	settings := caller.Settings{MaxBody: node.settings.MaxBody, MaxHeader: node.settings.MaxHeader}
	caller.New(settings, node.clock, node.store, node.dispatch, node.meter, newID).Register(hertz.Engine)
	node.registerHealth(hertz)
	return hertz
}

func (node *Node) newOperatorServer() *server.Hertz {
	hertz := server.New(
		server.WithHostPorts(node.settings.OperatorListen),
		server.WithMaxRequestBodySize(node.settings.MaxBody),
		server.WithIdleTimeout(idleConnectionTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(time.Second),
	)
	operator.New(node.settings.OperatorKey, node.store, node, node, node, newID).Register(hertz.Engine)
	node.registerHealth(hertz)
	return hertz
}

// registerHealth adds the paths of the load balancer's health checks and of the metrics collector.
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
