// SPDX-License-Identifier: MIT

/*
Package plan turns an operator's intent into a plan, and a confirmed plan into
the next actions to take.

Make selects the instances that the intent names from the tables and groups
them into waves, so that every service keeps its availability budget:

	p, err := plan.Make(tables, "p-17", intent, plan.Costs{Maintenance: 2 * time.Minute})

Nothing happens until the plan is confirmed. Then Next decides, from the
tables and a few facts, what may be done now:

	for _, d := range plan.Next(tables, p, facts) {
		// append d.Advance to the log, send d.Command to the platform, ...
	}

Next is stateless. It may run on several entries at once, at any time and
repeatedly: the fold in package fleet admits each step once and refuses what
would break a budget.
*/
package plan
