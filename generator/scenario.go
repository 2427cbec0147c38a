package generator

import (
	"encoding/json"
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift/validator"
)

const (
	upstreamsPerDomain = 16
	slotsPerUpstream   = 8
	// unlimitedQuota is a quota, as a multiple of the capacity, that no team reaches.
	unlimitedQuota = 100
	// retention is the shortest retention time with which the environment documents are valid
	// for the kinds.
	retention = 10 * time.Minute
	// maxRunFactor is the maximum run time of a task, which is its lease, as a multiple of the
	// longest run time of its kind, so that an upstream that is several times slower can still
	// finish the task.
	maxRunFactor = 8
)

// Scenario is a deployment and the sequence of loads that is applied to it.
type Scenario struct {
	Name string
	// Summary is one line for the help text.
	Summary        string
	Domains        []string
	HostsPerDomain []int
	Service        string
	// Distance is the one-way latency between two failure domains.
	Distance time.Duration
	Teams    int
	// Quota is the sum of the quotas of the teams as a multiple of the capacity.
	Quota float64
	// LongShare is the value of the document's long-share, the largest share of the slots, from
	// 0 to 1, that long work may occupy.
	LongShare float64
	// Kinds are all kinds of the environment document.
	Kinds []Kind
	// Phases run one after another on the same deployment.
	Phases []Phase
	// Note is printed below the table.
	Note string
	// measurements returns the measurements that are specific to the scenario.
	measurements func(phases []PhaseResult) []Measurement
}

// Phase is a load that is applied for a fixed duration.
type Phase struct {
	Name     string
	Streams  []Stream
	Duration time.Duration
	// WarmUp is the time from the start during which arrivals are not measured. Violations are
	// counted during the warm-up too.
	WarmUp time.Duration
	// Faults are injected during the phase, each at its own time.
	Faults []fault
}

// Load returns the mean of the offered work of all streams as a multiple of the capacity.
func (p *Phase) Load() float64 {
	var load float64
	for i := range p.Streams {
		load += p.Streams[i].Load
	}
	return load
}

// generate returns the arrivals of all streams in order. The arrivals of a stream do not depend
// on the streams that follow it.
func (p *Phase) generate(seed uint64, slots, hosts, teams int) []Job {
	streams := make([][]Job, 0, len(p.Streams))
	for i := range p.Streams {
		streams = append(streams, p.Streams[i].Generate(seed+uint64(i), slots, hosts, teams, p.Duration))
	}
	return merge(streams...)
}

var counterKinds = []Kind{
	{Name: "check", Weight: 5, Min: 50 * time.Millisecond, Max: 300 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true},
	{Name: "price", Weight: 3, Min: 50 * time.Millisecond, Max: 150 * time.Millisecond, Deadline: 1500 * time.Millisecond, Idempotent: true},
	{Name: "booking", Weight: 2, Min: 200 * time.Millisecond, Max: time.Second, Deadline: 3 * time.Second},
}

var previewKinds = []Kind{
	{Name: "preview", Weight: 1, Min: 50 * time.Millisecond, Max: 200 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true},
}

var renderKinds = []Kind{
	{Name: "render", Weight: 1, Min: 3 * time.Second, Max: 6 * time.Second, Deadline: time.Minute, Idempotent: true, Long: true},
}

// Scenarios returns all scenarios in the order in which the help text lists them.
func Scenarios() []Scenario {
	return []Scenario{counterScenario(), previewScenario(), overloadScenario(), faultScenario()}
}

// Find returns the scenario with the given name and reports whether there is one.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// ajaraScenario returns a scenario without phases, with the failure domains, distances and service
// name of examples/ajara.json.
func ajaraScenario(name, summary string) Scenario {
	return Scenario{
		Name:           name,
		Summary:        summary,
		Domains:        []string{"ikeja", "lekki", "apapa"},
		HostsPerDomain: []int{3, 3, 2},
		Service:        "reseason-desk",
		Distance:       500 * time.Microsecond,
		Teams:          4,
		Quota:          unlimitedQuota,
		LongShare:      0.5,
		Kinds:          counterKinds,
	}
}

func counterScenario() Scenario {
	s := ajaraScenario("counter", "jobs of 1 to 8 tasks of 50 ms to 1 s at 70 % load")
	s.Phases = []Phase{{
		Name: "counter",
		Streams: []Stream{{
			Kinds:      counterKinds,
			MaxTasks:   8,
			Load:       0.7,
			PeakToMean: 1.2,
			Period:     4 * time.Second,
		}},
		Duration: 14 * time.Second,
		WarmUp:   2 * time.Second,
	}}
	s.measurements = counterMeasurements
	return s
}

