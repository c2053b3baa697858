package coordination

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pipitgap/internal/peers"
	"pipitgap/internal/sortedmap"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// A course is everything that the controllers of a simulated cluster send: calls of the state
// service and of the cloud, direct commands, peer statuses, and answers to users and workers, each with
// its simulated time and its controller. It is written in wire form, so that it stays the same
// when Go identifiers are renamed or functions are moved, and differs as soon as a decision, an
// order or a random draw does. testdata/courses.txt holds one hash for each scenario and seed.

const coursesFile = "testdata/courses.txt"

var (
	coursesQuick = flag.Bool(
		"courses-quick",
		false,
		"play only the first seed of each scenario of TestCourses",
	)
	coursesRecord = flag.String(
		"courses-record",
		"",
		"write the hashes of TestCourses to this file instead of comparing them",
	)
	coursesText = flag.String(
		"courses-text",
		"",
		"write the full text of each course of TestCourses to this directory",
	)
)

// recorder hashes one course and counts its lines.
type recorder struct {
	sum   hash.Hash
	out   io.Writer
	calls int
}

func newRecorder(text io.Writer) *recorder {
	sum := sha256.New()
	return &recorder{sum: sum, out: io.MultiWriter(sum, text)}
}

// watch records all that the controllers of a cluster send from now on.
func (r *recorder) watch(c *cluster) {
	c.wire = func(node, kind, text string) {
		r.calls++
		fmt.Fprintf(r.out, "%d %s %s %s\n", int64(c.sim.Now()), node, kind, text)
	}
}

// canonical renders MessagePack with the entries of each map sorted: records with Go maps are
// encoded in the order in which these are walked, which means nothing to any reader. All else,
// also how wide a number is, stays as it is on the wire.
func canonical(raw []byte) string {
	sorted, rest, ok := sortMaps(raw)
	if !ok || len(rest) > 0 {
		return fmt.Sprintf("%q", raw) // not MessagePack
	}
	return fmt.Sprintf("%q", sorted)
}

// sortMaps takes one value off the front of MessagePack bytes and sorts the maps in it.
func sortMaps(raw []byte) (value, rest []byte, ok bool) {
	dec := msgpack.NewDecoder(bytes.NewReader(raw))
	code, err := dec.PeekCode()
	if err != nil {
		return nil, nil, false
	}
	isMap := msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
	isArray := msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
	if !isMap && !isArray {
		one, err := dec.DecodeRaw()
		return one, raw[len(one):], err == nil
	}
	count, err := 0, error(nil)
	if isMap {
		count, err = dec.DecodeMapLen()
	} else {
		count, err = dec.DecodeArrayLen()
	}
	if err != nil {
		return nil, nil, false
	}
	head := 1
	switch code {
	case msgpcode.Map16, msgpcode.Array16:
		head = 3
	case msgpcode.Map32, msgpcode.Array32:
		head = 5
	}
	rest = raw[head:]
	var entries [][]byte
	for range count {
		var entry, more []byte
		if entry, rest, ok = sortMaps(rest); !ok {
			return nil, nil, false
		}
		if isMap {
			if more, rest, ok = sortMaps(rest); !ok {
				return nil, nil, false
			}
		}
		entries = append(entries, slices.Concat(entry, more))
	}
	if isMap {
		slices.SortFunc(entries, bytes.Compare)
	}
	return append(slices.Clone(raw[:head]), slices.Concat(entries...)...), rest, true
}

// wireStoreCall renders a call as protocol.CallStore sends it.
func wireStoreCall(c *protocol.StoreCall) string {
	text := "unknown"
	switch c.Op {
	case protocol.StoreGet:
		text = fmt.Sprintf("get %q", c.Key)
	case protocol.StoreList:
		text = fmt.Sprintf("list %q after %q limit %d", c.Key, c.After, c.Limit)
	case protocol.StoreCommit:
		txn := c.Transaction
		if txn.If == nil {
			txn.If = []protocol.Compare{}
		}
		text = "commit " + canonical(protocol.MustMarshal(&txn))
	case protocol.StoreGrantLease:
		text = fmt.Sprintf("grant %d", int64(c.TTL))
	case protocol.StoreKeepAlive:
		text = fmt.Sprintf("touch %d", c.Lease)
	case protocol.StoreWatch:
		text = fmt.Sprintf("watch %q from %d block %d", c.Key, c.FromRevision, int64(c.MaxBlock))
	}
	return fmt.Sprintf("%s within %d", text, int64(c.Timeout))
}

