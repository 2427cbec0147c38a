package reporter

import "log/slog"

// Events 1xxx: start, stop, settings and connections of a host process.
var (
	HostStarted = Event{
		ID:          1001,
		Name:        "host-started",
		Level:       slog.LevelInfo,
		Description: "The host listens on its addresses.",
	}
	HostReady = Event{
		ID:          1002,
		Name:        "host-ready",
		Level:       slog.LevelInfo,
		Description: "The host has a view and a configuration, and accepts requests.",
	}
	HostStopping = Event{
		ID:          1003,
		Name:        "host-stopping",
		Level:       slog.LevelInfo,
		Description: "A planned stop has begun: the host reports that it is not ready and finishes the requests in flight.",
	}
	HostStopped = Event{
		ID:          1004,
		Name:        "host-stopped",
		Level:       slog.LevelInfo,
		Description: "The planned stop is complete.",
	}
	SettingsReloaded = Event{
		ID:          1005,
		Name:        "settings-reloaded",
		Level:       slog.LevelInfo,
		Description: "The settings file was read again on SIGHUP; the attributes hold the new values.",
	}
	SettingsRejected = Event{
		ID:          1006,
		Name:        "settings-rejected",
		Level:       slog.LevelError,
		Description: "The settings file that was read on SIGHUP is not valid; the previous settings stay in use. Correct the file and send SIGHUP again.",
	}
	ListenerFailed = Event{
		ID:          1007,
		Name:        "listener-failed",
		Level:       slog.LevelError,
		Description: "The host does not serve an address any more. Restart the host.",
	}
	LinesLeftOut = Event{
		ID:          1008,
		Name:        "lines-left-out",
		Level:       slog.LevelWarn,
		Description: "Log lines were dropped since the last event of this kind, either because one event was logged too often in a second or because lines came faster than the output accepts them. The attributes hold the event (0 for the second case) and the number of dropped lines.",
	}
	ConnectionClosed = Event{
		ID:          1009,
		Name:        "connection-closed",
		Level:       slog.LevelWarn,
		Description: "The connections to an address reached their limit; the one that had been idle for longest was closed, or the new one if none was idle.",
	}
	HostResumed = Event{
		ID:          1010,
		Name:        "host-resumed",
		Level:       slog.LevelWarn,
		Description: "The process has not run for the given time, because it or its machine was suspended or got no processor time. It lets its sessions begin again before it concludes anything from the silence of other hosts.",
	}
	LoopBlocked = Event{
		ID:          1011,
		Name:        "loop-blocked",
		Level:       slog.LevelError,
		Description: "The loop, which makes all decisions of an entry host, has not finished a step for the given time; the attributes hold the number of waiting steps and the call stack. Meanwhile the host answers no caller. Keep the event for the developers, and kill the host if it does not recover.",
	}
)

