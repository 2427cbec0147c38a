package validator

// Settings are the settings of one host process.
type Settings struct {
	// Host is the name of this host, unique among the host and its peers.
	Host string `json:"host"`
	// Domain is the failure domain of this host.
	Domain string `json:"domain"`
	// HTTPAddress is an IP address with a port from 1 to 65535, different from
	// PeerAddress.
	HTTPAddress string `json:"http-address"`
	// PeerAddress is where the internal protocol is served, an IP address with a port
	// from 1 to 65535.
	PeerAddress string `json:"peer-address"`
	// Replica says that this host stores registers; DataFolder is then not empty.
	Replica bool `json:"replica"`
	// Bootstrap says that this host is one of a set of replicas that has never run.
	// Replica is then true.
	Bootstrap bool `json:"bootstrap"`
	// Peers are the other hosts of all failure domains. Their names and addresses are
	// unique and differ from those of this host. Together with this host there are 1, 3
	// or 5 replicas.
	Peers []Peer `json:"peers"`
	// DataFolder holds all files of the host. It may be empty on a host that is no replica.
	DataFolder string `json:"data-folder,omitempty"`
	// OperatorToken authorises changes of the environments. It differs from PeerToken.
	OperatorToken string `json:"operator-token"`
	// PeerToken is the token that all hosts share.
	PeerToken string `json:"peer-token"`
	// TLSCertificate and TLSKey are names of PEM files; both or neither are set.
	TLSCertificate string `json:"tls-certificate,omitempty"`
	TLSKey         string `json:"tls-key,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log-level"`
	// HeartbeatEvery is the time between heartbeats, shorter than SuspectAfter and LeaseTime.
	HeartbeatEvery Duration `json:"heartbeat-every"`
	// SuspectAfter is the silence after which a member is proposed for removal from the view.
	SuspectAfter Duration `json:"suspect-after"`
	// LeaseTime is the time for which an acknowledged heartbeat holds the ownership of upstreams.
	LeaseTime Duration `json:"lease-time"`
	// DriftMargin is added to LeaseTime for clocks that run at different speeds; it is
	// shorter than LeaseTime.
	DriftMargin Duration `json:"drift-margin"`
	// ClockMargin is the largest difference between the wall clocks of two hosts.
	ClockMargin Duration `json:"clock-margin"`
}

// Peer is another host.
type Peer struct {
	Host string `json:"host"`
	// Domain is the failure domain of the peer.
	Domain string `json:"domain"`
	// Address is where the peer serves the internal protocol, as IP:port.
	Address string `json:"address"`
	// HTTPAddress is where the peer serves HTTP, as IP:port.
	HTTPAddress string `json:"http-address"`
	// Replica says that the peer stores registers.
	Replica bool `json:"replica"`
}

// Replicas returns the names of all hosts that store registers: this host first if it is
// one, then the peers in the order of the settings.
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