// wireCloudCall renders a call as protocol.CallCloud sends it.
func wireCloudCall(c *protocol.CloudCall) string {
	text := "unknown"
	switch c.Op {
	case protocol.CloudCatalog:
		text = "catalog"
	case protocol.CloudCreateMachines:
		text = "rent " + canonical(protocol.MustMarshal(&c.Create))
	case protocol.CloudDelete:
		text = "delete " + canonical(
			protocol.MustMarshal(&protocol.DeleteMachinesRequest{Machines: c.Delete}),
		)
	case protocol.CloudList:
		text = fmt.Sprintf("list after %q", c.After)
	}
	return fmt.Sprintf("%s within %d", text, int64(c.Timeout))
}

// wireCommand renders a command batch, or a probe.
func wireCommand(endpoint string, req *protocol.CommandRequest, within monotime.Micros) string {
	body := []byte("show")
	if req != nil {
		body = protocol.MustMarshal(req)
	}
	return fmt.Sprintf("%s %s within %d", endpoint, canonical(body), int64(within))
}

// wirePeerStatus renders a peer status, field by field.
func wirePeerStatus(status *peers.Status) string {
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"%s %d store %t users %d reach %d",
		status.Node,
		status.Incarnation,
		status.StateServiceReachable,
		status.WaitingUserRequests,
		int(status.WorkerReach),
	)
	for _, job := range slices.Sorted(maps.Keys(status.FailingJobs)) {
		fmt.Fprintf(&b, " failing %s:%d", job, status.FailingJobs[job])
	}
	for _, team := range status.TeamsShortOfQuota {
		fmt.Fprintf(&b, " lacks %s", team)
	}
	m := &status.Cancellations
	fmt.Fprintf(
		&b,
		" cancellations %d %d %d %d %d %t %d %d",
		m.Incarnation,
		int64(m.Clock),
		m.EchoedIncarnation,
		int64(m.EchoedClock),
		m.MirrorRevision,
		m.RecordsLoaded,
		m.Round,
		m.MessagesInRound,
	)
	for _, c := range m.Committed {
		fmt.Fprintf(&b, " %s:%d", c.Job, c.Revision)
	}
	return b.String()
}

// wireAnswer renders the answer to a user or a worker.
func wireAnswer(method, target string, response Response) string {
	return fmt.Sprintf(
		"%s %s %d retry %d %s",
		method,
		target,
		response.Status,
		response.RetryAfter,
		canonical(response.Body),
	)
}

// courseScenario simulates one course for each of its seeds. play must have the recorder watch the
// cluster before its controllers start.
type courseScenario struct {
	name  string
	seeds int // 1 to this
	play  func(t *testing.T, seed uint64, r *recorder)
}

var courseScenarios = []courseScenario{
	{"random-faults", 24, playRandomFaults},
	{"cancelled-while-refused", 6, playCancelledWhileRefused},
	{"short-leases", 4, playShortLeases},
	{"small-jobs", 3, playSmallJobs},
	{"drain-faults", 2 * len(drainFaults), playDrainFault},
	{"drain-abort", 4, playDrainAbort},
	{"limits", 4, playLimits},
	{"cloud-and-spot", 4, playCloudAndSpot},
	// Seed 4 of this one is left out: its course differs from one run to the next, as the order in
	// which a map of jobs is walked has a part in it. A course that can't be repeated has no hash.
	{"placement", 3, playPlacement},
	{"late-shares", 3, playLateShares},
	{"five-controllers", 2, playFiveControllers},
}

