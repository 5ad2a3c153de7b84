package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// load is a replay of requests without prompt parts on the endpoints of one service, one in each failure domain, through
// several processes that hear of each other's crashes after a delay.
type load struct {
	// deadly is the number of distinct requests that crash each endpoint; each comes four times a second.
	deadly int
	// sound and popular are the numbers of sound requests a second: those that come once, and those that are all the same.
	sound, popular int
	// soundTime is how long a sound request runs, endpoints and processes their numbers.
	soundTime            time.Duration
	endpoints, processes int

	seed      uint64
	rand      *rand.Rand
	tables    []Table
	runs      []loadRun
	news      []loadNews
	upAt      []time.Duration
	lives     []int
	sent      int
	runsOf    map[string][]time.Duration
	refused   map[string]int
	crashesOf map[string][]time.Duration
}

// loadRun is a request that an endpoint is running.
type loadRun struct {
	part, id          string
	process, endpoint int
	sentAt, endsAt    time.Duration
	crashes           bool
}

// loadNews is what one process hears from another.
type loadNews struct {
	at   time.Duration
	to   int
	list []Crash
}

const (
	loadStep         = 5 * time.Millisecond
	loadLength       = 15 * time.Second
	loadContactTime  = 3 * time.Second
	loadRestartTime  = 3400 * time.Millisecond
	loadDeadlyTime   = 100 * time.Millisecond
	maxLoadNewsDelay = 80 * time.Millisecond
)

// play plays the load.
func (l *load) play() {
	l.rand = rand.New(rand.NewPCG(l.seed, 2))
	l.tables, l.upAt, l.lives = make([]Table, l.processes), make([]time.Duration, l.endpoints), make([]int, l.endpoints)
	l.runsOf, l.refused, l.crashesOf = map[string][]time.Duration{}, map[string]int{}, map[string][]time.Duration{}
	for now := time.Duration(0); now < loadLength; now += loadStep {
		l.deliver(now)
		l.endRuns(now)
		for d := range l.deadly {
			l.arrive(now, 4, fmt.Sprint("deadly-", d), loadDeadlyTime, true)
		}
		l.arrive(now, l.popular, "popular", l.soundTime, false)
		l.arrive(now, l.sound, fmt.Sprint("sound-", l.sent), l.soundTime, false)
	}
}

