package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"wasabiweir/core/clock"
	"wasabiweir/core/place"
	"wasabiweir/io/metric"
	"wasabiweir/io/wire"
)

// Limits that hundreds of endpoints name in all their answers must not cost each relay and keeper a message each.
func TestManyLimitsGoInFewMessages(t *testing.T) {
	const endpoints, seconds = 500, 20
	scope, now := tally.NewTestScope("", nil), &clock.Manual{}
	now.Set(time.Unix(10000, 0))
	k := &Keeper{Clock: now, Log: zap.NewNop(), Metrics: &metric.Scope{Scope: scope}}
	k.limits = newExchange[place.LimitNotice](k, wire.KindLimits, &place.LimitTable{}, limitResendInterval)
	var relays place.LimitTable
	notices := 0
	for tick := range seconds * 100 {
		e := tick * endpoints / 100
		for i := range endpoints / 100 {
			news := relays.Name(fmt.Sprint((e+i)%endpoints), 0.5, now.Now())
			notices += len(news)
			k.limits.merge(news)
		}
		now.Advance(10 * time.Millisecond)
		k.limits.passOn(k.limits.takeDue())
	}
	messages := int(scope.Snapshot().Counters()["news-messages+kind=limits"].Value())
	if most := int(seconds * time.Second / newsInterval); messages > most || messages == 0 {
		t.Errorf("%d messages to each process in %d s, want %d at most", messages, seconds, most)
	}
	if perLimit := float64(notices) / endpoints; perLimit > seconds/2 {
		t.Errorf("%.1f notices of each limit in %d s", perLimit, seconds)
	}
}