// Events 2xxx: membership, leases and sessions between hosts.
var (
	ViewInstalled = Event{
		ID:          2001,
		Name:        "view-installed",
		Level:       slog.LevelInfo,
		Description: "This host has installed a new view, the list of the hosts that are members of its failure domain.",
	}
	ViewProposalFailed = Event{
		ID:          2002,
		Name:        "view-proposal-failed",
		Level:       slog.LevelWarn,
		Description: "A view change could not be recorded in the registers. If the event repeats, check the hosts that are replicas.",
	}
	LeaseLost = Event{
		ID:          2003,
		Name:        "lease-lost",
		Level:       slog.LevelWarn,
		Description: "No majority of the view acknowledges the heartbeats of this host; it starts no work until one does.",
	}
	LeaseHeld = Event{
		ID:          2004,
		Name:        "lease-held",
		Level:       slog.LevelInfo,
		Description: "A majority of the view acknowledges the heartbeats of this host.",
	}
	HorizonRaised = Event{
		ID:          2005,
		Name:        "horizon-raised",
		Level:       slog.LevelWarn,
		Description: "Claims of the previous view may be lost, so the horizon was raised: a submission whose key was created before it and has no recorded outcome is answered `unknown`.",
	}
	PlacerChosen = Event{
		ID:          2006,
		Name:        "placer-chosen",
		Level:       slog.LevelInfo,
		Description: "The placers, each of which decides on which upstreams of its shard tasks run, have changed; the attributes hold their addresses, in the order of the shards.",
	}
	SessionBegun = Event{
		ID:          2007,
		Name:        "session-begun",
		Level:       slog.LevelInfo,
		Description: "A session with another host of the failure domain has begun, in which the two hosts exchange messages.",
	}
	SessionEnded = Event{
		ID:          2008,
		Name:        "session-ended",
		Level:       slog.LevelWarn,
		Description: "The session with another host of the failure domain has ended, because that host does not respond, has restarted or was disconnected. Pending requests to it are no longer valid.",
	}
	StandingChanged = Event{
		ID:          2009,
		Name:        "standing-changed",
		Level:       slog.LevelWarn,
		Description: "This host has become eligible or ineligible to place tasks and to hold the leases of upstreams. It is ineligible while its machine is slow.",
	}
	HostChanged = Event{
		ID:          2010,
		Name:        "host-changed",
		Level:       slog.LevelInfo,
		Description: "A control host has received a newer report of another host about itself.",
	}
	ControlContact = Event{
		ID:          2011,
		Name:        "control-contact",
		Level:       slog.LevelInfo,
		Description: "A control host has started or stopped responding to this host.",
	}
	CutOff = Event{
		ID:          2012,
		Name:        "cut-off",
		Level:       slog.LevelWarn,
		Description: "Other hosts have acquired the leases of upstreams of this host while it could reach neither them nor a control host. Its jobs on these upstreams end as `lost`.",
	}
	LeaderChosen = Event{
		ID:          2013,
		Name:        "leader-chosen",
		Level:       slog.LevelInfo,
		Description: "The leader of the failure domain, which chooses the placers and the leaseholders of its upstreams, has changed; the attributes hold its address and those of all members.",
	}
)

// Events 3xxx: environment documents.
var (
	ConfigurationInForce = Event{
		ID:          3001,
		Name:        "configuration-in-force",
		Level:       slog.LevelInfo,
		Description: "A newer version of the environment document is active on this host.",
	}
	ConfigurationRejected = Event{
		ID:          3002,
		Name:        "configuration-rejected",
		Level:       slog.LevelError,
		Description: "A stored document cannot be read by this version of the program; the previous document stays active.",
	}
	ConfigurationChanged = Event{
		ID:          3003,
		Name:        "configuration-changed",
		Level:       slog.LevelInfo,
		Description: "An operator's change of the document was processed; the attributes hold the operator, the version and the result.",
	}
	DocumentRejected = Event{
		ID:          3004,
		Name:        "document-rejected",
		Level:       slog.LevelWarn,
		Description: "An operator's document is not valid and was not stored; the attributes hold the reason.",
	}
	DocumentFetchFailed = Event{
		ID:          3005,
		Name:        "document-fetch-failed",
		Level:       slog.LevelWarn,
		Description: "A newer document could not be fetched from the host named in the attributes; the next host that has it is asked.",
	}
	EvacuationBegun = Event{
		ID:          3006,
		Name:        "evacuation-begun",
		Level:       slog.LevelInfo,
		Description: "A majority of the replicas has stored an operator's order to start no further task in a failure domain; the attributes hold the operator, the domain and the version.",
	}
	EvacuationFinished = Event{
		ID:          3007,
		Name:        "evacuation-finished",
		Level:       slog.LevelInfo,
		Description: "A majority of the replicas has stored an operator's order to take a failure domain back into service; the attributes hold the operator, the domain and the version.",
	}
	EvacuationNotStored = Event{
		ID:          3008,
		Name:        "evacuation-not-stored",
		Level:       slog.LevelError,
		Description: "An order to begin or finish an evacuation was not acknowledged: the domain is not known, or the stored evacuations are unreadable, or a majority of the replicas did not answer. In the last case it may be in force; send it again.",
	}
	EvacuationsLearned = Event{
		ID:          3009,
		Name:        "evacuations-learned",
		Level:       slog.LevelInfo,
		Description: "The host knows the evacuated failure domains since its start; a control host also since its replica votes again. On a control host, an error says that no majority of the replicas answered, so that the stored state counts.",
	}
	EvacuationsInForce = Event{
		ID:          3010,
		Name:        "evacuations-in-force",
		Level:       slog.LevelInfo,
		Description: "The host has applied a newer state of the evacuated failure domains; the attributes hold the version, the domains and whether that of the host is one of them.",
	}
	EvacuationsUnreadable = Event{
		ID:          3011,
		Name:        "evacuations-unreadable",
		Level:       slog.LevelError,
		Description: "The stored evacuations cannot be read. The host keeps the newest state that it was able to read; a host that has read none starts no task where evacuations are in use. Orders are refused and change nothing. Check whether a host of another release has stored them, and the disks of the replicas.",
	}
)

