// SPDX-License-Identifier: MIT

package serve

// Step is one step of a request on its way through an entry.
type Step string

// Steps of a request, in their order.
const (
	StepAdmission  Step = "admission"
	StepRelay      Step = "relay"
	StepClaim      Step = "claim" // the append and the fold of the claim
	StepSlot       Step = "slot"
	StepDispatch   Step = "dispatch"
	StepAnswer     Step = "answer"
	StepCompletion Step = "completion"
)

// Steps returns every step, so that a matrix of faults forgets none.
func Steps() []Step {
	return []Step{StepAdmission, StepRelay, StepClaim, StepSlot, StepDispatch, StepAnswer, StepCompletion}
}

// probe tells the test's switch that the step begins or has ended.
func (s *Server) probe(step Step, after bool) {
	if s.OnStep != nil {
		s.OnStep(step, after)
	}
}
