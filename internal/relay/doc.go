// Package relay puts together an instance that forwards requests by routes.
//
// It shares the control thread, the filter chain and the mesh of instances with
// package core. Where core chooses endpoints for prompts that it reads, relay
// passes requests on as they are: a route names the service, the kind of the
// request and its deadline, and a team's key who sent it.
//
//	i := relay.New(relay.Parts{Self: self, Store: s, ...})
//	go i.Run(ctx)
//	i.Handler.Handle(ctx, request, writer)
package relay