// TestCourses simulates every scenario and compares its course with the recorded one. A change of
// behaviour that is meant needs the file written anew with -courses-record.
func TestCourses(t *testing.T) {
	recorded := map[string]string{}
	if *coursesRecord == "" {
		recorded = readCourses(t)
	}
	played := make([][]string, len(courseScenarios))
	t.Run("play", func(t *testing.T) {
		for i, sc := range courseScenarios {
			seeds := sc.seeds
			if *coursesQuick {
				seeds = 1
			}
			played[i] = make([]string, seeds)
			for k := range seeds {
				t.Run(fmt.Sprintf("%s/%d", sc.name, k+1), func(t *testing.T) {
					t.Parallel()
					played[i][k] = playCourse(t, sc, uint64(k+1), recorded)
				})
			}
		}
	})
	lines := slices.Concat(played...)
	switch {
	case *coursesRecord != "":
		if t.Failed() || *coursesQuick {
			t.Fatal("nothing is recorded: a scenario failed, or not all were played")
		}
		if err := os.WriteFile(*coursesRecord, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	case !*coursesQuick && len(lines) != len(recorded):
		t.Errorf("%d courses played, %d recorded", len(lines), len(recorded))
	}
}

// playCourse simulates one course, compares it and returns its line of the file.
func playCourse(t *testing.T, sc courseScenario, seed uint64, recorded map[string]string) string {
	r := newRecorder(io.Discard)
	if *coursesText != "" {
		file, err := os.Create(filepath.Join(*coursesText, fmt.Sprintf("%s-%d.txt", sc.name, seed)))
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		text := bufio.NewWriter(file)
		defer text.Flush()
		r = newRecorder(text)
	}
	sc.play(t, seed, r)
	name := fmt.Sprintf("%s %d", sc.name, seed)
	got := fmt.Sprintf("%d %s", r.calls, hex.EncodeToString(r.sum.Sum(nil)))
	if *coursesRecord == "" && recorded[name] != got {
		t.Errorf("scenario %s, seed %d: the course differs: calls and hash are %s, recorded are %q; "+
			"-courses-text DIR writes the text, to be compared with that of the sources before",
			sc.name, seed, got, recorded[name])
	}
	return name + " " + got
}

// readCourses reads calls and hash by scenario and seed.
func readCourses(t *testing.T) map[string]string {
	raw, err := os.ReadFile(coursesFile)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) != 4 {
			t.Fatalf("%s: %q has not four fields", coursesFile, line)
		}
		out[f[0]+" "+f[1]] = f[2] + " " + f[3]
	}
	return out
}

// playRandomFaults combines faults as TestRandomFaultsKeepInvariants does.
func playRandomFaults(t *testing.T, seed uint64, r *recorder) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	s := newScenario(t, seed)
	r.watch(s.cluster)
	leases := []leaseDurations{
		defaultLeases,
		{4 * second, 22 * second, 42 * second},
		{5 * second, 28 * second, 53 * second},
		{8 * second / 10, 10 * second, 30 * second},
	}
	leases[rnd.IntN(len(leases))].apply(s)
	s.eagerQueries = rnd.IntN(2) == 0
	if rnd.IntN(2) == 0 {
		fillTeamLimits(s)
	}
	s.runFaults(randomFaults(rnd), scenarioLength)
}

// playCancelledWhileRefused has users cancel while the leader alone is refused, then an outage.
func playCancelledWhileRefused(t *testing.T, seed uint64, r *recorder) {
	more := [][]fault{
		nil,
		{crashController(64*second, leaderController, 3*second), cancelRunningJobs(71*second, 4, 10*second)},
		{processPause(73*second, leaderController, 8*second), zonePartition(100*second, 20*second)},
		{peerPartition(71*second, leaderController, 60*second), delayedCommands(60*second, 0.5, 60*second)},
		{lostCommitAnswers(60*second, 0.3, 60*second), machinesPartitioned(66*second, 4, 15*second)},
		{delayedCommits(60*second, 0.2, 60*second), crashAllControllers(140*second, 4*second)},
	}
	s := newScenario(t, 3000+seed)
	r.watch(s.cluster)
	s.runFaults(throttledThenStoreOutage(2*second, more[int(seed-1)%len(more)]...), 190*second)
}

// playShortLeases is a platform of short leases and large tasks, on which controllers restart slowly.
func playShortLeases(t *testing.T, seed uint64, r *recorder) {
	s := newShortLeaseScenario(t, 4000+seed)
	r.watch(s.cluster)
	s.submitWholeMachineJobs()
	faults := []fault{
		submitAtRate(50*second, second, 50*second, submitSmallUrgentArray),
		crashAllExcept(s.nodeNames[seed%3], 80*second, slowRestartDelay),
	}
	if seed%2 == 0 {
		faults = append(
			faults,
			zonePartition(110*second, 12*second),
			slowStoreReplies(60*second, second, 20*second),
		)
	}
	s.runFaults(faults, 150*second)
}

