package dispatcher

import (
	"time"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/discoverer"
	"sesamedrift.example/sesamedrift/evacuator"
	"sesamedrift.example/sesamedrift/leaseholder"
	"sesamedrift.example/sesamedrift/placer"
	"sesamedrift.example/sesamedrift/poller"
	"sesamedrift.example/sesamedrift/tracker"
)

// Kinds of messages between entry hosts. The numbers are part of the protocol and are never
// reused.
const (
	kindSnapshot         courier.Kind = 1
	kindJoin             courier.Kind = 2
	kindAssignment       courier.Kind = 3
	kindPlacementRequest courier.Kind = 4
	kindCancelPlacement  courier.Kind = 5
	kindReleasedPlace    courier.Kind = 6
	kindPlacement        courier.Kind = 7
	kindRefused          courier.Kind = 8
	kindStartRuns        courier.Kind = 9
	kindStopRun          courier.Kind = 10
	kindWatchRun         courier.Kind = 11
	kindRunEnded         courier.Kind = 12
	kindUpstreamStatus   courier.Kind = 13
	kindFreed            courier.Kind = 14
	kindEligibility      courier.Kind = 15
	kindFreeCapacity     courier.Kind = 16
	kindForwardRequest   courier.Kind = 17
	kindForwardedJob     courier.Kind = 18
	kindForwardResult    courier.Kind = 19
	kindCancelForward    courier.Kind = 20
	kindProgress         courier.Kind = 21
	kindSuperseded       courier.Kind = 22
	kindAnnouncement     courier.Kind = 23
	kindSnapshotRequest  courier.Kind = 24
	kindLostHosts        courier.Kind = 25
	kindStatusRequest    courier.Kind = 26
	kindRedirect         courier.Kind = 27
	kindRedirectedJobs   courier.Kind = 28
	kindTenureCheck      courier.Kind = 29
	kindTenureAnswer     courier.Kind = 30
	kindClaimRequest     courier.Kind = 31
	kindClaimAnswer      courier.Kind = 32
	kindEvacuations      courier.Kind = 33
	kindResultRequest    courier.Kind = 34
	kindRecoveredResult  courier.Kind = 35
	kindForwardedJobs    courier.Kind = 36
)

// snapshot carries the hosts and upstreams that concern the domain to a host that has just started.
type snapshot struct {
	Hosts     []discoverer.Host     `msgpack:"hosts"`
	Upstreams []discoverer.Upstream `msgpack:"upstreams"`
	// Document is set by hosts of earlier releases only, which send a snapshot at the start of each
	// session.
	Document poller.Document `msgpack:"document"`
}

// announcement carries the report of the sender about itself, the version of its document and the
// evacuations that it knows to a peer at the start of a session. The peer may not be able to reach a control
// host.
type announcement struct {
	Self            discoverer.Host `msgpack:"self"`
	DocumentVersion uint64          `msgpack:"document-version"`
	// Evacuations is left out by hosts of earlier releases.
	Evacuations evacuations `msgpack:"evacuations,omitempty"`
}

// evacuations notifies the other hosts of the domain of a newer state of evacuations, or that the sender
// knows the state.
type evacuations struct {
	State evacuator.State `msgpack:"state"`
	// Known is set if a control host that knows the state has told the sender, directly or over other hosts.
	Known bool `msgpack:"known,omitempty"`
}

// snapshotRequest asks a peer for a snapshot, because the sender has not reached a control host yet.
type snapshotRequest struct{}

// join notifies a host that the sender regards it as the leader; the reply is the assignment.
type join struct {
	// Leaseholders and Number are those of the assignment of the sender, if it was the leader until now.
	Leaseholders map[string]string `msgpack:"keepers,omitempty"`
	Number       uint64            `msgpack:"number,omitempty"`
}

