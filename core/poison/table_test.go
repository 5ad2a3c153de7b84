package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "wasabiweir/core/prop"
)

// start is when the tests' clock starts.
var start = time.Unix(1000, 0)

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

// crashAt adds a crash at the time to the table.
func crashAt(tab *Table, when time.Duration, request, endpoint string, parts ...string) []Crash {
	return tab.Merge([]Crash{NewCrash(request, endpoint, "", parts)}, at(when))
}

// crashOnEach adds crashes of n requests with the parts, and a part of its own each, to the table, at n engines 500 ms apart.
func crashOnEach(tab *Table, n int, parts ...string) {
	for i := range n {
		crashAt(tab, time.Duration(i)*500*time.Millisecond, fmt.Sprint("r", i), fmt.Sprint("e", i), append(parts, fmt.Sprint("own", i))...)
	}
}

// isQuarantined reports whether a part is in quarantine at the time.
func isQuarantined(tab *Table, when time.Duration, part string) bool {
	_, ok := tab.Quarantined([]string{part}, at(when))
	return ok
}

// Three requests with one part in common crash engines while sound requests share their first part: the common part is
// quarantined, and only that.
func TestCommonPartIsQuarantined(t *testing.T) {
	var tab Table
	for i := range 3 {
		when := time.Duration(i) * 500 * time.Millisecond
		crashAt(&tab, when, fmt.Sprint("r", i), fmt.Sprint("e", i), "first", "bad", fmt.Sprint("own", i))
		tab.MarkSound([]string{"first", "other", "x"}, at(when+10*time.Millisecond), at(when+450*time.Millisecond))
	}
	if !isQuarantined(&tab, 2*time.Second, "bad") {
		t.Error("the part is not quarantined")
	}
	for _, part := range []string{"first", "own0", "own1", "other"} {
		if isQuarantined(&tab, 2*time.Second, part) {
			t.Errorf("%s is quarantined", part)
		}
	}
}

// No sound request has been seen with the first part either: the part that fewer requests share is quarantined.
func TestLaterPartIsQuarantinedFirst(t *testing.T) {
	var tab Table
	crashOnEach(&tab, 5, "first", "bad")
	if !isQuarantined(&tab, 4*time.Second, "bad") || isQuarantined(&tab, 4*time.Second, "first") {
		t.Error("want the part bad quarantined, and not the part first")
	}
}

// If the first part is the one that crashes engines, it is found although the parts behind it differ.
func TestFirstPartCanBeToBlame(t *testing.T) {
	var tab Table
	for i := range 4 {
		crashAt(&tab, time.Duration(i)*500*time.Millisecond, fmt.Sprint("r", i), fmt.Sprint("e", i), "bad", fmt.Sprint("b", i), fmt.Sprint("own", i))
	}
	if !isQuarantined(&tab, 4*time.Second, "bad") {
		t.Error("the part is not quarantined")
	}
}

// The engines of a failure domain crash together under sound requests that had just begun, several times. The part that
// they share must not be quarantined.
func TestDomainCrashesAreNoEvidence(t *testing.T) {
	var tab Table
	for wave := range 5 {
		when := time.Duration(wave) * 6 * time.Second
		for i := range 10 {
			id := fmt.Sprint(wave, "-", i)
			crashAt(&tab, when+time.Duration(i)*10*time.Millisecond, "r"+id, "e"+id, "first", "own"+id)
		}
		for d := range 30 {
			if isQuarantined(&tab, when+time.Duration(d)*100*time.Millisecond, "first") {
				t.Fatalf("the first part is quarantined in wave %d", wave)
			}
			if d == 10 {
				tab.MarkSound([]string{"first", "x"}, at(when+200*time.Millisecond), at(when+time.Second))
			}
		}
	}
}