// playSmallJobs has one team send many small jobs while machines and controllers fail.
func playSmallJobs(t *testing.T, seed uint64, r *recorder) {
	c := newCluster(t, 2500+seed)
	r.watch(c)
	c.startBurst()
	c.simulateSmallJobs(10 + 10*int(seed%3))
}

// simulateSmallJobs has one team send many small jobs a second for 40 seconds, beside arrays and services of
// another, while machines and controllers fail.
func (c *cluster) simulateSmallJobs(jobsPerSecond int) {
	var arrays []string
	for s := range 40 {
		c.sendSmallJobs(jobsPerSecond)
		arrays = append(arrays, c.sendArray(s%2 == 0))
		c.sendService()
		switch s {
		case 8:
			c.fleet.Workers[sortedmap.Keys(c.fleet.Workers)[3]].FailsTasks = true
			c.sendRequest("n-0", "POST", protocol.CancelPath(arrays[2]), nil, func(Response) {})
		case 12:
			c.kill("n-1")
		case 14:
			c.start("n-1")
		case 18:
			for _, id := range sortedmap.Keys(c.fleet.Workers)[:4] {
				c.fleet.Workers[id].Partitioned = true
			}
		case 22:
			c.kill(c.leaderNode().name)
		case 30:
			c.start(c.nodeNames...)
		}
		c.sim.Run(second)
	}
	c.requireNoViolations()
}

// playDrainFault drains a zone while something fails; each seed has the next of drainFaults.
func playDrainFault(t *testing.T, seed uint64, r *recorder) {
	s := newDrainScenario(t, 800+seed)
	r.watch(s.cluster)
	s.startServices()
	s.drainZone("rack", "a")
	s.sim.Run(s.randomDuration(35 * second))
	drainFaults[int(seed-1)%len(drainFaults)].begin(s)
	s.sim.Run(120 * second)
	s.requireNoViolations()
}

// playDrainAbort ends a drain before it is complete, with permits that are written late.
func playDrainAbort(t *testing.T, seed uint64, r *recorder) {
	s := newDrainScenario(t, 900+seed)
	r.watch(s.cluster)
	s.startServices()
	s.delayPermits(3, 0, 20*second)
	s.drainZone("rack", "a")
	s.sim.Run(2*second + s.randomDuration(30*second))
	s.abortDrain("rack")
	s.sim.Run(30 * second)
	s.store.DelayCommit = nil
	s.sim.Run(60 * second)
	s.requireNoViolations()
}

// playLimits has teams at their limits and guarantees, with preemption and cancellations.
func playLimits(t *testing.T, seed uint64, r *recorder) {
	s := newScenario(t, 5000+seed)
	r.watch(s.cluster)
	s.teams = []config.Team{{Name: "free", CPUs: 16}, {Name: "tight", CPUs: 16, CPUsMax: 24}}
	s.checker.Limits["tight"] = 24
	clear(s.cloud.Capacity)
	s.cloud.Capacity[fake.OfferKey("m8", "a", false)] = 3
	s.cloud.Capacity[fake.OfferKey("m8", "b", false)] = 2
	s.addBorrowers()
	faults := []fault{
		{at: 50 * second, name: "owners", inject: (*scenario).addOwners},
		{at: 70 * second, name: "services", inject: (*scenario).addUrgentServices},
		cancelTeamJobs(85*second, "tight", 2, 6*second),
		cancelRunningJobs(100*second, 2, 0),
	}
	if seed%2 == 0 {
		faults = append(
			faults,
			crashController(86*second, leaderController, 3*second),
			machinesHang(104*second, 2, 10*second),
		)
	} else {
		faults = append(faults, crashAllControllers(110*second, 2*second), machinesVanish(95*second, 1))
	}
	s.runFaults(faults, 160*second)
}

