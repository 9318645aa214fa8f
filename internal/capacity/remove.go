// SPDX-License-Identifier: MIT

package capacity

import (
	"context"
	"fmt"
	"net/http"
)

// RemoveInstances deletes the instances of a rack, or of a whole data centre, from the stand-in platform's list and returns
// their IDs.
//
// The caller must stop the processes of removed entries.
func (s Size) RemoveInstances(ctx context.Context, rack, centre string) ([]string, error) {
	var removed []string
	for _, in := range s.standin().Instances {
		if in.Rack == rack && rack != "" || in.DataCentre == centre {
			removed = append(removed, in.ID)
		}
	}
	if len(removed) == 0 {
		return nil, fmt.Errorf("no instance in rack %q or data centre %q; valid names look like dc-1-rack-0 and dc-1", rack, centre)
	}
	for _, id := range removed {
		if err := removeInstance(ctx, id); err != nil {
			return nil, err
		}
	}
	return removed, nil
}

func removeInstance(ctx context.Context, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+loopback(platformPort)+"/v1/instances/"+id, nil)
	if err != nil {
		return fmt.Errorf("remove instance %s: %w", id, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("remove instance %s: %w", id, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("remove instance %s: status %d", id, resp.StatusCode)
	}
	return nil
}
