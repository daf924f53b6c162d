// Package core assembles an instance from its parts: the control thread, the
// filter chain for requests and the servers for peers and operators.
//
// The parts are small interfaces, so that the same instance runs over real
// sockets in the daemon and over fakes in tests.
//
//	c := core.New(core.Parts{Self: self, Table: t, ...})
//	go c.Loop.Run(ctx)
//	c.Handler.Handle(ctx, request, writer)
package core
