// SPDX-License-Identifier: MIT

package event

import (
	"fmt"
	"strings"
)

// Number identifies a kind of event. A number is never reused or given another meaning.
type Number int

// Event numbers, grouped by hundreds: the entry, the log, the configuration, plans, jobs, requests and targets, the
// instance list, and scheduling on the users' platform.
const (
	EntryStarted         Number = 100
	EntryReady           Number = 101
	EntryStopping        Number = 102
	EntryStopped         Number = 103
	EntryJoined          Number = 104
	EntryGone            Number = 105
	MachineWoke          Number = 106
	PeerUp               Number = 110
	PeerDown             Number = 111
	LogUnreachable       Number = 200
	LogReachable         Number = 201
	LogTrimmed           Number = 202
	CheckpointWritten    Number = 203
	TablesFromPeer       Number = 204
	TailFromPeer         Number = 205
	RecordRefused        Number = 206
	ClaimsUnreadable     Number = 207
	ConfigurationInForce Number = 300
	PlanProposed         Number = 400
	PlanOrdered          Number = 401
	StepAdvanced         Number = 402
	StepHeld             Number = 403
	PlanEnded            Number = 404
	CommandSent          Number = 405
	CommandUncertain     Number = 406
	InstanceChanged      Number = 410
	JobSubmitted         Number = 500
	JobStarting          Number = 501
	JobSettled           Number = 502
	JobParked            Number = 503
	WorkerQuarantined    Number = 504
	TaskUncertain        Number = 505
	JobYielding          Number = 506
	JobMeasured          Number = 507
	JobThrottled         Number = 508
	RequestUnknown       Number = 600
	TargetSick           Number = 601
	TargetRecovered      Number = 602
	PlatformUnreachable  Number = 700
	PlatformReachable    Number = 701
	LeadTaken            Number = 800
	LeadNotTaken         Number = 801
	LeadLost             Number = 802
	StoreUnreachable     Number = 803
	StoreReachable       Number = 804
	SettingsReloaded     Number = 805
	JobTaken             Number = 810
	JobRefused           Number = 811
	JobInDoubt           Number = 812
	JobUnanswered        Number = 813
	JobRead              Number = 814
	JobEnded             Number = 815
	TablesRead           Number = 816
	JobGivenUp           Number = 817
	CallerRefused        Number = 818
	JobWaits             Number = 819
	RunOrdered           Number = 820
	RunRefused           Number = 821
	RunUnanswered        Number = 822
	RunEnded             Number = 823
	RunAdopted           Number = 824
	StopOrdered          Number = 825
	RunMissing           Number = 826
	RunPaced             Number = 827
	RunLost              Number = 828
	TaskWaits            Number = 829
	WorkerSeen           Number = 830
	WorkerSilent         Number = 831
	WorkerLost           Number = 832
	WorkerReborn         Number = 833
	UpkeepBegun          Number = 840
	UpkeepRefused        Number = 841
	WaveChanged          Number = 842
	InstanceMoved        Number = 843
	DrainChanged         Number = 844
	PoolSized            Number = 845
	PoolShort            Number = 846
	InstancesShifted     Number = 847
	WaveHeld             Number = 848
	UpkeepPostponed      Number = 849
	ModeBegun            Number = 850
	ModeEnded            Number = 851
	TakeoverStep         Number = 852
	LeadHandedOver       Number = 853
	LinkUsed             Number = 854
	LeadDeferred         Number = 855
	ClientsLimited       Number = 857
)

// Kind is the catalogue entry of one Number.
type Kind struct {
	Number Number
	Name   string
	// Meaning describes what happened, Remedy what an operator should do about it.
	Meaning, Remedy string
}

// Catalogue returns the kinds of all events.
func Catalogue() []Kind { return kinds[:] }

const noAction = "nothing"