// assignment divides the upstreams of a domain into shards. The leader sends it to all other hosts.
type assignment struct {
	// Number grows with each assignment, also with the first one of a new leader, which follows the last one
	// that it has received.
	Number uint64 `msgpack:"number"`
	// Leaseholders maps each upstream to the address of its leaseholder.
	Leaseholders map[string]string `msgpack:"keepers"`
	// Placers holds the address of the placer of each shard. Hosts of earlier releases leave it out:
	// the sender then is the only placer.
	Placers []string `msgpack:"placers,omitempty"`
	// Shards maps each upstream to the index of its shard.
	Shards map[string]int `msgpack:"shards,omitempty"`
}

// placementRequest asks the placer to place all waiting tasks of a job. It replaces the previous
// request for the job.
type placementRequest struct {
	Job      string        `msgpack:"job"`
	Queue    string        `msgpack:"queue"`
	Service  string        `msgpack:"service"`
	Priority int           `msgpack:"priority"`
	Slack    float64       `msgpack:"slack"`
	Target   time.Duration `msgpack:"target"`
	// Age is the time since the job arrived, Remaining the time until its deadline.
	Age       time.Duration `msgpack:"age"`
	Remaining time.Duration `msgpack:"left"`
	// LaterEstimate is the estimated time of the steps that follow the waiting tasks.
	LaterEstimate time.Duration `msgpack:"rest,omitempty"`
	// Started is set if tasks of the job may run or have run, Forwarded if the job comes from
	// another domain or was redirected by another placer.
	Started   bool `msgpack:"begun,omitempty"`
	Forwarded bool `msgpack:"passed-on,omitempty"`
	// RedirectedBy is the address of the placer that has redirected the job, or empty.
	RedirectedBy string `msgpack:"redirected-by,omitempty"`
	// Preferred is the address of the placer that another domain has chosen for the job. Empty if that is the placer of
	// the home shard, and from hosts of earlier releases.
	Preferred string `msgpack:"preferred,omitempty"`
	// Recovered is the number of the last forward of the job if that was lost and the other domain has answered that
	// no task of it has started. Hosts of earlier releases leave it out.
	Recovered uint64          `msgpack:"recovered,omitempty"`
	Tasks     []requestedTask `msgpack:"tasks"`
}

// requestedTask is a placer.Task on the wire. Its fields must equal those of placer.Task.
type requestedTask struct {
	Run            sesamedrift.Run       `msgpack:"run"`
	Demand         sesamedrift.Resources `msgpack:"demand"`
	Estimate       time.Duration         `msgpack:"estimate"`
	Requires       string                `msgpack:"requires,omitempty"`
	Rack           string                `msgpack:"rack,omitempty"`
	MaxPerUpstream int                   `msgpack:"per-upstream,omitempty"`
	Avoid          string                `msgpack:"avoid,omitempty"`
}

// cancelPlacement withdraws the placement request for a job.
type cancelPlacement struct {
	Job string `msgpack:"job"`
}

// releasedPlace notifies the placer that a placement will not be used.
type releasedPlace struct {
	Upstream string          `msgpack:"upstream"`
	Run      sesamedrift.Run `msgpack:"run"`
}

// placement notifies the entry host of the upstreams on which tasks of a job are placed.
type placement struct {
	Job    string      `msgpack:"job"`
	Places []placedRun `msgpack:"places"`
	// Waited is how long the job has waited, Remaining the number of its tasks that still wait.
	Waited    time.Duration `msgpack:"waited,omitempty"`
	Remaining int           `msgpack:"left,omitempty"`
	// PlanError is the time from the start of the job to its planned start; nil if it was not planned, and from hosts of
	// earlier releases.
	PlanError *time.Duration `msgpack:"plan-error,omitempty"`
	// Number is that of the assignment that the leaseholders are taken from. Hosts of earlier releases leave it out.
	Number uint64 `msgpack:"number,omitempty"`
}

type placedRun struct {
	Run         sesamedrift.Run `msgpack:"run"`
	Upstream    string          `msgpack:"upstream"`
	Leaseholder string          `msgpack:"keeper"`
}