// Events 4xxx: claims of request keys.
var (
	OutcomeNotRecorded = Event{
		ID:          4002,
		Name:        "outcome-not-recorded",
		Level:       slog.LevelWarn,
		Description: "The outcome of a job could not be recorded on a majority of the hosts; a resubmission may be answered `unknown`.",
	}
)

// Events 5xxx: upstreams.
var (
	UpstreamAnnounced = Event{
		ID:          5001,
		Name:        "upstream-announced",
		Level:       slog.LevelInfo,
		Description: "An upstream is new, has restarted or has changed its state.",
	}
	UpstreamExpired = Event{
		ID:          5002,
		Name:        "upstream-expired",
		Level:       slog.LevelWarn,
		Description: "An upstream was not announced again within its time to live.",
	}
	UpstreamEjected = Event{
		ID:          5003,
		Name:        "upstream-ejected",
		Level:       slog.LevelWarn,
		Description: "An upstream fails tasks that succeed on others and is ejected; it receives single probe tasks until they succeed.",
	}
	UpstreamLost = Event{
		ID:          5004,
		Name:        "upstream-lost",
		Level:       slog.LevelWarn,
		Description: "The connection to an upstream broke while a task ran there; the task may have run.",
	}
	AnnouncementRejected = Event{
		ID:          5005,
		Name:        "announcement-rejected",
		Level:       slog.LevelWarn,
		Description: "Logged by an executor: a host rejects its announcements for the given reason. Logged again when the reason changes.",
	}
	AnnouncementAccepted = Event{
		ID:          5006,
		Name:        "announcement-accepted",
		Level:       slog.LevelInfo,
		Description: "Logged by an executor: a host accepts its announcements again.",
	}
	UpstreamTaken = Event{
		ID:          5007,
		Name:        "upstream-taken",
		Level:       slog.LevelInfo,
		Description: "This host starts to hold the lease of an upstream, with the given fencing token.",
	}
	UpstreamReady = Event{
		ID:          5008,
		Name:        "upstream-ready",
		Level:       slog.LevelInfo,
		Description: "The upstream responds to the host that holds its lease; the attributes hold the number of its runs.",
	}
	UpstreamSilent = Event{
		ID:          5009,
		Name:        "upstream-silent",
		Level:       slog.LevelWarn,
		Description: "The upstream does not respond to the host that holds its lease; no task is placed there. Its runs count as ended once their lease has expired with certainty.",
	}
	UpstreamOvertaken = Event{
		ID:          5010,
		Name:        "upstream-overtaken",
		Level:       slog.LevelWarn,
		Description: "Another host holds the lease of the upstream with a higher fencing token.",
	}
	UpstreamReplaced = Event{
		ID:          5011,
		Name:        "upstream-replaced",
		Level:       slog.LevelInfo,
		Description: "Another upstream has the address of this one; its runs have ended.",
	}
	ReportRejected = Event{
		ID:          5012,
		Name:        "report-rejected",
		Level:       slog.LevelWarn,
		Description: "A report of an upstream is not valid; the attributes hold the reason.",
	}
	OrderUnreadable = Event{
		ID:          5013,
		Name:        "order-unreadable",
		Level:       slog.LevelWarn,
		Description: "An upstream cannot read an order of this host, or this host cannot send the order or read the answer.",
	}
	UpstreamRests = Event{
		ID:          5014,
		Name:        "upstream-rests",
		Level:       slog.LevelInfo,
		Description: "The placer has ejected an upstream because of failures, stalls or rejections; it places no tasks there for the given time.",
	}
	LeaseExpiryChecked = Event{
		ID:          5015,
		Name:        "lease-expiry-checked",
		Level:       slog.LevelInfo,
		Description: "The lease of an unresponsive upstream has reached its end. Its runs count as ended once the leader, or on the leader all hosts of the failure domain, have confirmed that no other host has renewed it. If `lease-expired` does not follow, look for a host that does not respond or that has another leader.",
	}
	LeaseExpired = Event{
		ID:          5016,
		Name:        "lease-expired",
		Level:       slog.LevelWarn,
		Description: "The runs of an unresponsive upstream count as ended, because their lease has certainly expired; the attributes hold their number and the time in which certainly no other host held the upstream.",
	}
	OrphansStopped = Event{
		ID:          5017,
		Name:        "orphans-stopped",
		Level:       slog.LevelInfo,
		Description: "This host has found runs of a previous leaseholder that all hosts of the failure domain have disclaimed, because their entry host is lost, and stops them.",
	}
	UpstreamRestarted = Event{
		ID:          5018,
		Name:        "upstream-restarted",
		Level:       slog.LevelInfo,
		Description: "The upstream has a new incarnation. The runs that the previous one has listed have ended; the new one is asked for the others, whose number is in the attributes.",
	}
	ReportsNotStored = Event{
		ID:          5019,
		Name:        "reports-not-stored",
		Level:       slog.LevelWarn,
		Description: "The control host cannot store the reports of upstreams on its disk. After a loss of all hosts, entry hosts find upstreams only as these report again. Check the disk.",
	}
	ReportsNotRead = Event{
		ID:          5020,
		Name:        "reports-not-read",
		Level:       slog.LevelWarn,
		Description: "The control host cannot read the stored reports of upstreams, because the read has failed or the file is damaged; the attributes hold the path and the error. It continues without them, and the next report of an upstream replaces the file. Check the disk.",
	}
	StopRefused = Event{
		ID:          5021,
		Name:        "stop-refused",
		Level:       slog.LevelWarn,
		Description: "An upstream has refused the order to stop a run; the attributes hold the run and the reason. The run may be active or may still start.",
	}
	TaskNotStopped = Event{
		ID:          5022,
		Name:        "task-not-stopped",
		Level:       slog.LevelWarn,
		Description: "An upstream has not confirmed a request to stop a task; the attributes hold the task and the error. The task keeps its slot, and the request is repeated, until the upstream confirms it or the lease of the task has ended.",
	}
)

