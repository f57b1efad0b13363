package callsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// UnevenLoad is a load of requests whose work differs. Work is the duration of a
// request at an instance of speed 1.
type UnevenLoad struct {
	Name  string
	Kinds []workKind
	// The standard deviations of the logarithm of the work. The first three are
	// visible before a request runs: by its tenant, its path and the size of its
	// body. The last one is chance.
	// Surge multiplies the rate of the tenant surgingTenant, zero for none. The total rate
	// stays as configured.
	Surge float64
	// SlowInstances makes some instances slower by slowInstanceFactor after the warm-up.
	SlowInstances                                  bool
	TenantSigma, PathSigma, SizeSigma, ChanceSigma float64
}

// workKind is a kind of request. Each has a route of its own.
type workKind struct {
	name          mesh.Route
	idempotent    bool
	share         float64 // of all requests
	work          time.Duration
	target, limit time.Duration
	// inTimeValue and lateValue are the value of an answer before the target and of
	// a later one.
	inTimeValue, lateValue float64
}

var formPageRead = workKind{"form-page", true, 1, 200 * time.Millisecond, 600 * time.Millisecond, 2500 * time.Millisecond, 0.88, 0.26}

// mixedKinds are kinds of requests with different work, targets and values.
var mixedKinds = []workKind{
	{"form-page", true, 0.54, 200 * time.Millisecond, 600 * time.Millisecond, 2500 * time.Millisecond, 0.88, 0.26},
	{"signature", false, 0.23, 260 * time.Millisecond, 1500 * time.Millisecond, 3000 * time.Millisecond, 0.88, 0.39},
	{"payout", false, 0.17, 140 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 5, 0.6},
	{"answer", false, 0.06, 160 * time.Millisecond, 600 * time.Millisecond, 2000 * time.Millisecond, 0.88, 0.26},
}

// UnevenLoads lists the loads of the comparison. In the first one, about two thirds of
// the variance are visible. In the second one nothing is, and in the third one the
// work is nearly even, as in the deployments without uneven work.
var UnevenLoads = []UnevenLoad{
	{Name: "visible", Kinds: []workKind{formPageRead}, TenantSigma: 0.4, PathSigma: 0.4, SizeSigma: 0.4, ChanceSigma: 0.5},
	{Name: "chance", Kinds: []workKind{formPageRead}, ChanceSigma: 0.85},
	{Name: "even", Kinds: []workKind{formPageRead}, ChanceSigma: 0.3},
	{Name: "mixed", Kinds: mixedKinds, TenantSigma: 0.3, PathSigma: 0.5, SizeSigma: 0.3, ChanceSigma: 0.5},
	{Name: "slow", Kinds: []workKind{formPageRead}, SlowInstances: true, TenantSigma: 0.4, PathSigma: 0.4, SizeSigma: 0.4, ChanceSigma: 0.5},
	{Name: "surge", Kinds: []workKind{formPageRead}, Surge: 7.5, TenantSigma: 0.4, PathSigma: 0.4, SizeSigma: 0.4, ChanceSigma: 0.5},
}

const (
	unevenTenants = 87
	surgingTenant = 1
	// tenantExponent is the exponent of the power law of the tenants' rates.
	tenantExponent = 1.2
	unevenPaths    = 4
	unevenSizes    = 8
	minBodyBytes   = 256
)

// work is a generated request with its true work.
type work struct {
	kind   *workKind
	tenant int
	path   string
	size   int
	work   time.Duration
}

// workSource draws requests of a load.
type workSource struct {
	load          UnevenLoad
	random        *rand.Rand
	tenantWeights []float64 // cumulative
	tenantFactors []float64
	pathFactors   []float64
	sizeFactors   []float64
}