// playCloudAndSpot has the cloud refuse, lose answers and take machines back.
func playCloudAndSpot(t *testing.T, seed uint64, r *recorder) {
	s := newScenario(t, 6000+seed)
	r.watch(s.cluster)
	s.settings.ScaleDownDelay = config.Duration(8 * second)
	s.cloud.NeverBoots["i-000003"] = true
	s.addSpotJobs()
	begin := func(at monotime.Micros, name string, f func(s *scenario)) fault { return fault{at, name, f} }
	faults := []fault{
		submitAtRate(45*second, 2*second, 60*second, submitSingleTask),
		begin(45*second, "spot machines are taken back", (*scenario).takeSpotBack),
		begin(55*second, "a machine is sick", func(s *scenario) {
			for _, worker := range s.pickMachines(1) {
				worker.FailsTasks = true
			}
		}),
		begin(60*second, "rentals lose answers", func(s *scenario) {
			s.cloud.LoseRentReply = true
			s.sim.After(5*second, func() { s.cloud.LoseRentReply = false })
		}),
		begin(62*second, "more work", (*scenario).addSpotJobs),
		begin(75*second, "the cloud throttles", func(s *scenario) {
			s.cloud.Throttling = true
			s.sim.After(10*second, func() { s.cloud.Throttling = false })
		}),
		machinesVanish(76*second, 3),
		begin(90*second, "cloud unavailable", func(s *scenario) {
			s.cloud.Unavailable = true
			s.sim.After(15*second, func() { s.cloud.Unavailable = false })
		}),
		begin(110*second, "no capacity", func(s *scenario) { clear(s.cloud.Capacity) }),
		begin(112*second, "still more work", (*scenario).addSpotJobs),
		begin(113*second, "spot machines are taken back", (*scenario).takeSpotBack),
		begin(
			125*second,
			"capacity is back",
			func(s *scenario) { s.cloud.Capacity[fake.OfferKey("m16", "a", false)] = 12 },
		),
		cancelRunningJobs(115*second, 3, 0),
	}
	if seed%2 == 0 {
		faults = append(
			faults,
			crashController(61*second, leaderController, 3*second),
			crashController(112*second, leaderController, 10*second),
		)
	}
	s.runFaults(faults, 170*second)
}

// takeSpotBack announces the end of two spot machines in their reports, and ends them.
func (s *scenario) takeSpotBack() {
	left := 2
	for _, id := range sortedmap.Keys(s.fleet.Workers) {
		worker := s.fleet.Workers[id]
		if left == 0 || !worker.Machine.Spot || worker.Machine.Gone {
			continue
		}
		left--
		notice := 10.0
		report := worker.Heartbeat()
		report.InterruptionNoticeS = &notice
		s.deliverDuplicateReport(protocol.MustMarshal(report))
		s.sim.After(10*second, func() { s.cloud.RemoveMachine(id) })
	}
}

// playPlacement has jobs of every form, and requests that are answered with an error.
func playPlacement(t *testing.T, seed uint64, r *recorder) {
	s := newScenario(t, 7000+seed)
	r.watch(s.cluster)
	s.addVariedJobs()
	faults := []fault{
		{at: 45 * second, name: "requests with mistakes", inject: (*scenario).sendMistakes},
		machinesVanish(60*second, 2),
		{at: 70 * second, name: "more jobs", inject: (*scenario).addVariedJobs},
		cancelRunningJobs(90*second, 3, 0),
		crashAllControllers(100*second, 2*second),
		{at: 115 * second, name: "requests with mistakes", inject: (*scenario).sendMistakes},
	}
	if seed%2 == 0 {
		faults = append(
			faults,
			zonePartition(75*second, 20*second),
			machinesMuted(110*second, 2, 20*second),
			machinesUnreachable(112*second, 2, 20*second),
		)
	}
	s.runFaults(faults, 160*second)
}

// sendMistakes sends every controller requests that it must reject or that name unknown jobs.
func (s *scenario) sendMistakes() {
	for _, node := range s.nodeNames {
		send := func(method, target string, body []byte) {
			s.sendRequest(node, method, target, body, func(Response) {})
		}
		send("GET", "/healthz", nil)
		send("GET", protocol.JobsPath, nil)
		send("GET", protocol.JobPath("j-unknown"), nil)
		send("POST", protocol.CancelPath("j-unknown"), nil)
		send("POST", protocol.JobsPath, []byte{0xc1})
		send("POST", protocol.HeartbeatPath, []byte{0xc1})
		send("GET", "/nowhere", nil)
		send("GET", protocol.JobPath("j-unknown?x=y"), nil)
	}
}

