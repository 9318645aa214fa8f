// SPDX-License-Identifier: MIT

/*
Package control owns an entry's tables and runs the control loops over them.

All control loops run on one goroutine. Records from the log, statuses from
peers and responses of the platform are passed to it as functions. On each
tick, every loop examines the whole current state and decides what has to be
done; no loop keeps state that would be missed after a restart:

  - observe: writes differences between the instance list and the tables to the log
  - members: joins this entry and removes terminated entries
  - execute: advances confirmed plans
  - jobs: starts, follows and stops jobs
  - checkpoint: writes the tables to the log
  - gossip: sends this entry's status to peers

Each duty is done by one entry at a time, selected by rendezvous hashing among
the live entries. This only saves work: when two entries do the same duty, the
tables accept only one of their records.

Requests never wait for control. They are routed by a serve.View, which control
replaces when a change of the tables or the membership affects routing.
*/
package control
