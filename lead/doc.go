// SPDX-License-Identifier: MIT

/*
Package lead elects the one entry that schedules, through a keyed topic of the
platform's store.

A candidate takes the next term by a conditional append: the topic must still
end where the candidate has read it, so that only one of several candidates
succeeds. The leader renews its record periodically. A candidate that reads no
renewal for a while, although the store answers it, takes the next term. While
the store answers nobody there is no election, and the leader goes on.

The term's Fence is the fencing token for the store's writers, the workers and
the machine interface. It is unique, increases with every term and stays valid
across restarts. A leader whose call is refused because of a higher token must
call StepDown.
*/
package lead
