// Package relay assembles an instance that forwards requests according to
// routes.
//
// It shares the control thread, the filter chain and the instance mesh with
// package core. Whereas core reads prompts to choose endpoints, relay
// forwards requests unchanged: the route determines the service, the kind of
// request and its deadline, and the API key determines the team.
//
//	i := relay.New(relay.Parts{Self: self, Store: s, ...})
//	go i.Run(ctx)
//	i.Handler.Handle(ctx, request, writer)
package relay