// Events 6xxx: connections and messages between hosts.
var (
	PeerRejected = Event{
		ID:          6001,
		Name:        "peer-rejected",
		Level:       slog.LevelWarn,
		Description: "A connection to the peer address was closed because its hello frame was wrong or a frame was malformed.",
	}
	MessageRejected = Event{
		ID:          6002,
		Name:        "message-rejected",
		Level:       slog.LevelWarn,
		Description: "A message of another host cannot be read and was dropped. Check that all hosts run compatible versions.",
	}
)

// Events 7xxx: the journal and the replicas of the registers.
var (
	JournalTornTail = Event{
		ID:          7001,
		Name:        "journal-torn-tail",
		Level:       slog.LevelWarn,
		Description: "An incomplete last record, such as a power failure leaves, was cut off when the journal was opened.",
	}
	JournalDamaged = Event{
		ID:          7002,
		Name:        "journal-damaged",
		Level:       slog.LevelError,
		Description: "The journal is corrupt; the replica does not vote until it is repaired from a majority.",
	}
	JournalFailed = Event{
		ID:          7003,
		Name:        "journal-failed",
		Level:       slog.LevelError,
		Description: "A write or sync of the journal failed; the replica does not vote until the journal can be opened and written again. If that does not happen, replace the disk.",
	}
	ReplicaRepaired = Event{
		ID:          7004,
		Name:        "replica-repaired",
		Level:       slog.LevelInfo,
		Description: "The replica has copied the state of a majority and votes again.",
	}
	JournalReopened = Event{
		ID:          7005,
		Name:        "journal-reopened",
		Level:       slog.LevelInfo,
		Description: "The journal was opened again after a failure and its state was stored in a new file; the replica votes again.",
	}
	ReplicasChanged = Event{
		ID:          7006,
		Name:        "replicas-changed",
		Level:       slog.LevelInfo,
		Description: "This host has proposed to add or remove a replica; the attributes hold the previous and the proposed set, the reason and the outcome.",
	}
)

