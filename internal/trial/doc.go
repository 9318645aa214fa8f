// SPDX-License-Identifier: MIT

/*
Package trial runs a whole site in one process, on loopback addresses or an
in-memory network: the stand-in platform, targets, entries and callers.

A Site starts the components and can partition the network between them:

	site, err := trial.Start(trial.Spec{DataCentres: 4, EntriesEach: 2, Services: 2, RunnersEach: 8}, nil)
	defer site.Stop()

A Load sends requests and records the reply to each. Site.Evaluate compares the
replies with the requests that the targets received and reports every violated
guarantee.
*/
package trial
