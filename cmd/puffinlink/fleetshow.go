package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"puffinlink.example/puffinlink/internal/controlplane/fleet"
)

type fleetShowCommand struct{ operatorConnection }

func (c *fleetShowCommand) Execute([]string) error {
	var s fleet.Status
	if err := c.get("/v1/fleet", &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	fmt.Fprintf(stdout, "%s: open %t, hears nothing %t, leader %s, contracts of version %d sure for %.1f s, quotas of version %d\n",
		s.Node, s.Open, s.Isolated, s.Leader, s.Contracts.Version, s.ContractsConfirmedFor, s.QuotasVersion)
	w := tabwriter.NewWriter(stdout, 0, 8, 2, ' ', 0)
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\theard %.1f s ago\n", m.Node, m.Status, m.SinceReceived)
	}
	for tenant, x := range s.Contracts.Contracts {
		fmt.Fprintf(w, "contract %s\t%s\t%s\n", tenant, strings.Join(x.Zones, " "), strings.Join(x.Indexes, " "))
	}
	for tenant, q := range s.Quotas {
		fmt.Fprintf(w, "quota %s\t%g a second\tburst %g, floors %g\n", tenant, q.PerS, q.Burst, q.MinimumShare)
	}
	for _, j := range s.Outliers {
		fmt.Fprintf(w, "judged %s\t%.1f s ago\n", j.Backend, j.Age)
	}
	return w.Flush()
}