// A sound request that had just begun on an engine that another one crashed must not be blamed.
func TestBystandersAreNotBlamed(t *testing.T) {
	var tab Table
	for i := range 6 {
		when, engine := time.Duration(i)*500*time.Millisecond, fmt.Sprint("e", i)
		crashAt(&tab, when, fmt.Sprint("r", i), engine, "first", "bad", fmt.Sprint("own", i))
		crashAt(&tab, when, fmt.Sprint("s", i), engine, "first", "rare", fmt.Sprint("sound", i))
		crashAt(&tab, when, fmt.Sprint("u", i), engine, "first", "bad", fmt.Sprint("other", i))
		tab.MarkSound([]string{"first", "rare", "y"}, at(when+50*time.Millisecond), at(when+450*time.Millisecond))
	}
	if isQuarantined(&tab, 4*time.Second, "rare") || isQuarantined(&tab, 4*time.Second, "first") {
		t.Error("a part of bystanders is quarantined")
	}
	if !isQuarantined(&tab, 4*time.Second, "bad") {
		t.Error("the part is not quarantined")
	}
}

// An answer that began before the crash says nothing: a part may begin to crash engines at any time.
func TestEarlierAnswersAreNoProof(t *testing.T) {
	var tab Table
	crashAt(&tab, time.Second, "r", "e", "bad", "own")
	if news := tab.MarkSound([]string{"bad", "x"}, at(900*time.Millisecond), at(1400*time.Millisecond)); len(news) > 0 {
		t.Errorf("the answer changed %+v", news)
	}
}

// A wrong quarantine ends as soon as one request with the part is answered.
func TestSoundTrialEndsQuarantine(t *testing.T) {
	var tab Table
	crashOnEach(&tab, 3, "part")
	tab.MarkSound([]string{"part", "x"}, at(21*time.Second), at(22*time.Second))
	if isQuarantined(&tab, 22*time.Second, "part") {
		t.Error("the part is still quarantined")
	}
}

// Without further crashes, a quarantine lapses when the crashes are too old.
func TestQuarantineLapses(t *testing.T) {
	var tab Table
	crashOnEach(&tab, 3, "part")
	if !isQuarantined(&tab, CrashLifetime-time.Second, "part") || isQuarantined(&tab, CrashLifetime, "part") {
		t.Error("want the quarantine to end with the lifetime of the first crash")
	}
}

// While a part goes on crashing engines, few trials reach them, over all processes, however many of them there are and
// however many requests come.
func TestTrialsAreFew(t *testing.T) {
	for _, processes := range []int{1, 8, 76, 291} {
		tables := make([]Table, processes)
		for i := range 3 {
			c := NewCrash(fmt.Sprint("r", i), fmt.Sprint("e", i), "", []string{"bad", fmt.Sprint("own", i)})
			for p := range tables {
				tables[p].Merge([]Crash{c}, at(time.Duration(i)*500*time.Millisecond))
			}
		}
		trials := 0
		for when := 2 * time.Second; when < time.Minute; when += 100 * time.Millisecond {
			for p := range tables {
				q, ok := tables[p].Quarantined([]string{"bad"}, at(when))
				if !ok || !tables[p].AllowTrial(q, p, processes, at(when)) {
					continue
				}
				trials++
				c := NewCrash(fmt.Sprint("t", trials), fmt.Sprint("te", trials), "", []string{"bad", fmt.Sprint("trial", trials)})
				for p := range tables {
					tables[p].Merge([]Crash{c}, at(when))
				}
			}
		}
		if trials == 0 || trials > 2 {
			t.Errorf("%d trials with %d processes in a minute, want 1 or 2", trials, processes)
		}
	}
}

// A part of which one request comes each ten seconds is tried within a minute or two, also by many processes.
func TestRareRequestsAreTried(t *testing.T) {
	const processes = 76
	var tab Table
	crashOnEach(&tab, 3, "part")
	for i := 1; i <= 12; i++ {
		q, ok := tab.Quarantined([]string{"part"}, at(time.Duration(i)*10*time.Second))
		if ok && tab.AllowTrial(q, i*31%processes, processes, at(time.Duration(i)*10*time.Second)) {
			return
		}
	}
	t.Error("no request was tried in two minutes")
}

