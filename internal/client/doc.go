// Package client speaks the protocols of endpoints.
//
// Engines are met by the OpenAI protocol with its extensions for priority and
// cache salt; plain services by HTTP. A client makes one attempt and says,
// when it fails, whether any byte may have left. Connections that went silent
// are found by watchdogs; a connection whose answer was late or belonged to
// another attempt is closed and never used again.
//
//	c := client.New(client.WithGap(2 * time.Second))
//	reply, err := c.Open(ctx, attempt)
package client