// playLateShares has changes of the controllers' shares of a limit be carried out late.
func playLateShares(t *testing.T, seed uint64, r *recorder) {
	s := newScenario(t, 8000+seed)
	r.watch(s.cluster)
	fillTeamLimits(s)
	faults := []fault{
		delayedQuotaWrites(45*second, 60*second),
		cancelTeamJobs(60*second, "tight", 2, 0),
		machinesVanish(70*second, 2),
		duplicateReportsToNextLeader(
			75*second,
			0.3,
			40*second,
		),
		crashController(80*second, leaderController, 12*second),
		crashController(90*second, followerController(1), 3*second),
	}
	s.runFaults(faults, 150*second)
}

// playFiveControllers has more controllers and machines, and settings of a grown fleet.
func playFiveControllers(t *testing.T, seed uint64, r *recorder) {
	c := newGrownCluster(t, 9000+seed)
	r.watch(c)
	c.startWithLeader()
	for s := range 30 {
		c.sendLargeArrays()
		switch s {
		case 15:
			c.kill("n-3", c.leaderNode().name)
		case 22:
			for _, node := range c.nodeNames {
				if c.nodes[node].controller == nil {
					c.start(node)
				}
			}
		}
		c.sim.Run(second)
	}
	c.requireNoViolations()
}

// The jobs of the courses.

func (c *cluster) sendSmallJobs(n int) {
	for range n {
		c.submitWithRetry(2*second, withTeam("guest"), withPriority(protocol.BestEffort), withCPUs(0.3),
			withMemoryGB(0.7), withSpot(true), withEstimateS(2))
	}
}

func (c *cluster) sendArray(spot bool) string {
	return c.submitWithRetry(
		20*second,
		withTeam("home"),
		withTasks(9),
		withCPUs(1.1),
		withSpot(spot),
		withEstimateS(30),
		withCheckpointS(3),
	)
}

func (c *cluster) sendService() {
	c.submitWithRetry(0, withTeam("home"), withService(true), withPriority(protocol.High), withCPUs(1.3))
}

func (c *cluster) sendLargeArrays() {
	c.submitWithRetry(25*second, withTasks(60), withCPUs(2), withSpot(true), withEstimateS(20))
	c.submitWithRetry(
		8*second,
		withTeam("tight"),
		withTasks(40),
		withCPUs(1),
		withEstimateS(10),
		withDeadlineS(60),
	)
}

func (s *scenario) addBorrowers() {
	s.addUser(300*second, withTasks(16), withCPUs(2), withPriority(protocol.BestEffort))
	s.addUser(250*second, withTasks(6), withCPUs(1))
}

func (s *scenario) addOwners() {
	for range 4 {
		s.addUser(60*second, withTeam("tight"), withTasks(6), withCPUs(2))
	}
}

func (s *scenario) addUrgentServices() {
	for range 3 {
		s.addUser(0, withTasks(2), withCPUs(3), withPriority(protocol.Production))
	}
}

func (s *scenario) addSpotJobs() {
	for i := range 3 {
		s.addUser(60*second, withTasks(12), withCPUs(4), withSpot(true), withEstimateS(50),
			withCheckpointS(10), withSaveS(2))
		s.addUser(0, withTasks(2+i), withCPUs(2), withPriority(protocol.High), withSpot(i == 1))
	}
}

func (s *scenario) addVariedJobs() {
	s.addUser(0, withTasks(4), withSpread(true), withPriority(protocol.Production))
	s.addUser(0, withTasks(3), withSpread(true), withOneZone(true), withCPUs(3))
	s.addUser(60*second, withTasks(8), withOneZone(true), withCPUs(2), withEstimateS(60))
	s.addUser(60*second, withTasks(5), withZone("b"), withCPUs(2), withCheckpointS(10), withSaveS(3))
	s.addUser(40*second, withTasks(5), withTypes("m16"), withCPUs(9), withEstimateS(30))
	s.addUser(15*second, withTasks(30), withDeadlineS(40), withCPUs(0.5), withEstimateS(15), withSpot(true))
	s.addUser(30*second, withTasks(6), withMemoryGB(30), withCPUs(1), withImageGB(6), withImage("large"))
	failing := s.addUser(5*second, withTasks(2))
	info := s.fleet.Jobs[failing.id]
	info.Fails = true
	s.fleet.Jobs[failing.id] = info
	s.sim.After(55*second, failing.cancel)
}
