package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/nodesettings"
)

// readMetrics waits until metrics are served, and returns them.
func readMetrics(t *testing.T, address string) string {
	t.Helper()
	url := "http://" + address + "/metrics"
	requestUntilServed(t, url)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestProcessesServeMetrics(t *testing.T) {
	cases := []struct {
		name      string
		run       func(context.Context, *processEnvironment) error
		wantLines []string
	}{
		{"agent", runAgent, []string{"puffinlink_in_contact 0", "puffinlink_known_leaders 0",
			"# TYPE puffinlink_configuration_version gauge",
			"# TYPE puffinlink_known_core gauge",
			"# TYPE puffinlink_known_agents gauge"}},
		{"proxy", runProxy, []string{"puffinlink_ready 0", "puffinlink_connections 0",
			"# TYPE puffinlink_busy_connections gauge"}},
		{"coordinator", runCoordinator, []string{"puffinlink_in_contact 0", "puffinlink_disk_complete 1", "puffinlink_configuration_version 0", "puffinlink_live_members 1",
			"# TYPE puffinlink_view_members gauge",
			"# TYPE puffinlink_agents gauge",
			"# TYPE puffinlink_searcher_connections gauge",
			"# TYPE puffinlink_searcher_calls_waiting gauge"}},
	}
	for _, c := range cases {
		Convey("The "+c.name+" serves its metrics", t, func() {
			port := freePorts(t, 7)
			settings, err := nodesettings.Parse(fmt.Appendf(nil, "nodeName=n\nipAddress=127.0.0.1\ninternalPortRange=%d,%d\n"+
				"listenAddresses.front=127.0.0.1:%d\nlistenAddresses.readiness=127.0.0.1:%d\nlistenAddresses.control=127.0.0.1:%d\n"+
				"seedNodes=127.0.0.1:1\nbounds.gracePeriodS=1\nfirstStart=true\ndataDirectory=%s\n", port, port+2, port+3, port+4, port+5, t.TempDir()))
			So(err, ShouldBeNil)
			ctx, stop := context.WithCancel(context.Background())
			changes := make(chan nodesettings.Settings)
			context.AfterFunc(ctx, func() { close(changes) })
			env := &processEnvironment{settings: settings, changes: changes, log: zap.NewNop(), metricsAddress: fmt.Sprint("127.0.0.1:", port+6)}
			ended := make(chan error, 1)
			go func() { ended <- c.run(ctx, env) }()
			text := readMetrics(t, env.metricsAddress)
			stop()
			So(<-ended, ShouldBeNil)
			for _, line := range c.wantLines {
				So(text, ShouldContainSubstring, "\n"+line+"\n")
			}
		})
	}
}
