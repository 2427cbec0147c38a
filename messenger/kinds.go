package messenger

import "strconv"

// Kinds of messages between hosts. The numbers are part of the protocol and are never
// reused.
const (
	// KindHeartbeat carries the lease of a member and its free slots.
	KindHeartbeat Kind = 1
	// KindClaim carries a request to the claim table of a member.
	KindClaim Kind = 2
	// KindRegister carries a ballot step between replicas.
	KindRegister Kind = 3
	// KindRegisterChange asks a replica to change a register.
	KindRegisterChange Kind = 4
	// KindRegisterRead asks a replica for a majority read.
	KindRegisterRead Kind = 5
	// KindEntries carries register entries, pushed or polled.
	KindEntries Kind = 6
	// KindDirectory carries changes of the upstream directory.
	KindDirectory Kind = 7
	// KindSubmit forwards a submission to its home domain.
	KindSubmit Kind = 8
	// KindFind forwards a look-up of a request key.
	KindFind Kind = 9
	// KindCancel cancels a submission.
	KindCancel Kind = 10
	// KindRunTask forwards one task to the owner of a free slot.
	KindRunTask Kind = 11
	// KindStopTask stops a task that was forwarded.
	KindStopTask Kind = 12
	// 13 and 14 are reserved: former versions named them announce and handover, and never sent them.

	// KindStatus asks a host for its status.
	KindStatus Kind = 15
	// KindInstallView carries a view that was decided.
	KindInstallView Kind = 16
	// KindRelease says that the caller of a forwarded submission has gone.
	KindRelease Kind = 17
	// KindCourier carries a batch of a session between two hosts.
	KindCourier Kind = 18
	// KindNews asks a control host for changes of its lists and of the document.
	KindNews Kind = 19
)

var kindNames = map[Kind]string{
	KindHeartbeat:      "heartbeat",
	KindClaim:          "claim",
	KindRegister:       "register",
	KindRegisterChange: "register-change",
	KindRegisterRead:   "register-read",
	KindEntries:        "entries",
	KindDirectory:      "directory",
	KindSubmit:         "submit",
	KindFind:           "find",
	KindCancel:         "cancel",
	KindRunTask:        "run-task",
	KindStopTask:       "stop-task",
	KindStatus:         "status",
	KindInstallView:    "install-view",
	KindRelease:        "release",
	KindCourier:        "courier",
	KindNews:           "news",
}

// String returns the name of the kind in kebab case, or its number.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "kind-" + strconv.Itoa(int(k))
}
