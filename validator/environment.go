package validator

import (
	"slices"

	"sesamedrift.example/sesamedrift"
)

// Names of the two environments. A trial document can be promoted to production.
const (
	Trial      = "trial"
	Production = "production"
)

// Environment is one environment document, read by ParseEnvironment.
type Environment struct {
	// Name is Trial or Production.
	Name string `json:"name"`
	// Domains has at least one element, and its names are unique.
	Domains []Domain `json:"domains"`
	// Services has at least one element, and its names are unique.
	Services []Service `json:"services"`
	// Teams has unique names, and its elements refer only to services of the document.
	Teams     []Team    `json:"teams"`
	Limits    Limits    `json:"limits"`
	Promotion Promotion `json:"promotion"`
}

// Domain is one failure domain.
type Domain struct {
	Name string `json:"name"`
	// Distance is the one-way network latency to each other failure domain, by name. It is the
	// same in both directions.
	Distance map[string]Duration `json:"distance"`
}

// Service is a service that upstreams offer.
type Service struct {
	Name string `json:"name"`
	// Kinds has at least one element, and its names are unique within the service.
	Kinds []Kind `json:"kinds"`
	// LongShare is the largest share of slots, from 0 to 1, that long-running tasks may occupy.
	LongShare float64 `json:"long-share"`
	// MaxQueue is the largest number of queued tasks of the service on one host, and at
	// least Limits.MaxTasks.
	MaxQueue int `json:"max-queue"`
}

// Kind is a type of task of a service.
type Kind struct {
	Name string `json:"name"`
	// Idempotent allows a single task to be sent to another upstream after its upstream was lost.
	Idempotent bool `json:"idempotent"`
	// Deadline is the relative deadline of a submission that sets none; at least ExpectedRunTime.
	Deadline Duration `json:"deadline"`
	// ExpectedRunTime is the estimated run time of a task until run times of the kind are known.
	ExpectedRunTime Duration `json:"expected"`
	// MaxRunTime is the longest run time of a task, after which the upstream ends it; at least
	// ExpectedRunTime.
	MaxRunTime Duration `json:"max-run-time"`
	// Demand is what one task takes from the capacity of its upstream, in addition to a slot; no
	// amount is below 0.
	Demand sesamedrift.Resources `json:"needs"`
}

// Team is a customer with a quota.
type Team struct {
	Name string `json:"name"`
	// Rate is the quota in task starts per second, above 0.
	Rate float64 `json:"rate"`
	// Burst is the largest number of unused task starts that the team accumulates, at least 1.
	Burst int `json:"burst"`
	// Weight is the share of the team relative to other teams when there is not enough capacity
	// for all; above 0.
	Weight float64 `json:"weight"`
	// Services names the services that the team may use.
	Services []string `json:"services"`
}

// Limits are the bounds that apply to all services.
type Limits struct {
	// Retention is how long a request key is remembered. It is at least the sum of
	// Deadline and MaxRunTime of every kind.
	Retention Duration `json:"retention"`
	// MaxTasks is the largest number of tasks of a job, from 1 to 390.
	MaxTasks int `json:"max-tasks"`
	// MaxBody is the largest HTTP request body in bytes.
	MaxBody int64 `json:"max-body"`
	// RetryShare is the largest share of starts, from 0 to 1, that are retries.
	RetryShare float64 `json:"retry-share"`
	// EjectShare is the largest share of upstreams, from 0 to 1, that are ejected at the same
	// time.
	EjectShare float64 `json:"eject-share"`
	// DisconnectGrace is how long a submission continues after its caller disconnected before it
	// is cancelled.
	DisconnectGrace Duration `json:"receiver-grace"`
}

// Promotion holds the conditions that must be met before a trial document may be promoted.
type Promotion struct {
	// MinSubmissions is the smallest number of submissions that must have ended under the trial
	// document.
	MinSubmissions int `json:"min-submissions"`
	// MinSuccessShare is the smallest share of these submissions, from 0 to 1, that must have
	// been complete.
	MinSuccessShare float64 `json:"min-success-share"`
	// MinAge is the shortest time for which the trial document must have been active.
	MinAge Duration `json:"min-age"`
}

// DomainNames returns the names of all failure domains in document order.
func (e Environment) DomainNames() []string {
	return namesOf(e.Domains, func(d Domain) string { return d.Name })
}

// ServiceNames returns the names of all services in document order.
func (e Environment) ServiceNames() []string {
	return namesOf(e.Services, func(s Service) string { return s.Name })
}

// TeamNames returns the names of the teams that may use the service, or of all teams if
// the document has no such service, in document order.
func (e Environment) TeamNames(service string) []string {
	teams := e.Teams
	if _, ok := e.Service(service); ok {
		teams = slices.DeleteFunc(slices.Clone(teams), func(t Team) bool { return !t.Allows(service) })
	}
	return namesOf(teams, func(t Team) string { return t.Name })
}

// MinDemand returns, for each resource, the smallest amount that any kind of the service demands.
func (s Service) MinDemand() sesamedrift.Resources {
	if len(s.Kinds) == 0 {
		return sesamedrift.Resources{}
	}
	smallest := s.Kinds[0].Demand
	for _, k := range s.Kinds[1:] {
		smallest.CPU = min(smallest.CPU, k.Demand.CPU)
		smallest.Memory = min(smallest.Memory, k.Demand.Memory)
		smallest.Accelerators = min(smallest.Accelerators, k.Demand.Accelerators)
	}
	return smallest
}

// KindNames returns the names of all kinds in document order.
func (s Service) KindNames() []string {
	return namesOf(s.Kinds, func(k Kind) string { return k.Name })
}

func namesOf[T any](all []T, name func(T) string) []string {
	names := make([]string, 0, len(all))
	for _, v := range all {
		names = append(names, name(v))
	}
	return names
}

// Distance returns the one-way latency between two failure domains of the document. It
// is zero for a domain and itself; the second result is false for an unknown domain.
func (e Environment) Distance(from, to string) (Duration, bool) {
	for _, d := range e.Domains {
		if d.Name != from {
			continue
		}
		if from == to {
			return 0, true
		}
		distance, ok := d.Distance[to]
		return distance, ok
	}
	return 0, false
}

// Service returns the service with the name, or false if the document has none.
func (e Environment) Service(name string) (Service, bool) {
	i := slices.IndexFunc(e.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return e.Services[i], true
}

// Team returns the team with the name, or false if the document has none.
func (e Environment) Team(name string) (Team, bool) {
	i := slices.IndexFunc(e.Teams, func(t Team) bool { return t.Name == name })
	if i < 0 {
		return Team{}, false
	}
	return e.Teams[i], true
}

// Kind returns the kind with the name, or false if the service has none.
func (s Service) Kind(name string) (Kind, bool) {
	i := slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == name })
	if i < 0 {
		return Kind{}, false
	}
	return s.Kinds[i], true
}

// Allows reports whether the team may use the service.
func (t Team) Allows(service string) bool {
	return slices.Contains(t.Services, service)
}
