// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"os"
	"time"

	"rackstep.dev/event"
	"rackstep.dev/platform"
	"rackstep.dev/pool"
)

// reloadEvery is the pause between two looks at the settings file, which may change without a signal.
const reloadEvery = 2 * time.Second

// watchSettings reads the settings again when it is asked to and when the file has changed, until the context ends.
func (n *Node) watchSettings(ctx context.Context) error {
	look := time.NewTicker(reloadEvery)
	defer look.Stop()
	changed := n.settingsTime()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.Reload:
		case <-look.C:
			if n.settingsTime().Equal(changed) {
				continue
			}
		}
		changed = n.settingsTime()
		n.reload()
	}
}

// countDropped keeps the number of dropped log lines among the metrics, until the context ends.
func (n *Node) countDropped(ctx context.Context) error {
	if n.LogDropped == nil || n.metrics.scope == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			n.metrics.scope.Gauge("log_dropped").Update(float64(n.LogDropped()))
		}
	}
}

// settingsTime returns when the file was last written, and the zero time if that can't be told.
func (n *Node) settingsTime() time.Time {
	info, err := os.Stat(n.SettingsPath)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts new bounds in force; a file with mistakes changes nothing.
func (n *Node) reload() {
	s, err := platform.LoadSettings(n.SettingsPath)
	if err != nil {
		n.Events.Emit(event.SettingsReloaded, event.Subject{Entry: n.Settings.Entry}, "nothing changed: "+err.Error())
		return
	}
	restart := s.Listen != n.Settings.Listen || s.Store.Address != n.Settings.Store.Address || s.Machines.Address != n.Settings.Machines.Address
	n.scheduler.SetBounds(boundsOf(s))
	n.ingress.SetStalenessLimits(patienceOf(s.Bounds))
	n.Events.Emit(event.SettingsReloaded, event.Subject{Entry: n.Settings.Entry}, fmt.Sprintf("bounds in force; addresses changed, which needs a restart: %t", restart))
}

// boundsOf returns the settings' bounds as the scheduler wants them.
func boundsOf(s *platform.Settings) pool.Bounds {
	return pool.Bounds{
		Lease: platform.Millis(s.Bounds.LeaseMillis), Stop: platform.Millis(s.Bounds.StopMillis),
		Status: platform.Seconds(s.Bounds.StatusSeconds), Upkeep: platform.Seconds(s.Bounds.UpkeepSeconds),
		Move: platform.Seconds(s.Bounds.MoveSeconds), MaxAbsence: platform.Millis(s.Bounds.NoticeMillis),
		MaxOverTarget: platform.Millis(s.Bounds.HarmMillis),
	}
}
