package slotd

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/loopback"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/platform"
)

// readyTimeout bounds the wait for the slot to become ready.
const readyTimeout = 10 * time.Second

// options returns the options of a slot that serves the only target of a configuration.
func options(t *testing.T, fakePlatform *platform.Platform, platformAddress, engineAddress string) Options {
	t.Helper()
	s := settings.Settings{
		Name: "desk-1", Centre: "c1", Platform: netip.MustParseAddrPort(platformAddress), Engine: netip.MustParseAddrPort(engineAddress),
		Listen: loopback.FreeAddress(t), Operators: loopback.FreeAddress(t), Drain: configuration.Duration(10 * time.Millisecond),
	}
	s.Default()
	config := &configuration.Configuration{
		Format: "1.0", Revision: 1, Centres: []configuration.Centre{{Name: "c1"}},
		Targets: []configuration.Target{{
			Name: "desk-1", Centre: "c1", Kind: configuration.KindEngine, Pool: "desk", Width: 1, Address: s.Listen,
		}},
	}
	data, err := config.Encode()
	if err != nil {
		t.Fatal(err)
	}
	fakePlatform.Publish(1, data)
	return Options{
		Options: node.Options{Settings: &s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: time.Now},
		Random:  rand.New(rand.NewPCG(1, 1)),
	}
}

func TestStopLeavesNoGoroutine(t *testing.T) {
	is := is.New(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	defer http.DefaultClient.CloseIdleConnections()
	fakePlatform := platform.New()
	platformServer := httptest.NewServer(fakePlatform.Handler())
	defer platformServer.Close()
	engineServer := httptest.NewServer(engine.New(engine.Options{Step: time.Millisecond}).Handler())
	defer engineServer.Close()
	o := options(t, fakePlatform, platformServer.Listener.Addr().String(), engineServer.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- New(o).Run(ctx) }()
	ready := false
	for deadline := time.Now().Add(readyTimeout); !ready && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		response, err := http.Get("http://" + o.Settings.Operators.String() + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		ready = response.StatusCode == http.StatusOK
	}
	is.True(ready)
	cancel()
	is.NoErr(<-result)
}
