// SPDX-License-Identifier: MIT

//go:build !race

package pool_test

import (
	"context"
	"slices"
	"strings"

	"rackstep.dev/pool"
)

// control returns the machine interface as an entry calls it.
func (w *world) control(entry string) pool.Machines {
	errOf := func(err error) error {
		if err != nil {
			return errLost
		}
		return nil
	}
	change := func(ctx context.Context, name string, fence int64, do func(m *machine, heldUp bool) error) error {
		answers := make(chan error, 1)
		err := w.call(ctx, entry, modelControl, 0, 0, func(heldUp, _ bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			m := w.machines[name]
			switch {
			case m == nil:
				answers <- pool.ErrNotInWave
			case fence < m.fence:
				answers <- pool.ErrFenced
			default:
				m.fence = fence
				answers <- do(m, heldUp)
			}
		})
		if err != nil {
			return errOf(err)
		}
		return <-answers
	}
	return pool.Machines{
		List: func(ctx context.Context) ([]pool.Machine, error) {
			lists := make(chan []pool.Machine, 1)
			err := w.call(ctx, entry, modelControl, 0, 0, func(bool, bool) { lists <- w.list() })
			if err != nil {
				return nil, errOf(err)
			}
			return <-lists, nil
		},
		Move: func(ctx context.Context, name, to string, fence int64) error {
			return change(ctx, name, fence, func(m *machine, heldUp bool) error {
				switch {
				case m.pool == to:
					return nil
				case m.busy:
					return pool.ErrBusy
				}
				m.life.die(entry+" by a move", heldUp)
				m.pool = to
				w.renew(m, modelAway)
				return nil
			})
		},
		Upkeep: func(ctx context.Context, name string, wave, fence int64) error {
			return change(ctx, name, fence, func(m *machine, heldUp bool) error {
				switch {
				case m.wave[wave]:
					return nil
				case m.busy:
					return pool.ErrBusy
				}
				w.judgeUpkeep(wave, name, entry)
				m.life.die(entry+" by an upkeep", heldUp)
				m.wave[wave], m.upkeepOf = true, wave
				w.renew(m, modelAway)
				return nil
			})
		},
	}
}

func (w *world) list() []pool.Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []pool.Machine
	for _, m := range w.machines {
		x := pool.Machine{Name: m.name, Pool: m.pool}
		if m.life != nil {
			x.ID = m.life.name
		}
		switch {
		case m.upkeepOf > 0:
			x.State = pool.MachineInUpkeep
		case m.busy:
			x.State = pool.MachineMoving
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b pool.Machine) int { return strings.Compare(a.Name, b.Name) })
	return out
}
