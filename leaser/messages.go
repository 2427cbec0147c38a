package leaser

import "time"

// Heartbeat is sent to every member. The caller fills in the fields after Sent.
type Heartbeat struct {
	From Member `msgpack:"from"`
	// View is the number of the sender's view.
	View uint64 `msgpack:"view"`
	// Sent is the time by the sender's clock; the Ack returns it.
	Sent time.Time `msgpack:"sent"`
	// Free is the number of free slots of each service at the sender.
	Free map[string]int `msgpack:"free,omitempty"`
	// DirectorySeq is the sequence of the sender's Directory.
	DirectorySeq uint64 `msgpack:"directory-seq"`
	// Versions holds the versions of the configuration that the sender has.
	Versions map[string]uint64 `msgpack:"versions"`
	// Load is the number of tasks in the sender's queue.
	Load int `msgpack:"load,omitempty"`
}

// Ack answers a Heartbeat. The caller fills in the fields after Sent.
type Ack struct {
	From Member `msgpack:"from"`
	// To is the incarnation that sent the heartbeat.
	To uint64 `msgpack:"to"`
	// View is the number of the answering member's view.
	View uint64 `msgpack:"view"`
	// HeartbeatView and Sent are repeated from the heartbeat.
	HeartbeatView uint64    `msgpack:"heartbeat-view"`
	Sent          time.Time `msgpack:"sent"`
	// Free, DirectorySeq, Versions and Load have the same meaning as in Heartbeat.
	Free         map[string]int    `msgpack:"free,omitempty"`
	DirectorySeq uint64            `msgpack:"directory-seq"`
	Versions     map[string]uint64 `msgpack:"versions"`
	Load         int               `msgpack:"load,omitempty"`
}
