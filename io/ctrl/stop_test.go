package ctrl

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an operator's change that ends without an answer because the control process stops.
func TestChangeDuringStopIsAnswered(t *testing.T) {
	r := startWithEmptyMember(t)
	answered := make(chan string, 1)
	go func() {
		body := `{"objects":[{"kind":"service","name":"rondas-app","type":"plain"}]}`
		req, err := http.NewRequest(http.MethodPost, "http://"+r.Listen+"/v1/changes?wait-ms=60000", strings.NewReader(body))
		if err != nil {
			t.Error(err)
		}
		req.Header.Set("Authorization", "Bearer "+testToken)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		if err != nil {
			t.Error(err)
		}
		answered <- res.Status + " " + string(text)
	}()
	time.Sleep(300 * time.Millisecond)
	r.stop()
	if got := <-answered; !strings.HasPrefix(got, "200") && !strings.HasPrefix(got, "503") {
		t.Errorf("the change got %s", got)
	}
}