// Events 8xxx: jobs and runs.
var (
	JobPlaced = Event{
		ID:          8001,
		Name:        "job-placed",
		Level:       slog.LevelInfo,
		Description: "The entry host has received the placement of tasks of a job; the attributes hold the placer, the upstreams, how long the job has waited and, if it had to wait, how much earlier it has started than planned.",
	}
	JobRefused = Event{
		ID:          8002,
		Name:        "job-refused",
		Level:       slog.LevelInfo,
		Description: "The placer has refused a job; the attributes hold the reason and the prediction on which the decision is based.",
	}
	JobPassedOn = Event{
		ID:          8003,
		Name:        "job-passed-on",
		Level:       slog.LevelInfo,
		Description: "The placer forwards a job to a failure domain with more free capacity.",
	}
	JobSuperseded = Event{
		ID:          8004,
		Name:        "job-superseded",
		Level:       slog.LevelInfo,
		Description: "The caller has sent the job again to another host, which handles it from now on.",
	}
	RunMoved = Event{
		ID:          8005,
		Name:        "run-moved",
		Level:       slog.LevelInfo,
		Description: "The placer reschedules a run that has stalled or is slow: it stops the run and places the task elsewhere.",
	}
	RunEndedBadly = Event{
		ID:          8006,
		Name:        "run-ended-badly",
		Level:       slog.LevelInfo,
		Description: "A run has ended without success; the attributes hold the result, the reason and the upstream.",
	}
	JobEnded = Event{
		ID:          8007,
		Name:        "job-ended",
		Level:       slog.LevelInfo,
		Description: "A job was answered; the attributes hold the outcome, the elapsed time and the number of runs.",
	}
	JobRejected = Event{
		ID:          8008,
		Name:        "job-rejected",
		Level:       slog.LevelWarn,
		Description: "A request was rejected because it is not a job that this host accepts; nothing was run.",
	}
)

// catalogue holds all events in the order of their numbers.
var catalogue = []Event{
	HostStarted,
	HostReady,
	HostStopping,
	HostStopped,
	SettingsReloaded,
	SettingsRejected,
	ListenerFailed,
	LinesLeftOut,
	ConnectionClosed,
	HostResumed,
	LoopBlocked,
	ViewInstalled,
	ViewProposalFailed,
	LeaseLost,
	LeaseHeld,
	HorizonRaised,
	PlacerChosen,
	SessionBegun,
	SessionEnded,
	StandingChanged,
	HostChanged,
	ControlContact,
	CutOff,
	LeaderChosen,
	ConfigurationInForce,
	ConfigurationRejected,
	ConfigurationChanged,
	DocumentRejected,
	DocumentFetchFailed,
	EvacuationBegun,
	EvacuationFinished,
	EvacuationNotStored,
	EvacuationsLearned,
	EvacuationsInForce,
	EvacuationsUnreadable,
	OutcomeNotRecorded,
	UpstreamAnnounced,
	UpstreamExpired,
	UpstreamEjected,
	UpstreamLost,
	AnnouncementRejected,
	AnnouncementAccepted,
	UpstreamTaken,
	UpstreamReady,
	UpstreamSilent,
	UpstreamOvertaken,
	UpstreamReplaced,
	ReportRejected,
	OrderUnreadable,
	UpstreamRests,
	LeaseExpiryChecked,
	LeaseExpired,
	OrphansStopped,
	UpstreamRestarted,
	ReportsNotStored,
	ReportsNotRead,
	StopRefused,
	TaskNotStopped,
	PeerRejected,
	MessageRejected,
	JournalTornTail,
	JournalDamaged,
	JournalFailed,
	ReplicaRepaired,
	JournalReopened,
	ReplicasChanged,
	JobPlaced,
	JobRefused,
	JobPassedOn,
	JobSuperseded,
	RunMoved,
	RunEndedBadly,
	JobEnded,
	JobRejected,
}
