package messenger

import "strconv"

// Kinds of messages between hosts. The numbers are part of the protocol and are never
// reused.
const (
	// KindHeartbeat carries the lease and the free slots of a member of a view, the list of
	// live hosts of a failure domain.
	KindHeartbeat Kind = 1
	// KindClaim carries an operation on the claim table of a member.
	KindClaim Kind = 2
	// KindRegisterStep carries one phase of a ballot between replicas.
	KindRegisterStep Kind = 3
	// KindRegisterChange asks a replica to change a register.
	KindRegisterChange Kind = 4
	// KindRegisterRead asks a replica for a majority read.
	KindRegisterRead Kind = 5
	// KindRegisterEntries carries register entries, which a replica pushes or a host polls.
	KindRegisterEntries Kind = 6
	// KindDirectory carries changes of the directory of upstreams.
	KindDirectory Kind = 7
	// KindSubmit forwards a submission to its home domain.
	KindSubmit Kind = 8
	// KindFind forwards a lookup of a request key.
	KindFind Kind = 9
	// KindCancel cancels a submission.
	KindCancel Kind = 10
	// KindRunTask forwards one task to the owner of a free slot.
	KindRunTask Kind = 11
	// KindStopTask stops a task that was forwarded.
	KindStopTask Kind = 12
	// Kinds 13 and 14 are reserved: former versions defined them as announce and handover,
	// but never sent them.

	// KindStatus asks a host for its status.
	KindStatus Kind = 15
	// KindInstallView carries a new view, which a majority of the replicas has recorded.
	KindInstallView Kind = 16
	// KindCallerDisconnected reports that the caller of a forwarded submission has
	// disconnected.
	KindCallerDisconnected Kind = 17
	// KindSessionBatch carries a batch of a session between two hosts.
	KindSessionBatch Kind = 18
	// KindUpdates polls a control host for changes of its lists of hosts and upstreams and of
	// the environment document.
	KindUpdates Kind = 19
	// KindDocument asks a host for its newest environment document.
	KindDocument Kind = 20
)

var kindNames = map[Kind]string{
	KindHeartbeat:          "heartbeat",
	KindClaim:              "claim",
	KindRegisterStep:       "register",
	KindRegisterChange:     "register-change",
	KindRegisterRead:       "register-read",
	KindRegisterEntries:    "entries",
	KindDirectory:          "directory",
	KindSubmit:             "submit",
	KindFind:               "find",
	KindCancel:             "cancel",
	KindRunTask:            "run-task",
	KindStopTask:           "stop-task",
	KindStatus:             "status",
	KindInstallView:        "install-view",
	KindCallerDisconnected: "release",
	KindSessionBatch:       "courier",
	KindUpdates:            "news",
	KindDocument:           "document",
}

// String returns the name of the kind in kebab case, or "kind-" and the number of a kind that
// has no name.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "kind-" + strconv.Itoa(int(k))
}
