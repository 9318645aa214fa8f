// SPDX-License-Identifier: MIT

/*
Package trial runs a whole site in one process on loopback addresses: the
stand-in platform, targets, entries and callers.

A Site is the machinery, with a switch for every cut:

	site, err := trial.Start(ctx, trial.Spec{DataCentres: 4, EntriesEach: 2, Services: 2, RunnersEach: 8})
	defer site.Stop()

Callers send requests to it and remember what each was told. Compared with
what the targets saw, that shows whether a promise was broken.
*/
package trial