// arrive sends the request with the probability of its rate a second.
func (l *load) arrive(now time.Duration, rate int, part string, runTime time.Duration, crashes bool) {
	if l.rand.Float64() >= float64(rate)*loadStep.Seconds() {
		return
	}
	l.sent++
	process := l.rand.IntN(l.processes)
	var up []int
	for e, when := range l.upAt {
		if when <= now {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	q, ok := l.tables[process].Quarantined([]string{part}, at(now))
	if ok && !l.tables[process].AllowTrial(q, process, l.processes, at(now)) {
		l.refused[part]++
		return
	}
	e := up[l.rand.IntN(len(up))]
	l.runs = append(l.runs, loadRun{part, fmt.Sprint("r", l.sent), process, e, now, now + runTime, crashes})
	l.runsOf[part] = append(l.runsOf[part], now)
}

// endRuns ends the requests whose time is over; one that crashes its endpoint ends all others there.
func (l *load) endRuns(now time.Duration) {
	for i := 0; i < len(l.runs); i++ {
		r := l.runs[i]
		if r.endsAt > now {
			continue
		}
		l.runs = slices.Delete(l.runs, i, i+1)
		i = -1
		if !r.crashes {
			l.tell(now, r.process, l.tables[r.process].MarkSound([]string{r.part}, at(r.sentAt), at(now)))
			continue
		}
		l.crash(now, r)
	}
}

// crash ends an endpoint and all that it runs.
func (l *load) crash(now time.Duration, cause loadRun) {
	l.crashesOf[cause.part] = append(l.crashesOf[cause.part], now)
	e := cause.endpoint
	id, domain := fmt.Sprint("e", e, "-", l.lives[e]), fmt.Sprint("domain-", e)
	l.lives[e]++
	l.upAt[e] = now + loadRestartTime
	for _, r := range append(l.runs, cause) {
		if r.endpoint == e {
			l.tell(now, r.process, l.tables[r.process].Merge([]Crash{NewCrash(r.id, id, domain, []string{r.part})}, at(now)))
		}
	}
	l.runs = slices.DeleteFunc(l.runs, func(r loadRun) bool { return r.endpoint == e })
}

// tell sends news of one process to the others.
func (l *load) tell(now time.Duration, from int, list []Crash) {
	for p := range l.tables {
		if p != from && len(list) > 0 {
			l.news = append(l.news, loadNews{now + time.Duration(l.rand.Int64N(int64(maxLoadNewsDelay))), p, list})
		}
	}
}

// deliver merges the news that have arrived.
func (l *load) deliver(now time.Duration) {
	l.news = slices.DeleteFunc(l.news, func(n loadNews) bool {
		if n.at <= now {
			l.tables[n.to].Merge(n.list, at(now))
		}
		return n.at <= now
	})
}

// lateRuns returns how often the request reached an endpoint later than loadContactTime after it had crashed the third.
func (l *load) lateRuns(part string) (n int) {
	crashes := l.crashesOf[part]
	if len(crashes) < minCrashes {
		return 0
	}
	for _, when := range l.runsOf[part] {
		if when > crashes[minCrashes-1]+loadContactTime {
			n++
		}
	}
	return n
}

// A request without prompt parts that crashes each endpoint must be kept away from them soon, by all processes, and the sound
// requests that were running on the same endpoints must be served.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	for _, l := range []load{
		{deadly: 1, sound: 60, popular: 40, soundTime: 20 * time.Millisecond, endpoints: 3, processes: 8},
		{deadly: 1, sound: 60, popular: 40, soundTime: 300 * time.Millisecond, endpoints: 3, processes: 8},
		{deadly: 1, sound: 150, popular: 150, soundTime: 400 * time.Millisecond, endpoints: 3, processes: 8},
		{deadly: 4, sound: 60, popular: 40, soundTime: 20 * time.Millisecond, endpoints: 3, processes: 8},
		{deadly: 1, sound: 150, popular: 150, soundTime: 100 * time.Millisecond, endpoints: 20, processes: 76},
		{deadly: 8, sound: 150, popular: 150, soundTime: 100 * time.Millisecond, endpoints: 20, processes: 8},
		{deadly: 20, sound: 150, popular: 50, soundTime: 20 * time.Millisecond, endpoints: 60, processes: 8},
	} {
		for l.seed = range 3 {
			name := fmt.Sprintf("deadly=%d,sound=%d,%s,endpoints=%d,processes=%d,%d", l.deadly, l.sound, l.soundTime, l.endpoints, l.processes, l.seed)
			t.Run(name, func(t *testing.T) { testLoad(t, l) })
		}
	}
}

// testLoad plays a load and checks how often its requests reached endpoints.
func testLoad(t *testing.T, l load) {
	l.play()
	ended := 0
	for d := range l.deadly {
		part := fmt.Sprint("deadly-", d)
		ended += len(l.crashesOf[part])
		if n := l.lateRuns(part); n > 3 {
			t.Errorf("%s reached endpoints %d times too late, want at most 3", part, n)
		}
		delete(l.refused, part)
	}
	if n, served := l.refused["popular"], len(l.runsOf["popular"]); n > served/10 {
		t.Errorf("the popular request was refused %d times and served %d times", n, served)
	}
	delete(l.refused, "popular")
	if len(l.refused) > 0 {
		t.Errorf("%d sound requests were refused", len(l.refused))
	}
	t.Logf("%d endpoints ended", ended)
}

// The endpoints of all failure domains are lost at once, under sound requests that are sent often. None must be refused when the
// endpoints are back.
func TestOutageQuarantinesNoRequest(t *testing.T) {
	var tab Table
	for e := range 9 {
		c := NewCrash(fmt.Sprint("r", e), fmt.Sprint("e", e), fmt.Sprint("domain-", e%3), []string{"popular"})
		tab.Merge([]Crash{c}, at(time.Duration(e)*10*time.Millisecond))
	}
	if isQuarantined(&tab, 4*time.Second, "popular") {
		t.Error("the request is quarantined")
	}
}

