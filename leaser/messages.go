package leaser

import "time"

// Heartbeat is a request to extend the lease of the sender. Leaser.Heartbeat leaves the fields
// after SentAt to the caller.
type Heartbeat struct {
	From Member `msgpack:"from"`
	// View is the number of the sender's view.
	View uint64 `msgpack:"view"`
	// SentAt is the send time by the clock of the sender; the Ack returns it.
	SentAt time.Time `msgpack:"sent"`
	// FreeSlots is the number of free slots at the sender for each service.
	FreeSlots map[string]int `msgpack:"free,omitempty"`
	// DirectorySeq is the sequence number of the newest change in the Directory of the sender.
	DirectorySeq uint64 `msgpack:"directory-seq"`
	// ConfigVersions holds the versions of the configuration that the sender has.
	ConfigVersions map[string]uint64 `msgpack:"versions"`
	// QueuedTasks is the number of tasks in the queue of the sender.
	QueuedTasks int `msgpack:"load,omitempty"`
}

// Ack acknowledges a Heartbeat. Leaser.HandleHeartbeat leaves the fields after SentAt to the
// caller.
type Ack struct {
	From Member `msgpack:"from"`
	// ToIncarnation is the incarnation of the process that sent the heartbeat.
	ToIncarnation uint64 `msgpack:"to"`
	// View is the number of the view of the acknowledging member.
	View uint64 `msgpack:"view"`
	// HeartbeatView and SentAt are copied from the heartbeat.
	HeartbeatView uint64    `msgpack:"heartbeat-view"`
	SentAt        time.Time `msgpack:"sent"`
	// FreeSlots, DirectorySeq, ConfigVersions and QueuedTasks have the same meaning as in
	// Heartbeat, here for the acknowledging member.
	FreeSlots      map[string]int    `msgpack:"free,omitempty"`
	DirectorySeq   uint64            `msgpack:"directory-seq"`
	ConfigVersions map[string]uint64 `msgpack:"versions"`
	QueuedTasks    int               `msgpack:"load,omitempty"`
}
