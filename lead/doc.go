// SPDX-License-Identifier: MIT

/*
Package lead elects the one entry that schedules, through a keyed topic of the
platform's store.

A term is taken by an append under the condition that the topic still ends
where the candidate has read it, so that of several candidates one wins. The
leader renews its record; a candidate that reads no renewal for a while,
although the store answers it, takes the next term. While the store answers
nobody there is no election, and the leader goes on.

The term's Fence is the fencing token toward the store's writers, the workers
and the machine interface: unique, rising, and valid through every restart.
A leader that is refused for a higher token has to call Lost.
*/
package lead
