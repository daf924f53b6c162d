// Package client implements the protocols of endpoints.
//
// Engines are called with the OpenAI protocol and its extensions for priority
// and cache salt, plain services with HTTP. A Client makes a single attempt; its
// failure reports whether any byte may have been sent. Watchdogs detect
// connections that stop passing data. A connection whose response was late or
// belonged to another attempt is closed and never reused.
//
//	c := client.New(client.WithChunkTimeout(2 * time.Second))
//	reply, err := c.Open(ctx, attempt)
package client
