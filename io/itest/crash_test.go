package itest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Generations whose prompts have a part in common that kills each engine must not reach one engine after the other, and
// other generations with the same beginning must go on.
func TestPromptsThatCrashEngines(t *testing.T) { testPromptsThatCrashEngines(t, "-die-on-word") }

// The same for engines that stop responding and still accept connections.
func TestPromptsThatSilenceEngines(t *testing.T) { testPromptsThatCrashEngines(t, "-hang-on-word") }

// isResponding reports whether the engine at the address returns its load.
func isResponding(address string) bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + address + "/metrics")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return true
}

// testPromptsThatCrashEngines runs the test with engines that crash by the flag.
func testPromptsThatCrashEngines(t *testing.T, crashFlag string) {
	t.Parallel()
	const engines = 12
	s := newSystem(t, systemSpec{controls: 1, routers: 2, engines: engines, engineArgs: []string{crashFlag, "deadly"}})
	beginning := strings.Repeat("mouth history of the mare ", 8)
	complete := func(i int, prompt string) (int, string) {
		body := fmt.Sprintf(`{"model":"dente","prompt":%q,"max_tokens":40}`, prompt)
		status, _, text := sendRequest(t, http.MethodPost, s.routerAddresses[i%len(s.routerAddresses)], "/v1/completions", body, nil)
		return status, text
	}
	for i := range 10 {
		if status, text := complete(i, fmt.Sprint(beginning, "sound ", i)); status != http.StatusOK {
			t.Errorf("a sound generation is answered %d %s", status, text)
		}
		prompt := beginning + "deadly " + strings.Repeat("and more of it ", 12) + fmt.Sprint(i)
		if status, text := complete(i, prompt); status == http.StatusOK {
			t.Errorf("generation %d is answered %s", i, text)
		}
		time.Sleep(300 * time.Millisecond)
	}
	dead := 0
	for _, address := range s.engineAddresses {
		if !isResponding(address) {
			dead++
		}
	}
	// Three requests show which part is to blame, and none of them reaches a third engine.
	if dead < 3 || dead > 6 {
		t.Errorf("%d of %d engines do not respond, want 3 to 6", dead, engines)
	}
	// The trial of the part is due some time after its last crash, and runs once.
	checkRefused := func(router int) {
		t.Helper()
		earlier := s.countTrials()
		status, text := complete(router, beginning+"deadly "+strings.Repeat("and more of it ", 12)+"once more")
		if earlier == 0 && s.countTrials() == 1 && status == http.StatusServiceUnavailable && strings.Contains(text, `"outcome":"unknown"`) {
			return
		}
		if status != http.StatusServiceUnavailable || !strings.Contains(text, "crashes-engines") || !strings.Contains(text, `"outcome":"not-run"`) {
			t.Errorf("router %d answers a generation with the part with %d %s", router+1, status, text)
		}
	}
	checkRefused(0)
	// A router that is started again learns from the others which prompts crash engines.
	for i, p := range s.routers {
		p.kill()
		p.launch()
		eventually(t, 10*time.Second, func() error { return checkReady(s.routerAddresses[i]) })
		time.Sleep(500 * time.Millisecond)
		checkRefused(i)
	}
}
