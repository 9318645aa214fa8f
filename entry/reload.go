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

// reloadInterval is the interval at which the settings file is checked for changes that were not announced by a signal.
const reloadInterval = 2 * time.Second

// watchSettings reloads the settings on request and when the file has changed, until the context ends.
func (n *Node) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	modTime := n.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.Reload:
		case <-ticker.C:
			if n.settingsModTime().Equal(modTime) {
				continue
			}
		}
		modTime = n.settingsModTime()
		n.reload()
	}
}

// reportDroppedLogs reports the number of dropped log lines as a metric until the context ends.
func (n *Node) reportDroppedLogs(ctx context.Context) error {
	if n.LogDropped == nil || n.metrics.scope == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			n.metrics.scope.Gauge("log_dropped").Update(float64(n.LogDropped()))
		}
	}
}

// settingsModTime returns the settings file's modification time, or the zero time if the file can't be examined.
func (n *Node) settingsModTime() time.Time {
	info, err := os.Stat(n.SettingsPath)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the bounds of the settings file. A file with errors changes nothing.
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

// boundsOf converts the settings' bounds for the scheduler.
func boundsOf(s *platform.Settings) pool.Bounds {
	return pool.Bounds{
		Lease: platform.Millis(s.Bounds.LeaseMillis), Stop: platform.Millis(s.Bounds.StopMillis),
		Status: platform.Seconds(s.Bounds.StatusSeconds), Maintenance: platform.Seconds(s.Bounds.UpkeepSeconds),
		Move: platform.Seconds(s.Bounds.MoveSeconds), MaxAbsence: platform.Millis(s.Bounds.NoticeMillis),
		MaxOverTarget: platform.Millis(s.Bounds.HarmMillis),
	}
}
