package validator

// Settings are the settings of one host process, read by ParseSettings.
type Settings struct {
	// Host is the name of this host, unique among the host and its peers.
	Host string `json:"host"`
	// Domain is the failure domain of this host.
	Domain string `json:"domain"`
	// HTTPAddress is an IP address with a port from 1 to 65535, different from
	// PeerAddress.
	HTTPAddress string `json:"http-address"`
	// PeerAddress is the address on which the internal protocol is served, an IP address with
	// a port from 1 to 65535.
	PeerAddress string `json:"peer-address"`
	// Replica is true if this host stores a replica of the registers; DataFolder is then not
	// empty.
	Replica bool `json:"replica"`
	// Bootstrap is true if this host belongs to a set of replicas that is started for the first
	// time. Replica is then true.
	Bootstrap bool `json:"bootstrap"`
	// Peers are the other hosts of all failure domains. Their names and addresses are
	// unique and differ from those of this host. Together with this host there are 1, 3
	// or 5 replicas.
	Peers []Peer `json:"peers"`
	// DataFolder is the folder of all files of the host. It may be empty unless Replica is true.
	DataFolder string `json:"data-folder,omitempty"`
	// OperatorToken authorises changes of the environment documents. It differs from PeerToken.
	OperatorToken string `json:"operator-token"`
	// PeerToken authenticates the hosts to each other; it is the same on all hosts.
	PeerToken string `json:"peer-token"`
	// TLSCertificate and TLSKey are names of PEM files; both or neither are set.
	TLSCertificate string `json:"tls-certificate,omitempty"`
	TLSKey         string `json:"tls-key,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log-level"`
	// HeartbeatEvery is the time between heartbeats, shorter than SuspectAfter and LeaseTime.
	HeartbeatEvery Duration `json:"heartbeat-every"`
	// SuspectAfter is the time without a heartbeat after which a member is proposed for removal
	// from the view.
	SuspectAfter Duration `json:"suspect-after"`
	// LeaseTime is how long a host keeps the ownership of its upstreams after a heartbeat that
	// was acknowledged.
	LeaseTime Duration `json:"lease-time"`
	// DriftMargin is added to LeaseTime, since clocks run at different speeds; it is shorter
	// than LeaseTime.
	DriftMargin Duration `json:"drift-margin"`
	// ClockMargin is the largest expected difference between the wall clocks of two hosts.
	ClockMargin Duration `json:"clock-margin"`
}

// Peer describes another host, of the same or of another failure domain.
type Peer struct {
	// Host is the name of the peer.
	Host string `json:"host"`
	// Domain is the failure domain of the peer.
	Domain string `json:"domain"`
	// Address is the address on which the peer serves the internal protocol, as IP:port.
	Address string `json:"address"`
	// HTTPAddress is the address on which the peer serves HTTP, as IP:port.
	HTTPAddress string `json:"http-address"`
	// Replica is true if the peer stores a replica of the registers.
	Replica bool `json:"replica"`
}

// Replicas returns the names of all hosts that store a replica of the registers: this host first,
// if it is one, then the peers in the order of the settings.
func (s Settings) Replicas() []string {
	var names []string
	if s.Replica {
		names = append(names, s.Host)
	}
	for _, p := range s.Peers {
		if p.Replica {
			names = append(names, p.Host)
		}
	}
	return names
}
