package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync/atomic"
	"time"

	"sesamedrift.example/sesamedrift/validator"
)

const (
	// firstPort and lastPort bound the ports of hosts. They are below the ephemeral ports of
	// Linux, so that an outgoing connection of one host does not occupy the port of a host
	// that has not started yet.
	firstPort    = 16384
	lastPort     = 32767
	portsPerHost = 2
	// attemptsPerPort bounds the search for n free ports to n times as many attempts.
	attemptsPerPort = 100
)

// deployments counts the deployments of this process; see loopback.
var deployments atomic.Uint32

// planSettings returns the settings of every host of a deployment, with addresses whose ports
// are free.
func planSettings(cfg Config) ([]validator.Settings, error) {
	replicas := 1
	if len(cfg.Domains) >= 3 {
		replicas = 3
	}
	hostCount := 0
	for _, n := range cfg.HostsPerDomain {
		hostCount += n
	}
	addresses, err := freePorts(loopback(), portsPerHost*hostCount)
	if err != nil {
		return nil, err
	}
	var settings []validator.Settings
	for i, domain := range cfg.Domains {
		for n := range cfg.HostsPerDomain[i] {
			hostAddresses := addresses[portsPerHost*len(settings):]
			name := fmt.Sprintf("%s-%d", domain, n+1)
			s := validator.Settings{
				Host:           name,
				Domain:         domain,
				HTTPAddress:    hostAddresses[0],
				PeerAddress:    hostAddresses[1],
				Replica:        n == 0 && i < replicas,
				OperatorToken:  OperatorToken,
				PeerToken:      PeerToken,
				LogLevel:       "info",
				HeartbeatEvery: validator.Duration(100 * time.Millisecond),
				SuspectAfter:   validator.Duration(500 * time.Millisecond),
				LeaseTime:      validator.Duration(600 * time.Millisecond),
				DriftMargin:    validator.Duration(100 * time.Millisecond),
				ClockMargin:    validator.Duration(2 * time.Second),
			}
			if s.Replica {
				s.Bootstrap = true
				s.DataFolder = filepath.Join(cfg.Folder, name)
			}
			if cfg.ConfigureSettings != nil {
				cfg.ConfigureSettings(&s)
			}
			settings = append(settings, s)
		}
	}
	for i := range settings {
		settings[i].Peers = peersOf(settings, i)
	}
	return settings, nil
}

func peersOf(settings []validator.Settings, self int) []validator.Peer {
	var peers []validator.Peer
	for i, s := range settings {
		if i == self {
			continue
		}
		peers = append(peers, validator.Peer{
			Host:        s.Host,
			Domain:      s.Domain,
			Address:     s.PeerAddress,
			HTTPAddress: s.HTTPAddress,
			Replica:     s.Replica,
		})
	}
	return peers
}

// loopback returns an address of the loopback network. On Linux each deployment gets another
// address, so that no other deployment can use the port of a host that is down.
func loopback() string {
	if runtime.GOOS != "linux" {
		return "127.0.0.1"
	}
	// The process ID separates the deployments of processes that run at the same time, such as
	// the tests of several packages.
	return net.IPv4(127, byte(1+os.Getpid()%200), byte(os.Getpid()/200), byte(1+deployments.Add(1)%200)).String()
}

// freePorts returns n different addresses of ip whose ports were free when they were chosen.
// Another process may occupy a port before the caller listens on it.
func freePorts(ip string, n int) ([]string, error) {
	addresses := make([]string, 0, n)
	var err error
	for range n * attemptsPerPort {
		if len(addresses) == n {
			return addresses, nil
		}
		var lc net.ListenConfig
		var l net.Listener
		port := strconv.Itoa(firstPort + rand.IntN(lastPort-firstPort+1))
		l, err = lc.Listen(context.Background(), "tcp", net.JoinHostPort(ip, port))
		if err != nil {
			continue
		}
		// The listener stays open until all ports are chosen, so that none is chosen twice.
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return nil, fmt.Errorf("launcher: no free port for a host: %w", err)
}
