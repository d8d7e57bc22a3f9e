package main

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/platform/standin"
)

// The port of the store, and the capacity and timing of the backend servers.
const (
	storePort     = 8225
	serverSlots   = 8
	serverQueue   = 24
	eventInterval = 20 * time.Millisecond // three tokens at speed 1
	callDuration  = 15 * time.Millisecond
)

var (
	zones  = []string{"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"}
	speeds = []float64{0.6, 1.7, 1.7}
)

func zoneOf(i int) string { return zones[i%len(zones)] }

func servePlatform(ctx context.Context, cmd *cli.Command) error {
	store := standin.NewStore()
	address := fmt.Sprintf("%s.250:%d", cmd.String("subnet"), storePort)
	srv := &http.Server{Addr: address, Handler: store.Handler(), ReadHeaderTimeout: time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.ListenAndServe() }()
	standin.NewConfig().Put(store)
	if err := startServers(store, cmd); err != nil {
		return err
	}
	for i := range cmd.Int("hosts") {
		if err := writeSettings(cmd, i, address); err != nil {
			return err
		}
	}
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return srv.Close()
	}
}

func startServers(store *standin.Store, cmd *cli.Command) error {
	for i := range cmd.Int("engines") {
		_, err := standin.StartServer(store, standin.ServerSpec{
			ID: fmt.Sprintf("engine-%d", i), Service: standin.EngineService, Zone: zoneOf(i), Address: "127.0.0.1:0",
			Slots: serverSlots, Queue: serverQueue, Streams: true, PerEvent: eventInterval, Speed: speeds[i%len(speeds)],
		})
		if err != nil {
			return err
		}
	}
	for i := range cmd.Int("apps") {
		_, err := standin.StartServer(store, standin.ServerSpec{
			ID: fmt.Sprintf("app-%d", i), Service: standin.AppService, Zone: zoneOf(i), Address: "127.0.0.1:0",
			Slots: serverSlots, Queue: serverQueue, Work: callDuration,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file of one host.
func writeSettings(cmd *cli.Command, i int, store string) error {
	name := fmt.Sprintf("entry-%d", i)
	settings := standin.HostSettings{Name: name, IP: fmt.Sprintf("%s.%d", cmd.String("subnet"), i+1), Zone: zoneOf(i), Store: store}
	return settings.Write(filepath.Join(cmd.String("dir"), name+".conf"))
}
