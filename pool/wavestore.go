// SPDX-License-Identifier: MIT

package pool

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/feed"
	"rackstep.dev/job"
)

// waveStoreInterval is the maximum age of the stored time for which a wave that waits has been known.
const waveStoreInterval = time.Second

// storedWave is the stored form of a wave.
type storedWave struct {
	Begun []string `cbor:"1,keyasint,omitempty"`
	// Known is the time for which the wave had been known.
	Known time.Duration `cbor:"2,keyasint,omitempty"`
	Asked []string      `cbor:"3,keyasint,omitempty"`
}

// restoreWave restores the wave that an earlier leader stored.
func (c *session) restoreWave(r feed.KeyedRecord) {
	var kept storedWave
	n, err := strconv.ParseInt(r.Key[len(waveKey):], 10, 64)
	if err != nil || !c.decodeRecord(r, &kept) {
		return
	}
	row := c.wave(n)
	row.earlier, row.storedKnown = kept.Known, kept.Known
	for _, m := range kept.Begun {
		row.begun[m] = true
	}
	for _, m := range kept.Asked {
		row.requested[m] = true
	}
}

// known returns the time for which the wave has been known, to this leader and earlier ones or to this entry. The time in which there was no leader
// is known only to the entry.
func (w *waveState) known(now time.Time) time.Duration {
	d := w.earlier + now.Sub(w.since)
	if !w.learned.IsZero() {
		d = max(d, now.Sub(w.learned))
	}
	return d
}

// refreshStored makes a wave that waits for a burst be stored again if the stored time for which it has been known is out of date. Nothing else of a
// waiting wave changes, and the next leader would wait as long again.
func (w *waveState) refreshStored(now time.Time) {
	if w.wait.held == 0 || w.version > w.storedVersion || w.known(now)-w.storedKnown < waveStoreInterval {
		return
	}
	w.storedKnown = w.known(now)
	w.version++
}

func (c *session) wavesDirty() bool {
	for _, row := range c.waveStates {
		if row.version > row.storedVersion {
			return true
		}
	}
	return false
}

// storeWaves adds the changed waves to a batch.
func (c *session) storeWaves(done *commitBatch, records []feed.KeyedRecord) []feed.KeyedRecord {
	for n, row := range c.waveStates {
		if row.version <= row.storedVersion {
			continue
		}
		row.storedKnown = row.known(c.now())
		kept := storedWave{Begun: slices.Sorted(maps.Keys(row.begun)), Known: row.storedKnown, Asked: slices.Sorted(maps.Keys(row.requested))}
		value, err := job.Encode(kept)
		if err != nil {
			c.emit(event.RecordRefused, event.Subject{}, "wave=%d not stored: %v", n, err)
			continue
		}
		records = append(records, feed.KeyedRecord{Key: waveKeyOf(n), Value: value})
		done.waves[n] = row.version
	}
	return records
}

// waveKeyOf returns the key of the stored record of a wave.
func waveKeyOf(n int64) string { return waveKey + strconv.FormatInt(n, 10) }

func (c *session) waveStored(n int64, version int) {
	c.waveStates[n].storedVersion = max(c.waveStates[n].storedVersion, version)
}

// markRequested records that a maintenance call is about to be made, and reports whether this is already stored.
func (w *waveState) markRequested(machine string) bool {
	if !w.requested[machine] {
		w.version++
		w.requested[machine], w.requestedVersion[machine] = true, w.version
	}
	return w.storedVersion >= w.requestedVersion[machine]
}

// clearRequested records that the maintenance has certainly not begun.
func (w *waveState) clearRequested(machine string) {
	w.version++
	delete(w.requested, machine)
}

// markBegun records that the maintenance has begun, or is not needed any more.
func (w *waveState) markBegun(machine string) {
	if !w.begun[machine] {
		w.version++
	}
	w.begun[machine] = true
	delete(w.requested, machine)
}
