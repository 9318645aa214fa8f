// SPDX-License-Identifier: MIT

/*
Package serve handles callers' requests: it routes each one to a target where it
may run, runs a request that is not repeatable at most once, and returns the
response.

A request passes through the following steps, in order. A step that ends the
request does so with one of three outcomes:

 1. admission: the caller's token, the service, the limits and the data centre
    are checked;
 2. relay: when this entry does not own the service's Gate, the request is
    forwarded to the entry that does, in a data centre where it may run;
 3. claim: a request that must not be repeated claims its key in the log;
 4. slot: the Gate assigns it a slot of a target;
 5. dispatch: it is sent to the target, once;
 6. answer: the complete response is returned, or the connection is closed so
    that the caller can tell that the response is truncated;
 7. completion: the response's status is recorded for the claim.

The outcomes are "whole" (the complete response of the target), "not-run" and
"unknown". "not-run" is reported only when no byte was written to a target, or
when the target refused the request with the header Rackstep-Not-Run.

Routing decisions are based on an immutable View, which the control goroutine
replaces when the tables change.
*/
package serve