// refused notifies the entry host that the waiting tasks of a job are not placed.
type refused struct {
	Job        string        `msgpack:"job"`
	Reason     string        `msgpack:"reason"`
	RetryAfter time.Duration `msgpack:"retry-after"`
}

// startRuns asks a leaseholder to start runs of one job, which share their content.
type startRuns struct {
	Content string       `msgpack:"content"`
	Runs    []startedRun `msgpack:"runs"`
	// Number is that of the placement.
	Number uint64 `msgpack:"number,omitempty"`
}

type startedRun struct {
	Upstream string                `msgpack:"upstream"`
	Run      sesamedrift.Run       `msgpack:"run"`
	Demand   sesamedrift.Resources `msgpack:"demand"`
}

// stopRun asks a leaseholder to stop a run.
type stopRun struct {
	Upstream string          `msgpack:"upstream"`
	Run      sesamedrift.Run `msgpack:"run"`
	// Relayed is set by a host that has lost the lease of the upstream and passes the request on.
	Relayed bool `msgpack:"relayed,omitempty"`
}

// watchRun asks a new leaseholder to report the end of a run that the previous one has started.
type watchRun struct {
	Run startedRun `msgpack:"of"`
}

// runEnded notifies the entry host how a run has ended.
type runEnded struct {
	Upstream string                `msgpack:"upstream"`
	Run      sesamedrift.Run       `msgpack:"run"`
	Result   leaseholder.RunResult `msgpack:"how"`
	Reason   leaseholder.Reason    `msgpack:"reason,omitempty"`
}

// upstreamStatus notifies the placer whether an upstream is ready and which runs are active there.
type upstreamStatus struct {
	Upstream string             `msgpack:"upstream"`
	Ready    bool               `msgpack:"ready"`
	Running  []leaseholder.Task `msgpack:"running"`
	// Acquiring is set until the upstream has listed its runs to the leaseholder: there may be others than Running.
	// Hosts of earlier releases never set it.
	Acquiring bool `msgpack:"acquiring,omitempty"`
}

// freed notifies the placer that a run has ended.
type freed struct {
	Upstream string                `msgpack:"upstream"`
	Run      sesamedrift.Run       `msgpack:"run"`
	Result   leaseholder.RunResult `msgpack:"how"`
	Reason   leaseholder.Reason    `msgpack:"reason,omitempty"`
	Duration time.Duration         `msgpack:"took"`
}

// freeCapacity notifies the placer of another domain of the free capacity in this one.
type freeCapacity struct {
	Domain       string              `msgpack:"domain"`
	FreeCapacity placer.FreeCapacity `msgpack:"room"`
}

// forwardRequest asks the entry host to forward a job to another domain.
type forwardRequest struct {
	Job    string `msgpack:"job"`
	Domain string `msgpack:"domain"`
	// To is the address of a placer there that has free capacity.
	To string `msgpack:"to,omitempty"`
}

// redirect asks the entry host to send its placement request to the placer of another shard.
type redirect struct {
	Job string `msgpack:"job"`
	To  string `msgpack:"to"`
}

// redirectedJobs tells a placer which jobs whose home shard is its own are placed by the sender.
type redirectedJobs struct {
	Jobs []string `msgpack:"jobs"`
}

// forwardedJobs tells a placer which jobs, whose home shard is its own, the sender has had forwarded to another domain.
type forwardedJobs struct {
	Jobs []string `msgpack:"jobs"`
}

// statusRequest asks for the status of held upstreams of the sender's shard. Without identifiers, the
// sender has become the placer: it asks for the status of all of them, and for the placement requests
// and the forwards that it may not know of.
type statusRequest struct {
	Upstreams []string `msgpack:"upstreams,omitempty"`
}

