package node

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/caller"
	"mimosatide.example/mimosatide/internal/framing/hertzconn"
	"mimosatide.example/mimosatide/internal/operator"
)

// hardHeaderLimit is the size of the request header at which the HTTP library itself ends the
// request, in bytes. Package caller refuses headers larger than Settings.MaxHeader.
const hardHeaderLimit = 1 << 20

const (
	idleConnectionTimeout = 2 * time.Minute
	// refusalLogInterval is the least time between two log lines about refused requests of one port.
	refusalLogInterval = 5 * time.Second
)

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
	callers := caller.New(settings, node.clock, node.store, node.dispatch, node.meter, newID)
	hertz.Use(hertzconn.NewGuard(node.reportAmbiguousBodies("", callers.RefuseAmbiguousBody)))
	callers.Register(hertz.Engine)
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
	operators := operator.New(node.settings.OperatorKey, node.store, node, node, node, newID)
	hertz.Use(hertzconn.NewGuard(node.reportAmbiguousBodies("operators", operators.RefuseAmbiguousBody)))
	operators.Register(hertz.Engine)
	node.registerHealth(hertz)
	return hertz
}

// reportAmbiguousBodies returns refuse with a count and, now and then, a log line. port is empty for callers.
func (node *Node) reportAmbiguousBodies(
	port string, refuse func(c *app.RequestContext, err error),
) func(c *app.RequestContext, err error) {
	var lock sync.Mutex
	var logged time.Time
	refused := 0
	return func(c *app.RequestContext, err error) {
		refuse(c, err)
		lock.Lock()
		defer lock.Unlock()
		node.meter.CountClosedConnections(port, string(mimosatide.ReasonAmbiguousBody), 1)
		refused++
		if time.Since(logged) >= refusalLogInterval {
			node.log.Info("requests refused that leave the end of their body in doubt", "port", cmp.Or(port, "callers"), "requests", refused,
				"last", c.RemoteAddr().String(), "reason", err.Error())
			logged, refused = time.Now(), 0
		}
	}
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
