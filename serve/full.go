// SPDX-License-Identifier: MIT

package serve

import (
	"sync"
	"time"
)

// fullPlaces remembers for a moment where no slot was free; the zero value is empty.
type fullPlaces struct {
	mu    sync.Mutex
	until map[fullPlace]time.Time
}

type fullPlace struct{ service, dataCentre string }

func (f *fullPlaces) is(service, dataCentre string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.until[fullPlace{service, dataCentre}])
}

func (f *fullPlaces) set(service, dataCentre string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = make(map[fullPlace]time.Time)
	}
	f.until[fullPlace{service, dataCentre}] = until
}
