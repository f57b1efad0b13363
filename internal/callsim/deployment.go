package callsim

import (
	"fmt"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// Deployment describes the hosts and services of a simulated deployment.
type Deployment struct {
	Name     string
	Domains  []mesh.FailureDomain
	Services []ServiceSize
	// Slots is the number of slots of each instance.
	Slots uint16
	// DomainDelay is the one-way delay between failure domains.
	DomainDelay time.Duration
}

// ServiceSize is a service and the number of its instances.
type ServiceSize struct {
	Name      mesh.Service
	Instances int
}

// Deployments lists the two deployments of section 1.6 of the design document.
var Deployments = []Deployment{
	{
		Name:        "fes",
		Domains:     []mesh.FailureDomain{"ifrane", "azrou", "sefrou", "boulemane"},
		Services:    []ServiceSize{{"roofworks", 7}, {"depot", 4}},
		Slots:       9,
		DomainDelay: 500 * time.Microsecond,
	},
	{
		Name:        "montevideo",
		Domains:     []mesh.FailureDomain{"centro", "pocitos", "prado"},
		Services:    []ServiceSize{{"delivery", 10}, {"records", 3}},
		Slots:       6,
		DomainDelay: time.Millisecond,
	},
}

// capacity returns the calls per second that the healthy deployment can run.
func (d Deployment) capacity() float64 {
	return float64(len(d.instances())*int(d.Slots)) / meanServiceTime.Seconds()
}

// instances spreads the instances of each service over the failure domains,
// one instance per host.
func (d Deployment) instances() []routing.Instance {
	var all []routing.Instance
	for _, s := range d.Services {
		for i := range s.Instances {
			n := len(all)
			all = append(all, routing.Instance{
				Host:      mesh.HostID(fmt.Sprintf("host-%02d", n)),
				Domain:    d.Domains[n%len(d.Domains)],
				ID:        mesh.InstanceID(fmt.Sprintf("%s-%02d", s.Name, i)),
				Service:   s.Name,
				Version:   "v1",
				Slots:     d.Slots,
				Reachable: true,
			})
		}
	}
	return all
}

// Fault names the fault that is injected in a run.
type Fault string

// Faults. All but Healthy and DomainLost affect the first instance of each
// service for the whole run.
const (
	Healthy Fault = "healthy"
	// SlowInstance multiplies the service times by slowInstanceFactor.
	SlowInstance Fault = "slow-instance"
	// MisreportedLoad makes the instance announce three times its real slots
	// and report zero load.
	MisreportedLoad Fault = "misreported-load"
	// MisreportedHealth makes the instance announce itself as ready while it
	// fails each call after failureServiceTime.
	MisreportedHealth Fault = "misreported-health"
	// DomainLost stops all hosts of the first failure domain at domainLossTime.
	DomainLost Fault = "domain-lost"
)

// Faults lists all faults.
var Faults = []Fault{Healthy, SlowInstance, MisreportedLoad, MisreportedHealth, DomainLost}

const (
	meanServiceTime = 10 * time.Millisecond
	// serviceTimeSigma is the standard deviation of the logarithm of the
	// service time.
	serviceTimeSigma     = 0.6
	localDelay           = 100 * time.Microsecond
	slowInstanceFactor   = 5
	announcedPerRealSlot = 3 // announced slots per real slot of an instance that misreports them
	failureServiceTime   = 500 * time.Microsecond
	// connectTimeout is the time after which the entry node of an attempt
	// detects that the target host is lost.
	connectTimeout = 50 * time.Millisecond
	// membershipDelay is the time from the loss of hosts to the update of the
	// routing policies.
	membershipDelay = 5 * time.Second
	// warmUp is the time at the start of a run that is not measured.
	warmUp = 5 * time.Second
	// domainLossTime is the time from the start of a run to the loss of the
	// domain in DomainLost. It is after warmUp, so the loss is measured.
	domainLossTime = 10 * time.Second
)

// callClass is a class of simulated calls and its share of the load.
type callClass struct {
	name       mesh.Class
	priority   mesh.Priority
	share      float64 // of all calls
	deadline   time.Duration
	idempotent bool
}

var callClasses = []callClass{
	{"critical", mesh.Critical, 0.2, 100 * time.Millisecond, true},
	{"normal", mesh.Normal, 0.4, 150 * time.Millisecond, true},
	{"booking", mesh.Normal, 0.2, 150 * time.Millisecond, false},
	{"bulk", mesh.Bulk, 0.2, 400 * time.Millisecond, true},
}