// Of two requests that were on all engines which were lost, the sound one is not refused for long.
func TestAmbiguousRequestIsTriedSoon(t *testing.T) {
	var tab Table
	for i := range 3 {
		for _, part := range []string{"deadly", "sound"} {
			c := NewCrash(fmt.Sprint(part, i), fmt.Sprint("e", i), fmt.Sprint("domain-", i), []string{part})
			tab.Merge([]Crash{c}, at(time.Duration(i)*100*time.Millisecond))
		}
	}
	q, ok := tab.Quarantined([]string{"sound"}, at(time.Second))
	if !ok || q.TrialDelay() != ambiguousTrial {
		t.Fatalf("quarantined: %t, first trial after %s", ok, q.TrialDelay())
	}
	crashAt(&tab, 6*time.Second, "trial", "e4", "deadly")
	if isQuarantined(&tab, 6*time.Second, "sound") || !isQuarantined(&tab, 6*time.Second, "deadly") {
		t.Error("after a trial of the deadly request, want it alone in quarantine")
	}
}

// Engines that are lost with hundreds of requests on each must not make a full table give up the crashes of the one that is to
// blame, and late news of a crash must not count again.
func TestManyBystandersHideNoRequest(t *testing.T) {
	var tab Table
	for i := range 6 {
		when := time.Duration(i) * time.Second
		for b := range 200 {
			crashAt(&tab, when, fmt.Sprint("s", i, "-", b), fmt.Sprint("e", i), fmt.Sprint("sound", i, "-", b))
			if b == i*30 {
				crashAt(&tab, when, fmt.Sprint("d", i), fmt.Sprint("e", i), "deadly")
			}
		}
		crashAt(&tab, when, fmt.Sprint("p", i), fmt.Sprint("e", i), "popular")
		tab.MarkSound([]string{"popular"}, at(when+time.Millisecond), at(when+20*time.Millisecond))
	}
	crashAt(&tab, 7*time.Second, "t", "e0", "sound0-0")
	for i := range 6 {
		late := NewCrash(fmt.Sprint("p", i), fmt.Sprint("e", i), "", []string{"popular"})
		late.Age = time.Duration(7-i) * time.Second
		tab.Merge([]Crash{late}, at(7*time.Second))
	}
	if !isQuarantined(&tab, 7*time.Second, "deadly") || isQuarantined(&tab, 7*time.Second, "popular") {
		t.Error("want the deadly request in quarantine, and not the popular one")
	}
	if n := len(tab.crashes); n > maxWholeCrashes {
		t.Errorf("%d crashes are kept", n)
	}
}

// Processes that keep different ones of many equal requests on the lost engines must still learn from each other that such a
// request has been answered.
func TestAnswerIsKnownWhicheverCrashesAreKept(t *testing.T) {
	tables := make([]Table, 2)
	for p := range tables {
		for i := range 3 {
			for r := range maxPerEngine {
				crashAt(&tables[p], time.Duration(i)*time.Second, fmt.Sprint("r", p, i, r), fmt.Sprint("e", i), "popular")
			}
		}
	}
	tables[1].Merge(tables[0].MarkSound([]string{"popular"}, at(4*time.Second), at(4*time.Second)), at(4*time.Second))
	if isQuarantined(&tables[1], 5*time.Second, "popular") {
		t.Error("the request is still in quarantine")
	}
}

// A request without parts that has crashed two engines is not sent to a third.
func TestRequestWithoutPartsIsNotSentToThirdEngine(t *testing.T) {
	var tab Table
	for i := range 2 {
		crashAt(&tab, time.Duration(i)*time.Second, "r", fmt.Sprint("e", i), "own")
	}
	if tab.MayRetry("r") {
		t.Error("the request may be sent to a third engine")
	}
}

// Requests that differ only in where one field ends must not be taken for the same.
func TestFingerprintsDiffer(t *testing.T) {
	seen := map[string]int{}
	for i, f := range []string{
		Fingerprint(nil, "account", "GET", "/a"), Fingerprint(nil, "accountG", "ET", "/a"), Fingerprint([]byte("/a"), "account", "GET"),
		Fingerprint(nil, "account", "GET", "/", "a"), Fingerprint([]byte("a"), "account", "GET", "/"), Fingerprint(nil, "account", "GET/a"),
	} {
		if j, ok := seen[f]; ok || len(f) > maxIDBytes {
			t.Errorf("%d is the same as %d, or longer than %d: %s", i, j, maxIDBytes, f)
		}
		seen[f] = i
	}
}

