// SPDX-License-Identifier: MIT

/*
Package serve takes callers' requests, sees that each runs where it may run and
at most as often as it may, and answers.

A request passes these steps, in this order, each of which can only end it with
one of the three outcomes:

 1. admission: the caller's token, the service, the limits and the data centre
    are checked;
 2. relay: when this entry does not run the service's Gate, the request goes to
    the entry that does, in a data centre where it may run;
 3. claim: a request that must not be repeated claims its key in the log;
 4. slot: the Gate gives it a slot of a target;
 5. dispatch: it is sent to the target, once;
 6. answer: the whole answer goes back, or the caller learns that it is not
    whole;
 7. completion: a claim gets the answer's status.

The outcomes are "whole", "not-run" and "unknown". "not-run" is said only when
no byte was written to a target, or the target refused in the agreed way.

All decisions follow one immutable View, which the control goroutine replaces.
*/
package serve
