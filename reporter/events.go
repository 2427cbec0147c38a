package reporter

import "log/slog"

// Events of a host's life, 1xxx.
var (
	HostStarted = Event{
		ID:    1001,
		Name:  "host-started",
		Level: slog.LevelInfo,
		Text:  "The host listens on its addresses.",
	}
	HostReady = Event{
		ID:    1002,
		Name:  "host-ready",
		Level: slog.LevelInfo,
		Text:  "The host has a view and a configuration and takes requests.",
	}
	HostStopping = Event{
		ID:    1003,
		Name:  "host-stopping",
		Level: slog.LevelInfo,
		Text:  "A planned stop has begun: readiness is off and requests in flight finish.",
	}
	HostStopped = Event{
		ID:    1004,
		Name:  "host-stopped",
		Level: slog.LevelInfo,
		Text:  "The planned stop is finished.",
	}
)

// Events of membership and leases, 2xxx.
var (
	ViewInstalled = Event{
		ID:    2001,
		Name:  "view-installed",
		Level: slog.LevelInfo,
		Text:  "A new view of the failure domain is in force on this host.",
	}
	ViewProposalFailed = Event{
		ID:    2002,
		Name:  "view-proposal-failed",
		Level: slog.LevelWarn,
		Text:  "A view change could not be recorded. If it repeats, check the hosts with disks.",
	}
	LeaseLost = Event{
		ID:    2003,
		Name:  "lease-lost",
		Level: slog.LevelWarn,
		Text:  "No majority of the view acknowledges this host; it starts no work until one does.",
	}
	LeaseHeld = Event{
		ID:    2004,
		Name:  "lease-held",
		Level: slog.LevelInfo,
		Text:  "A majority of the view acknowledges this host.",
	}
	HorizonRaised = Event{
		ID:    2005,
		Name:  "horizon-raised",
		Level: slog.LevelWarn,
		Text:  "Claims of the former view may be lost; older keys without a claim are answered unknown.",
	}
)

// Events of the configuration, 3xxx.
var (
	ConfigurationInForce = Event{
		ID:    3001,
		Name:  "configuration-in-force",
		Level: slog.LevelInfo,
		Text:  "A newer version of an environment document is in force on this host.",
	}
	ConfigurationRejected = Event{
		ID:    3002,
		Name:  "configuration-rejected",
		Level: slog.LevelError,
		Text:  "A recorded document cannot be read by this version of the program; the former stays in force.",
	}
	ConfigurationChanged = Event{
		ID:    3003,
		Name:  "configuration-changed",
		Level: slog.LevelInfo,
		Text:  "An operator's change was decided; the attributes name who, the version and the result.",
	}
)

// Events of claims, 4xxx.
var (
	OutcomeNotRecorded = Event{
		ID:    4002,
		Name:  "outcome-not-recorded",
		Level: slog.LevelWarn,
		Text:  "An outcome could not be recorded on a majority; a resubmission may be answered unknown.",
	}
)

// Events of upstreams, 5xxx.
var (
	UpstreamAnnounced = Event{
		ID:    5001,
		Name:  "upstream-announced",
		Level: slog.LevelInfo,
		Text:  "An upstream is new, has restarted or has changed its state.",
	}
	UpstreamExpired = Event{
		ID:    5002,
		Name:  "upstream-expired",
		Level: slog.LevelWarn,
		Text:  "An upstream has not announced itself within its time to live.",
	}
	UpstreamEjected = Event{
		ID:    5003,
		Name:  "upstream-ejected",
		Level: slog.LevelWarn,
		Text:  "An upstream fails work that others finish; it gets single tasks until they succeed.",
	}
	UpstreamLost = Event{
		ID:    5004,
		Name:  "upstream-lost",
		Level: slog.LevelWarn,
		Text:  "The connection to an upstream broke while a task ran; the task may have run.",
	}
	AnnouncementRejected = Event{
		ID:    5005,
		Name:  "announcement-rejected",
		Level: slog.LevelWarn,
		Text:  "Logged by an executor: a host does not take its announcements, for the reason given; logged again when the reason changes.",
	}
	AnnouncementAccepted = Event{
		ID:    5006,
		Name:  "announcement-accepted",
		Level: slog.LevelInfo,
		Text:  "Logged by an executor: a host takes its announcements again.",
	}
)

// Events of peers, 6xxx.
var (
	PeerRejected = Event{
		ID:    6001,
		Name:  "peer-rejected",
		Level: slog.LevelWarn,
		Text:  "A connection to the peer address was closed: wrong hello or malformed frame.",
	}
)

// Events of the disk, 7xxx.
var (
	JournalTornTail = Event{
		ID:    7001,
		Name:  "journal-torn-tail",
		Level: slog.LevelWarn,
		Text:  "An incomplete last record was cut off at start, as after a power failure.",
	}
	JournalDamaged = Event{
		ID:    7002,
		Name:  "journal-damaged",
		Level: slog.LevelError,
		Text:  "The journal is damaged; the replica does not vote until it is repaired from a majority.",
	}
	JournalFailed = Event{
		ID:    7003,
		Name:  "journal-failed",
		Level: slog.LevelError,
		Text:  "A write or sync failed; the replica stops voting. Replace the disk and restart.",
	}
	ReplicaRepaired = Event{
		ID:    7004,
		Name:  "replica-repaired",
		Level: slog.LevelInfo,
		Text:  "The replica has copied the state of a majority and votes again.",
	}
)

var catalogue = []Event{
	HostStarted,
	HostReady,
	HostStopping,
	HostStopped,
	ViewInstalled,
	ViewProposalFailed,
	LeaseLost,
	LeaseHeld,
	HorizonRaised,
	ConfigurationInForce,
	ConfigurationRejected,
	ConfigurationChanged,
	OutcomeNotRecorded,
	UpstreamAnnounced,
	UpstreamExpired,
	UpstreamEjected,
	UpstreamLost,
	AnnouncementRejected,
	AnnouncementAccepted,
	PeerRejected,
	JournalTornTail,
	JournalDamaged,
	JournalFailed,
	ReplicaRepaired,
}