// Whatever the order in which the processes exchange what they know, they quarantine the same requests, within the bounds of memory.
func TestMergeOfRequestsConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]Table, 3)
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "wait")) * time.Millisecond
			tab := &tables[rapid.IntRange(0, 2).Draw(t, "process")]
			part := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "request")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				engine := rapid.IntRange(0, 5).Draw(t, "engine")
				c := NewCrash(fmt.Sprint("r", step), fmt.Sprint("e", engine, "-", now/(3*time.Second)), fmt.Sprint("domain-", engine%3), []string{part})
				tab.Merge([]Crash{c}, at(now))
			case 3:
				tab.MarkSound([]string{part}, at(now-BeginWindow), at(now))
			default:
				tab.Merge(tables[rapid.IntRange(0, 2).Draw(t, "from")].All(at(now)), at(now))
			}
		}
		requireConvergence(t, tables, now, 3, maxWholeCrashes, "a", "b", "c")
	})
}

// A sound request that is sent often must not be refused because it was on engines that fell silent under another request, whose
// own losses nobody saw: its callers left before the engines were found to be lost.
func TestAnsweredRequestIsNoSuspect(t *testing.T) {
	var tab Table
	for i := range 5 {
		now := time.Duration(i) * time.Second
		if i < 3 {
			crashAt(&tab, now, fmt.Sprint("deadly", i), fmt.Sprint("e", i), "deadly")
		}
		for r := range 2 {
			crashAt(&tab, now, fmt.Sprint("popular", i, r), fmt.Sprint("e", i), "popular")
		}
		if i < 2 {
			tab.MarkSound([]string{"popular"}, at(now+500*time.Millisecond), at(now+600*time.Millisecond))
		}
	}
	if isQuarantined(&tab, 6*time.Second, "popular") {
		t.Error("the answered request is in quarantine")
	}
	if !isQuarantined(&tab, 6*time.Second, "deadly") {
		t.Error("the request that crashes engines is not in quarantine")
	}
	// An answer speaks for a limited time only.
	for i := range 3 {
		crashAt(&tab, time.Minute+time.Duration(i)*time.Second, fmt.Sprint("later", i), fmt.Sprint("f", i), "popular")
	}
	if !isQuarantined(&tab, time.Minute+5*time.Second, "popular") {
		t.Error("a request that has begun to crash engines is not in quarantine")
	}
}

// Guards against a request that is never found because its engines are in one failure domain, or their domain is not known, and
// each is lost soon after the one before.
func TestQuickCrashesInOneDomainAreCounted(t *testing.T) {
	for _, domain := range []string{"", "a"} {
		var tab Table
		crashes := 0
		for i := range 60 {
			now := at(time.Duration(i) * 200 * time.Millisecond)
			if _, refused := tab.Quarantined([]string{"deadly"}, now); refused {
				break
			}
			crashes++
			tab.Merge([]Crash{NewCrash(fmt.Sprint("r", i), fmt.Sprint("e", i), domain, []string{"deadly"})}, now)
		}
		if crashes > 6 {
			t.Errorf("domain %q: %d engines are lost before the request is known", domain, crashes)
		}
	}
}

// A sound request that was on three engines that another one has crashed must not be refused because one engine more is lost under
// it: the loss under the other request may not have been seen, or the engine ended by itself.
func TestOneOtherLossMakesNoSuspect(t *testing.T) {
	for _, other := range []int{0, 3} {
		var tab Table
		for i := range 4 {
			now := time.Duration(i) * 800 * time.Millisecond
			crashAt(&tab, now, fmt.Sprint("popular", i), fmt.Sprint("e", i), "popular")
			crashAt(&tab, now, fmt.Sprint("again", i), fmt.Sprint("e", i), "popular")
			if i != other {
				crashAt(&tab, now, fmt.Sprint("deadly", i), fmt.Sprint("e", i), "deadly")
			}
		}
		if isQuarantined(&tab, 5*time.Second, "popular") || !isQuarantined(&tab, 5*time.Second, "deadly") {
			t.Errorf("loss %d is not explained: the sound request is in quarantine, or the other one is not", other)
		}
	}
}