// forwardedJob carries a whole job to the placer of the entry host's domain, which relays it to the
// placer of Domain.
type forwardedJob struct {
	Domain string `msgpack:"domain"`
	To     string `msgpack:"to,omitempty"`
	ID     string `msgpack:"id"`
	// Forward is the number of this forward. Hosts of earlier releases leave it out.
	Forward   uint64         `msgpack:"forward,omitempty"`
	Queue     string         `msgpack:"queue"`
	Service   string         `msgpack:"service"`
	Priority  int            `msgpack:"priority"`
	Attempts  int            `msgpack:"attempts"`
	Slack     float64        `msgpack:"slack"`
	Target    time.Duration  `msgpack:"target"`
	Content   string         `msgpack:"content"`
	Steps     []tracker.Step `msgpack:"steps"`
	Age       time.Duration  `msgpack:"age"`
	Remaining time.Duration  `msgpack:"left"`
}

// forwardResult carries the result of a forwarded job back to its entry host, by the same relay.
type forwardResult struct {
	Job        string          `msgpack:"job"`
	Outcome    tracker.Outcome `msgpack:"outcome"`
	Reason     string          `msgpack:"reason"`
	RetryAfter time.Duration   `msgpack:"retry-after"`
}

// resultRequest asks the other domain for the end of a job that was forwarded to it over a session that has ended.
type resultRequest struct {
	Job     string `msgpack:"job"`
	Forward uint64 `msgpack:"forward"`
	Domain  string `msgpack:"domain"`
	// Entry is the address of the entry host, which the placer of its domain fills in.
	Entry string `msgpack:"entry,omitempty"`
}

// recoveredResult answers a resultRequest, by the same relay. The outcome is Abandoned if the job was dropped before
// any of its tasks has started.
type recoveredResult struct {
	Job        string          `msgpack:"job"`
	Forward    uint64          `msgpack:"forward"`
	Entry      string          `msgpack:"entry"`
	Outcome    tracker.Outcome `msgpack:"outcome"`
	Reason     string          `msgpack:"reason"`
	RetryAfter time.Duration   `msgpack:"retry-after"`
}

// cancelForward cancels a forwarded job for which no caller waits any more.
type cancelForward struct {
	Job string `msgpack:"job"`
}

// progress reports the progress of active runs to the placer.
type progress struct {
	Runs []runProgress `msgpack:"runs"`
}

type runProgress struct {
	Upstream string          `msgpack:"upstream"`
	Run      sesamedrift.Run `msgpack:"run"`
	Percent  int             `msgpack:"percent"`
	// RunTime is how long the run had been active when Percent was measured.
	RunTime time.Duration `msgpack:"ran"`
}

// superseded notifies an entry host that the caller has resent its job to another one.
type superseded struct {
	Job string `msgpack:"job"`
}

// eligibility notifies the other hosts of the domain whether the sender may be leader or placer and hold
// upstreams. A host that drains or is too slow may not, but still serves its callers' jobs.
type eligibility struct {
	Eligible bool `msgpack:"takes-part"`
}

// lostHosts tells the hosts of a domain which ones the leader has lost. They end their sessions with
// processes up to the given incarnations.
type lostHosts struct {
	Hosts []lostHost `msgpack:"hosts"`
}

type lostHost struct {
	Address     string `msgpack:"address"`
	Incarnation uint64 `msgpack:"life"`
}

// tenureCheck asks the leader, or a host that follows the sender, which leader it follows. Hosts of earlier
// releases do not answer.
type tenureCheck struct {
	Number uint64 `msgpack:"number"`
}

// tenureAnswer answers a tenureCheck. All assignments that the sender knew of come before it.
type tenureAnswer struct {
	Number uint64 `msgpack:"number"`
	Leader string `msgpack:"leader"`
}

// claimRequest asks an entry host to claim its runs among those that a new leaseholder has found, with a watchRun
// each, and to answer then. Hosts of earlier releases do not answer.
type claimRequest struct {
	Number uint64     `msgpack:"number"`
	Runs   []foundRun `msgpack:"runs"`
}

type foundRun struct {
	Upstream string          `msgpack:"upstream"`
	Run      sesamedrift.Run `msgpack:"run"`
}

// claimAnswer answers a claimRequest, after the watchRun messages for the claimed runs.
type claimAnswer struct {
	Number uint64 `msgpack:"number"`
}