func previewScenario() Scenario {
	short := Stream{
		Kinds:      previewKinds,
		MaxTasks:   4,
		Load:       0.2,
		PeakToMean: 1.2,
		Period:     4 * time.Second,
	}
	// A render of a whole set of sleeves is one job. Although the mean load is 70 %, renders
	// demand more than all slots for some seconds of each period.
	long := Stream{
		Kinds:      renderKinds,
		MaxTasks:   40,
		Load:       0.5,
		PeakToMean: 2,
		Period:     12 * time.Second,
	}
	const duration, warmUp = 12 * time.Second, 4 * time.Second
	return Scenario{
		Name:           "previews",
		Summary:        "previews of 50 to 200 ms without and with renders of 3 to 6 s on 50 % of the capacity",
		Domains:        []string{"riga-a", "riga-b", "riga-c"},
		HostsPerDomain: []int{3, 3, 2},
		Service:        "proofing",
		Distance:       900 * time.Microsecond,
		Teams:          4,
		Quota:          unlimitedQuota,
		LongShare:      0.5,
		Kinds:          append(append([]Kind{}, previewKinds...), renderKinds...),
		Phases: []Phase{
			{Name: "without", Streams: []Stream{short}, Duration: duration, WarmUp: warmUp},
			{Name: "with", Streams: []Stream{short, long}, Duration: duration, WarmUp: warmUp},
		},
		measurements: previewMeasurements,
	}
}

// overloadScenario returns the scenario "crest", whose phases offer the capacity and multiples of it.
func overloadScenario() Scenario {
	s := ajaraScenario("crest", "offered load of 1, 2, 3 and 5 times the capacity")
	s.Teams = 24
	// Quotas above the capacity leave refusals to admission control by deadline.
	s.Quota = 2
	s.Note = "All policies run behind the same admission control, which refuses work that cannot meet its\n" +
		"deadline; it hides most of the goodput that the baselines would lose without it."
	for _, load := range overloadLoads {
		s.Phases = append(s.Phases, Phase{
			Name: fmt.Sprintf("%g times", load),
			Streams: []Stream{{
				Kinds:      counterKinds,
				MaxTasks:   4,
				Load:       load,
				PeakToMean: 1,
			}},
			Duration: 5 * time.Second,
			WarmUp:   1500 * time.Millisecond,
		})
	}
	s.measurements = overloadMeasurements
	return s
}

var overloadLoads = []float64{1, 2, 3, 5}

func faultScenario() Scenario {
	s := ajaraScenario("faults", "70 % load with resubmissions, faulty upstreams, a killed and a stopped host")
	s.Phases = []Phase{{
		Name: "faults",
		Streams: []Stream{{
			Kinds:         counterKinds,
			MaxTasks:      8,
			Load:          0.7,
			PeakToMean:    1.2,
			Period:        4 * time.Second,
			ResubmitShare: 0.1,
		}},
		Duration: 16 * time.Second,
		Faults:   faultPlan(),
	}}
	s.Note = "Counters of a killed or stopped host are read just before it ends."
	s.measurements = faultMeasurements
	return s
}

// document returns the environment document of the scenario for a number of slots.
func (s *Scenario) document(slots int) ([]byte, error) {
	env := validator.Environment{
		Name: validator.Production,
		Limits: validator.Limits{
			Retention:       validator.Duration(retention),
			MaxTasks:        100,
			MaxBody:         1 << 20,
			RetryShare:      0.1,
			EjectShare:      0.2,
			DisconnectGrace: validator.Duration(time.Second),
		},
		Promotion: validator.Promotion{MinSubmissions: 1, MinSuccessShare: 0.5},
	}
	for _, from := range s.Domains {
		d := validator.Domain{Name: from, Distance: map[string]validator.Duration{}}
		for _, to := range s.Domains {
			if to != from {
				d.Distance[to] = validator.Duration(s.Distance)
			}
		}
		env.Domains = append(env.Domains, d)
	}
	service := validator.Service{Name: s.Service, LongShare: s.LongShare, MaxQueue: 10000}
	for _, k := range s.Kinds {
		service.Kinds = append(service.Kinds, validator.Kind{
			Name:            k.Name,
			Idempotent:      k.Idempotent,
			Deadline:        validator.Duration(k.Deadline),
			ExpectedRunTime: validator.Duration(k.mean()),
			MaxRunTime:      validator.Duration(maxRunFactor * k.Max),
		})
	}
	env.Services = []validator.Service{service}
	quota := s.Quota * s.taskRate(slots) / float64(s.Teams)
	for i := range s.Teams {
		env.Teams = append(env.Teams, validator.Team{
			Name:     teamName(i),
			Rate:     quota,
			Burst:    max(100, int(quota)),
			Weight:   1,
			Services: []string{s.Service},
		})
	}
	return json.Marshal(env)
}

// taskRate returns the number of tasks of the mean run time that the slots can run per second.
func (s *Scenario) taskRate(slots int) float64 {
	stream := Stream{Kinds: s.Kinds, MaxTasks: 1, Load: 1}
	return stream.jobRate(slots)
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i+1) }
