// SPDX-License-Identifier: MIT

package serve

// Step is a step in the processing of a request by an entry.
type Step string

// Steps of a request, in the order in which they occur.
const (
	StepAdmission  Step = "admission"
	StepRelay      Step = "relay"
	StepClaim      Step = "claim" // appending the claim to the log and applying it to the tables
	StepSlot       Step = "slot"
	StepDispatch   Step = "dispatch"
	StepAnswer     Step = "answer"
	StepCompletion Step = "completion"
)

// Steps returns all steps, so that tests can inject a fault at each one.
func Steps() []Step {
	return []Step{StepAdmission, StepRelay, StepClaim, StepSlot, StepDispatch, StepAnswer, StepCompletion}
}

// reportStep calls OnStep, if it is set, before the step or after it.
func (s *Server) reportStep(step Step, after bool) {
	if s.OnStep != nil {
		s.OnStep(step, after)
	}
}