// A request is not sent to a third engine after two have crashed under it, unless its shared parts are sound.
func TestRequestIsNotSentToThirdEngine(t *testing.T) {
	var tab Table
	crashAt(&tab, 0, "r", "e1", "first", "own")
	if !tab.MayRetry("r") {
		t.Error("the request may not be sent to a second engine")
	}
	crashAt(&tab, time.Second, "r", "e2", "first", "own")
	if tab.MayRetry("r") {
		t.Error("the request may be sent to a third engine")
	}
	tab.MarkSound([]string{"first", "x"}, at(1100*time.Millisecond), at(1600*time.Millisecond))
	if !tab.MayRetry("r") {
		t.Error("the request may not be sent to a third engine although its shared part is sound")
	}
}

// A request that meets the crash of a failure domain at two of its engines is not given up for that; a crash elsewhere, or
// later, counts.
func TestDomainCrashDoesNotEndRequest(t *testing.T) {
	for _, x := range []struct {
		name   string
		domain string
		after  time.Duration
		want   bool
	}{
		{"together", "a", 20 * time.Millisecond, true},
		{"another domain", "b", 20 * time.Millisecond, false},
		{"later", "a", minSpacing, false},
	} {
		var tab Table
		tab.Merge([]Crash{NewCrash("r", "e1", "a", []string{"first", "own"})}, start)
		tab.Merge([]Crash{NewCrash("r", "e2", x.domain, []string{"first", "own"})}, at(x.after))
		if got := tab.MayRetry("r"); got != x.want {
			t.Errorf("%s: the request may be sent on: %v, want %v", x.name, got, x.want)
		}
	}
}

// requireConvergence lets the tables exchange what they know for some rounds, and fails the test unless they keep at most the given
// number of crashes and have the same of the parts in quarantine after minSuspicion.
func requireConvergence(t *rapid.T, tables []Table, now time.Duration, rounds, kept int, parts ...string) {
	t.Helper()
	for range rounds {
		for i := range tables {
			for j := range tables {
				tables[i].Merge(tables[j].All(at(now)), at(now))
			}
		}
	}
	later := now + minSuspicion
	for i := range tables {
		if n := len(tables[i].crashes); n > kept {
			t.Fatalf("%d crashes are kept", n)
		}
		for _, p := range parts {
			if isQuarantined(&tables[i], later, p) != isQuarantined(&tables[0], later, p) {
				t.Fatalf("processes 0 and %d disagree on %s", i, p)
			}
		}
	}
}

// Whatever the order in which the processes exchange what they know, they decide the same, within the bounds of memory.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]Table, 3)
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "wait")) * time.Millisecond
			tab := &tables[rapid.IntRange(0, 2).Draw(t, "process")]
			parts := []string{
				rapid.SampledFrom([]string{"a", "b"}).Draw(t, "first"), rapid.SampledFrom([]string{"c", "d", "e"}).Draw(t, "second"), fmt.Sprint("own", step),
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				crashAt(tab, now, fmt.Sprint("r", step), fmt.Sprint("e", step), parts...)
			case 1:
				tab.MarkSound(parts, at(now-BeginWindow), at(now))
			default:
				tab.Merge(tables[rapid.IntRange(0, 2).Draw(t, "from")].All(at(now)), at(now))
			}
		}
		requireConvergence(t, tables, now, 2, maxCrashes, "a", "b", "c", "d", "e")
	})
}

