// SPDX-License-Identifier: MIT

package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"rackstep.dev/fleet"
)

// Resources and run time of each submitted job, and the limits of submission.
const (
	jobCores             = 4
	jobMemoryMB          = 1024
	jobRunTime           = 30 * time.Minute
	maxConcurrentSubmits = 64
	submitTimeout        = 15 * time.Second
)

// Submit submits the given number of jobs, spread round-robin over entries, pools and teams, and returns the first error.
func (s Size) Submit(ctx context.Context, jobs int) error {
	slots := make(chan struct{}, maxConcurrentSubmits)
	errs := make(chan error, jobs)
	var wg sync.WaitGroup
	for i := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := s.submit(ctx, i); err != nil {
				errs <- err
			}
		})
	}
	wg.Wait()
	close(errs)
	return <-errs
}

func (s Size) submit(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	body, err := json.Marshal(fleet.JobSpec{
		ID: fmt.Sprintf("job-%05d", i), Pool: poolName(i % s.Pools), Cores: jobCores, MemoryMB: jobMemoryMB,
		RunTime: fleet.Duration(jobRunTime), Repeatable: true, Command: "run " + jobRunTime.String(),
	})
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	url := "http://" + loopback(firstEntryPort+portsPerEntry*(i%s.Entries)) + "/v1/jobs"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("submit job %d: %w", i, err)
	}
	req.Header.Set("Authorization", "Bearer "+teamName(i%s.Teams))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("submit job %d: %w", i, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("submit job %d: status %d", i, resp.StatusCode)
	}
	return nil
}