var kinds = [...]Kind{
	{EntryStarted, "entry-started", "The process has read its settings.", noAction},
	{EntryReady, "entry-ready", "The entry has its tables and serves callers.", noAction},
	{EntryStopping, "entry-stopping", "A planned stop has begun; the entry is no longer ready.", noAction},
	{EntryStopped, "entry-stopped", "The last request has ended and the entry has left.", noAction},
	{EntryJoined, "entry-joined", "The fold has admitted an entry; drains now wait for it.", noAction},
	{EntryGone, "entry-gone", "An entry has left, or the platform no longer lists it.", noAction},
	{MachineWoke, "machine-woke", "The machine has resumed from a suspension; the entry does not rely on earlier knowledge until it has confirmed it.", "If it happens often, check the instance's host."},
	{PeerUp, "peer-up", "A link to another entry is open.", noAction},
	{PeerDown, "peer-down", "A link to another entry has ended.", "If it stays, look at the network between the data centres."},
	{LogUnreachable, "log-unreachable", "The platform's log does not answer this entry.", "If it lasts, see docs/operations/outages.md."},
	{LogReachable, "log-reachable", "The platform's log answers again.", noAction},
	{LogTrimmed, "log-trimmed", "The log has dropped records that this entry had not read.", "Nothing; the tables come from a checkpoint or a peer."},
	{CheckpointWritten, "checkpoint-written", "This entry has written a checkpoint of the tables to the log.", noAction},
	{TablesFromPeer, "tables-from-peer", "This entry took its tables from another entry.", noAction},
	{TailFromPeer, "tail-from-peer", "This entry read records of the log from another entry.", noAction},
	{RecordRefused, "record-refused", "The fold refused a record that this entry wrote.", "Nothing, unless an operator wrote it: the answer names the remedy."},
	{ClaimsUnreadable, "claims-unreadable", "A record of the claims log could not be read.", "Upgrade this entry to the version that wrote it."},
	{ConfigurationInForce, "configuration-in-force", "A new version of the configuration is in force at this entry.", noAction},
	{PlanProposed, "plan-proposed", "A plan was made and waits for its confirmation.", "Confirm it or leave it."},
	{PlanOrdered, "plan-ordered", "An operator has confirmed, paused, resumed or cancelled a plan.", noAction},
	{StepAdvanced, "step-advanced", "A step of a plan has reached its next state.", noAction},
	{StepHeld, "step-held", "A step of a plan can't go on yet; the text says what it waits for.", "If it lasts, do what the text says."},
	{PlanEnded, "plan-ended", "A plan is done, or its cancellation is complete.", noAction},
	{CommandSent, "command-sent", "The platform was asked to reboot or stop an instance.", noAction},
	{CommandUncertain, "command-uncertain", "The platform gave no answer to a command; the entry asks again by its ID.", noAction},
	{InstanceChanged, "instance-changed", "The platform reports an instance as new, down, up or leaving.", noAction},
	{JobSubmitted, "job-submitted", "The fold has admitted a job.", noAction},
	{JobStarting, "job-starting", "A job was given to an instance.", noAction},
	{JobSettled, "job-settled", "The platform has said what became of an attempt of a job.", noAction},
	{JobParked, "job-parked", "A job failed on several sound workers and is not started again.", "Correct the job and submit it under a new ID."},
	{WorkerQuarantined, "worker-quarantined", "Several different jobs failed on an instance in a row; it gets no jobs.", "Maintain or replace the instance."},
	{TaskUncertain, "task-uncertain", "The platform gave no answer about a task; the entry asks again by its ID.", noAction},
	{JobYielding, "job-yielding", "An ordinary job is checkpointed to make room on its instance, for an urgent one or because too much is in use.", noAction},
	{JobMeasured, "job-measured", "A job uses far more or less than it declared; it is charged with what it uses.", "Declare what the text says."},
	{JobThrottled, "job-throttled", "A job is limited to some cores because its instance has no more, or the limit was lifted.", "If it lasts, declare what the job uses."},
	{RequestUnknown, "request-unknown", "A caller was told that the outcome of its request is unknown.", noAction},
	{TargetSick, "target-sick", "A target fails its requests; only single probe requests are sent to it.", "Look at the target."},
	{TargetRecovered, "target-recovered", "A failing target answers again.", noAction},
	{PlatformUnreachable, "platform-unreachable", "The instance list does not answer this entry.", "If it lasts, see docs/operations/outages.md."},
	{PlatformReachable, "platform-reachable", "The instance list answers again.", noAction},
	{LeadTaken, "lead-taken", "This entry has become the leader and schedules.", noAction},
	{LeadNotTaken, "lead-not-taken", "This entry tried to become leader, or to give up the lead, and the store did not confirm it.", noAction},
	{LeadLost, "lead-lost", "This entry is no longer the leader.", noAction},
	{StoreUnreachable, "store-unreachable", "The platform's store does not answer this entry.", "If it lasts, see docs/operations/outages.md."},
	{StoreReachable, "store-reachable", "The platform's store answers again.", noAction},
	{SettingsReloaded, "settings-reloaded", "The settings file was read again.", noAction},
	{JobTaken, "job-taken", "A client's job was written to the store and accepted.", noAction},
	{JobRefused, "job-refused", "A client's job was refused and will not run; the text says why.", "If there are many, see docs/OPERATIONS.md."},
	{JobInDoubt, "job-in-doubt", "The store gave no answer to a job or a cancel; the client was told that the outcome is unknown.", "See docs/OPERATIONS.md."},
	{JobUnanswered, "job-unanswered", "A query about a job could not be answered; the text says why.", noAction},
	{JobRead, "job-read", "The scheduling entry has read a job or a cancel from the store.", noAction},
	{JobEnded, "job-ended", "A job has reached its final state.", noAction},
	{TablesRead, "tables-read", "A new leader has read the jobs and what was kept of them from the store.", noAction},
	{CallerRefused, "caller-refused", "A call was rejected before it ran because its key is unknown, or because the entry cannot tell; the text has the version that was used, the age of the entry's latest read of the configuration, and whether a key was sent.", "Give the client one of its organisation's keys; where the look is old, see why this entry does not reach the store."},
	{JobWaits, "job-waits", "A step's tasks wait for their organisation's cap, or for capacity again; the text says what the organisation has running.", "If an organisation waits for its cap for long, raise the cap, or look at what it has running."},
	{JobGivenUp, "job-given-up", "A job has failed because workers crashed under one of its tasks; the text says how many, and whether it was the only one that can have ended the last.", "Look at what the task does, with the events 828 of its job."},
	{RunOrdered, "run-ordered", "A worker was told to start a run of a task; the text says on what grounds.", noAction},
	{RunRefused, "run-refused", "A worker refused an order; the text says why.", noAction},
	{RunUnanswered, "run-unanswered", "A worker gave no answer to an order; what it lists decides.", noAction},
	{RunEnded, "run-ended", "A worker has listed the end of a run.", noAction},
	{RunAdopted, "run-adopted", "A run of an earlier leader goes on under this one.", noAction},
	{StopOrdered, "stop-ordered", "A worker was told to stop a run; the text says why.", noAction},
	{RunMissing, "run-missing", "A worker no longer lists a run and reports no end; its task starts again.", noAction},
	{RunPaced, "run-paced", "The share of a filling run has changed because of the serving tasks on its worker.", noAction},
	{RunLost, "run-lost", "A worker's incarnation ended while a run was or may have been there; the text says how long after its order, whether a worker had accepted or listed it (`settled`, for a run of an earlier leader: whether the store says so), beside how many others, and how old the newest of them was.", "If it is the same task again and again, correct its job."},
	{TaskWaits, "task-waits", "A task that could run has waited for more than 2 s: its pool has at least twice the room that it needs, and less than half of it is in use. The text has the reason, since when, its runs so far, and how many of its queue wait for the same reason and run.", "See docs/OPERATIONS.md, 'A task waits beside free capacity'. With reason=in-no-list it is a fault of the leader: report it, and restart the leading entry."},
	{WorkerSeen, "worker-seen", "A worker is listed, its reported properties have changed, or it has not listed all ends yet.", noAction},
	{WorkerSilent, "worker-silent", "A worker does not answer this entry, or answers again.", noAction},
	{WorkerLost, "worker-lost", "A worker's incarnation has ended, or all its leases have expired; its tasks start elsewhere.", noAction},
	{WorkerReborn, "worker-reborn", "A worker has restarted under the same ID: its answers carry another boot ID.", "If it happens often, see why the worker crashes."},
	{UpkeepBegun, "upkeep-begun", "A worker's instance was taken down for its upkeep.", noAction},
	{UpkeepRefused, "upkeep-refused", "The machine interface refused an upkeep or a move, or gave no answer.", noAction},
	{WaveChanged, "wave-changed", "A wave of upkeep was read, or its state was written.", noAction},
	{InstanceMoved, "instance-moved", "An instance was moved to another pool.", noAction},
	{PoolSized, "pool-sized", "What a pool wants and keeps has changed; the text has the load that decided it, in instances.", noAction},
	{PoolShort, "pool-short", "The pools together want more instances than there are: what this one wants, is granted and has, and how much of it serves lasting tasks and work that can be in time. state=ended tells the end for all pools.", "If it is often, add instances; see docs/OPERATIONS.md."},
	{InstancesShifted, "instances-shifted", "During a shortage, instances were moved to the pool where they yield more; gain and loss are what the last of them yields there and would yield here, in seconds at work on mean jobs.", noAction},
	{WaveHeld, "wave-held", "A wave of upkeep has begun or ended to leave instances at work that a burst of load needs; the text says which pools need them, how long they can wait at most, and why the wait ended.", noAction},
	{UpkeepPostponed, "upkeep-postponed", "A wave has given an instance back that it could not empty or maintain, so that it gets work again; the text says why. The wave takes it again when it can be emptied.", "If the wave doesn't end, its lasting tasks have no other place: add instances, or let more of the tasks be away."},
	{DrainChanged, "drain-changed", "A data centre was drained, so that its instances get no work, or its drain was ended; the text says what remains there and what delays it.", "If it does not become empty, see docs/operations/maintenance.md."},
	{ModeBegun, "mode-begun", "The leader has begun to work in a degraded mode; the text names it and why.", "If it lasts, see docs/OPERATIONS.md."},
	{ModeEnded, "mode-ended", "The leader has left a degraded mode; the text says how long it lasted and why it ended.", noAction},
	{TakeoverStep, "takeover-step", "A new leader has reached a step of the takeover; the text has the time since its term began.", noAction},
	{LeadHandedOver, "lead-handed-over", "A leader gives up the lead to another entry, because it is short of processor or the other one is fitter; the text says which and has both capacities.", "If it is often, look at the entry's limits; see docs/OPERATIONS.md."},
	{LinkUsed, "link-used", "The bandwidth of this entry's link that its calls to the platform and to workers used, by kind of call.", "If the share stays over 0.7, give the entry a wider link, or the lead to one that has it."},
	{LeadDeferred, "lead-deferred", "The leadership is vacant and this entry leaves it to fitter ones for a moment; the text has its fitness and for how long.", noAction},
	{ClientsLimited, "clients-limited", "Clients' connections were closed or their bodies refused because of the limits; the text says how many by cause since the last such event, and what is open. At most one in ten seconds.", "See docs/OPERATIONS.md."},
}

// Name returns the event's name, or its decimal number when it is not in the catalogue.
func (n Number) Name() string {
	for i := range kinds {
		if kinds[i].Number == n {
			return kinds[i].Name
		}
	}
	return fmt.Sprint(int(n))
}

// Markdown renders the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery event has a number that never changes its meaning. This page is made from the table in package `event`;\n")
	b.WriteString("`go run ./cmd/rackstep events > docs/EVENTS.md` writes it and a test compares it.\n\n")
	b.WriteString("| number | name | what happened | what to do |\n|---|---|---|---|\n")
	for _, k := range kinds {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", k.Number, k.Name, k.Meaning, k.Remedy)
	}
	return b.String()
}
