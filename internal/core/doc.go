// Package core puts an instance together from its parts: the control thread,
// the filter chain and what answers peers and operators.
//
// The parts are small interfaces, so that the same instance runs over real
// sockets in the daemon and over fakes in a proof.
//
//	c := core.New(core.Parts{Self: self, Table: t, ...})
//	go c.Loop.Run(ctx)
//	c.Handler.Handle(ctx, request, writer)
package core
