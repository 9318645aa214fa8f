// SPDX-License-Identifier: MIT

/*
Package control owns an entry's tables and runs the systems over them.

One goroutine does all of it. Records from the log, statuses from peers and
answers from the platform arrive as functions that run on that goroutine. On
each tick every system looks at the whole current state and decides what is to
be done now; a system keeps no state that a restart would miss:

  - observe: writes to the log what the instance list says and the tables do not
  - members: joins this entry, removes entries that are gone
  - execute: moves confirmed plans on
  - jobs: starts, follows and stops jobs
  - checkpoint: carries the tables forward in the log
  - gossip: tells peers what this entry has folded

Each duty is done by one entry at a time, chosen by rendezvous hashing among
the live ones. That only saves work: two entries that do the same duty write
records of which the fold admits one.

Traffic never waits for control. It follows a serve.View, which control makes
anew when the tables have changed in a way that matters to it.
*/
package control
