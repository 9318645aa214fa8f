// SPDX-License-Identifier: MIT

/*
Package limit bounds what the clients of a process may cost together.

A client that sends part of a request and then nothing costs a descriptor, a
goroutine and the bytes that have arrived, for as long as the connection stays
open. One such client is harmless; some thousands take all descriptors or all
memory. A bound for each request does not prevent that, since the number of
requests in progress has none. This package bounds the sums.

What may be taken back is taken from whoever has made no progress for longest:
a connection that waits for a request, or a body that stops short. A crowd of
such clients therefore displaces itself, while a client that keeps sending is
served. Requests that have been read whole are never displaced, so that their
answers arrive.

	g := &limit.Guard{Limits: limit.For(284, 4100)}
	ln = g.Listener(ln, g.Limits.Connections)
	srv := g.Server(handler)
	err := srv.Serve(ln)

The handler reads bodies through the Guard, which charges them to a budget:

	body, err := g.ReadBody(r, maxBytes, check)
	if err != nil {
		return err
	}
	defer body.Release()
	err = body.Decode(r.Context(), func(b []byte) error { return json.Unmarshal(b, &v) })
*/
package limit
