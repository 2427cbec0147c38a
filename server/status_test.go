package server_test

import (
	"encoding/json"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift/executor"
)

var noFaults = executor.Faults{}

// hostState holds those fields of a host's status that the tests use.
type hostState struct {
	View      uint64         `json:"view"`
	Ready     bool           `json:"ready"`
	Lease     bool           `json:"lease"`
	Host      string         `json:"host"`
	Votes     bool           `json:"votes"`
	Journal   string         `json:"journal-error"`
	Evacuated []string       `json:"evacuated"`
	Hosts     []hostState    `json:"hosts"`
	CutOff    bool           `json:"cut-off"`
	Members   []string       `json:"members"`
	Queued    int            `json:"queued"`
	Running   int            `json:"running"`
	Free      map[string]int `json:"free"`
	Upstreams []struct {
		Upstream string `json:"upstream"`
		State    string `json:"state"`
	} `json:"upstreams"`
}

// state returns the status of a host, or the zero value if the host does not answer.
func (d *deployment) state(host string) hostState {
	var s hostState
	raw, err := d.at(host).Status(d.ctx)
	if err != nil {
		return s
	}
	d.g.Expect(json.Unmarshal(raw, &s)).To(Succeed())
	return s
}

// voters returns the replicas that vote, according to the status of a host.
func (d *deployment) voters(host string) []string {
	s := d.state(host)
	var names []string
	for _, h := range append(s.Hosts, s) {
		if h.Votes {
			names = append(names, h.Host)
		}
	}
	return names
}

func (d *deployment) view(host string) uint64 { return d.state(host).View }

func (d *deployment) ownedBy(host string) int { return len(d.state(host).Upstreams) }

func (d *deployment) ownedByAll() int {
	n := 0
	for _, host := range d.HostNames() {
		n += d.ownedBy(host)
	}
	return n
}

// free returns the number of free slots of all hosts.
func (d *deployment) free() int {
	n := 0
	for _, host := range d.HostNames() {
		for _, k := range d.state(host).Free {
			n += k
		}
	}
	return n
}
