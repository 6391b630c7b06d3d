package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"puffinlink.example/puffinlink/internal/controlplane/fleet"
)

type fleetShowCommand struct{ operatorConnection }

func (c *fleetShowCommand) Execute([]string) error {
	var status fleet.Status
	if err := c.get("/v1/fleet", &status); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	fmt.Fprintf(stdout, "%s: open %t, hears nothing %t, leader %s, contracts of version %d sure for %.1f s, quotas of version %d\n",
		status.Node, status.Open, status.Isolated, status.Leader, status.Contracts.Version, status.ContractsConfirmedFor, status.QuotasVersion)
	writer := tabwriter.NewWriter(stdout, 0, 8, 2, ' ', 0)
	for _, member := range status.Members {
		fmt.Fprintf(writer, "%s\t%s\theard %.1f s ago\n", member.Node, member.Status, member.SinceReceived)
	}
	for tenant, contract := range status.Contracts.Contracts {
		fmt.Fprintf(writer, "contract %s\t%s\t%s\n", tenant, strings.Join(contract.Zones, " "), strings.Join(contract.Indexes, " "))
	}
	for tenant, quota := range status.Quotas {
		fmt.Fprintf(writer, "quota %s\t%g a second\tburst %g, floors %g\n", tenant, quota.Rate, quota.Burst, quota.MinimumShare)
	}
	for _, outlier := range status.Outliers {
		fmt.Fprintf(writer, "judged %s\t%.1f s ago\n", outlier.Backend, outlier.Age)
	}
	return writer.Flush()
}
