// SPDX-License-Identifier: MIT

package capacity

import (
	"context"
	"fmt"
	"net/http"
)

// Lose takes the instances of a rack, or of a whole data centre, out of the stand-in's list at once and returns their IDs.
//
// Processes of entries that are lost must be ended by the caller.
func (s Size) Lose(ctx context.Context, rack, centre string) ([]string, error) {
	var lost []string
	for _, in := range s.standin().Instances {
		if in.Rack == rack && rack != "" || in.DataCentre == centre {
			lost = append(lost, in.ID)
		}
	}
	if len(lost) == 0 {
		return nil, fmt.Errorf("rack %q and data centre %q have no instance; name one of the site, as in dc-1-rack-0 or dc-1", rack, centre)
	}
	for _, id := range lost {
		if err := removeInstance(ctx, id); err != nil {
			return nil, err
		}
	}
	return lost, nil
}

func removeInstance(ctx context.Context, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+loopback(platformPort)+"/v1/instances/"+id, nil)
	if err != nil {
		return fmt.Errorf("lose %s: %w", id, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("lose %s: %w", id, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("lose %s: status %d", id, resp.StatusCode)
	}
	return nil
}