func newWorkSource(load UnevenLoad, random *rand.Rand) *workSource {
	s := &workSource{load: load, random: random}
	total := 0.0
	for i := range unevenTenants {
		weight := math.Pow(float64(i+1), -tenantExponent)
		if i == surgingTenant && load.Surge > 0 {
			weight *= load.Surge
		}
		total += weight
		s.tenantWeights = append(s.tenantWeights, total)
		s.tenantFactors = append(s.tenantFactors, math.Exp(random.NormFloat64()*load.TenantSigma))
	}
	s.pathFactors = evenFactors(unevenPaths, load.PathSigma)
	s.sizeFactors = evenFactors(unevenSizes, load.SizeSigma)
	return s
}

// evenFactors returns n factors in ascending order whose logarithms have about the
// given standard deviation.
func evenFactors(n int, sigma float64) []float64 {
	var out []float64
	for i := range n {
		at := 2*(float64(i)+0.5)/float64(n) - 1 // between -1 and 1
		out = append(out, math.Exp(at*math.Sqrt(3)*sigma))
	}
	return out
}

// draw returns a request with random features and work.
func (s *workSource) draw() work {
	w := work{kind: s.drawKind(), tenant: s.drawTenant()}
	path, size := s.random.IntN(unevenPaths), s.random.IntN(unevenSizes)
	w.path = fmt.Sprintf("/%s/form%c/%d", w.kind.name, 'a'+path, s.random.IntN(100_000))
	w.size = minBodyBytes<<size + s.random.IntN(minBodyBytes)
	factor := s.tenantFactors[w.tenant] * s.pathFactors[path] * s.sizeFactors[size] * math.Exp(s.random.NormFloat64()*s.load.ChanceSigma)
	w.work = time.Duration(float64(w.kind.work) * factor / s.meanFactor())
	return w
}

// meanFactor is the mean of the factors of all requests.
func (s *workSource) meanFactor() float64 {
	tenants, previous := 0.0, 0.0
	for i, sum := range s.tenantWeights {
		tenants += (sum - previous) * s.tenantFactors[i]
		previous = sum
	}
	return tenants / previous * mean(s.pathFactors) * mean(s.sizeFactors) * math.Exp(s.load.ChanceSigma*s.load.ChanceSigma/2)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func (s *workSource) drawTenant() int {
	at := s.random.Float64() * s.tenantWeights[len(s.tenantWeights)-1]
	for i, sum := range s.tenantWeights {
		if at < sum {
			return i
		}
	}
	return 0
}

func (s *workSource) drawKind() *workKind {
	at := s.random.Float64()
	for i := range s.load.Kinds {
		if at -= s.load.Kinds[i].share; at < 0 {
			return &s.load.Kinds[i]
		}
	}
	return &s.load.Kinds[0]
}

// meanWork returns the mean work of a request.
func (l UnevenLoad) meanWork() time.Duration {
	sum := 0.0
	for _, k := range l.Kinds {
		sum += k.share * float64(k.work)
	}
	return time.Duration(sum)
}

// snapshot returns a configuration with a route for each kind and with all tenants.
func (l UnevenLoad) snapshot() *catalog.Snapshot {
	var routes []catalog.Route
	for _, k := range l.Kinds {
		routes = append(routes, catalog.Route{Name: k.name, Host: "a", Prefix: "/" + string(k.name) + "/", Idempotent: k.idempotent, Timeout: k.limit,
			TargetLatency: k.target, Attempts: 2, Rank: 1, Destinations: []catalog.Destination{{Service: unevenService, Weight: 1}}})
	}
	s, err := catalog.Build(1, routes, []catalog.Service{{Name: unevenService}}, catalog.ClientLimits{})
	if err != nil {
		panic(err) // the loads are constants
	}
	var tenants []catalog.Tenant
	var keys [][]string
	for i := range unevenTenants {
		tenants = append(tenants, catalog.Tenant{Name: mesh.Tenant(tenantName(i))})
		keys = append(keys, []string{tenantName(i)})
	}
	return s.WithTenants(tenants, keys)
}

// tenantName returns the name of a tenant, which is also its key.
func tenantName(i int) string { return fmt.Sprintf("tenant-%02d", i) }