// Records that are out of bounds are dropped.
func TestMergeRefusesInvalidCrashes(t *testing.T) {
	long := make([]byte, maxIDBytes+1)
	many := make([]string, maxParts+1)
	var tab Table
	for _, c := range []Crash{
		{},
		{Request: "r", Endpoint: "e"},
		{Parts: many},
		{Parts: []string{string(long)}},
		{Parts: []string{"a"}, Age: -1},
		{Parts: []string{"a"}, Age: CrashLifetime + 1},
		{Parts: []string{"a"}, Request: string(long)},
		{Parts: []string{"a"}, Domain: string(long)},
	} {
		if news := tab.Merge([]Crash{c}, start); len(news) > 0 {
			t.Errorf("%+v was added", c)
		}
	}
	if n := len(NewCrash("r", "e", "", many).Parts); n != maxParts {
		t.Errorf("%d parts are kept, want %d", n, maxParts)
	}
	// Callers choose the ids of requests and parts; long ones must not hide a crash.
	for i := range MaxRequestCrashes {
		crashAt(&tab, time.Duration(i)*time.Second, string(long), fmt.Sprint("e", i), string(long), "own")
	}
	if tab.MayRetry(string(long)) {
		t.Error("a request with a long id may crash further engines")
	}
}

// A loss that is noticed only after a long silence still counts by the time at which the engine gave its last sign.
func TestLateNoticedLossIsEarly(t *testing.T) {
	began := at(time.Second)
	for _, x := range []struct {
		loss Loss
		want bool
	}{
		{Loss{LastSign: began}, false},
		{Loss{Began: began, LastSign: began}, true},
		{Loss{Began: began, LastSign: began.Add(BeginWindow - time.Millisecond)}, true},
		{Loss{Began: began, LastSign: began.Add(BeginWindow)}, false},
	} {
		if got := x.loss.IsEarly(); got != x.want {
			t.Errorf("a loss %s after the beginning counts as early: %t", x.loss.Lasted(), got)
		}
	}
}

// Streams that had just begun on the engines of other requests' crashes are noticed earlier, and must not make the first part
// look guilty.
func TestBystandersOfSilentCrashesAreNotBlamed(t *testing.T) {
	var tab Table
	for i := range 4 {
		fellSilent := time.Duration(i) * 700 * time.Millisecond
		engine := fmt.Sprint("e", i)
		bystander := NewCrash(fmt.Sprint("s", i), engine, "", []string{"first", fmt.Sprint("sound", i)})
		bystander.Age = 400 * time.Millisecond
		tab.Merge([]Crash{bystander}, at(fellSilent+bystander.Age))
		cause := NewCrash(fmt.Sprint("r", i), engine, "", []string{"first", "bad", fmt.Sprint("own", i)})
		cause.Age = 1100 * time.Millisecond
		tab.Merge([]Crash{cause}, at(fellSilent+cause.Age))
	}
	now := at(4 * time.Second)
	if _, ok := tab.Quarantined([]string{"first", "sound"}, now); ok {
		t.Error("the first part is quarantined")
	}
	if _, ok := tab.Quarantined([]string{"first", "bad", "x"}, now); !ok {
		t.Error("the part in all crashes is not quarantined")
	}
}

// Replays two parts that crash engines on hundreds of engines, the second after the first: many more crashes than a table
// holds must neither hide the second part nor end the quarantine of the first.
func TestManyCrashesHideNoPart(t *testing.T) {
	var tab Table
	crashes := func(part string, from time.Duration) {
		for i := range 100 {
			when := from + time.Duration(i)*40*time.Millisecond
			id := fmt.Sprint(part, i)
			crashAt(&tab, when, id, "e-"+id, "first", part, id)
			answered := when + 20*time.Millisecond
			tab.MarkSound([]string{"first", "sound-" + id}, at(answered), at(answered))
		}
	}
	crashes("bad", 0)
	crashes("worse", 5*time.Second)
	now := at(9 * time.Second)
	for _, part := range []string{"bad", "worse"} {
		if _, ok := tab.Quarantined([]string{"first", part, "x"}, now); !ok {
			t.Errorf("the part %s is not quarantined", part)
		}
	}
	if _, ok := tab.Quarantined([]string{"first", "sound"}, now); ok {
		t.Error("the first part is quarantined")
	}
	if n := len(tab.crashes); n > maxCrashes {
		t.Errorf("%d crashes are kept", n)
	}
}
