package main

import (
	"fmt"
	"strconv"

	"puffinlink.example/puffinlink/internal/tools/plan"
)

type planBuyCommand struct {
	planOptions
	Spare int `long:"spare" value-name:"NUMBER" description:"Number of backends that may be lost in addition to a location."`
	Most  int `long:"most" value-name:"NUMBER" default:"100" description:"Maximum number of backends in one location."`
}

// Execute implements flags.Commander.
func (c *planBuyCommand) Execute([]string) error {
	input, err := c.load()
	if err != nil {
		return err
	}
	breaks, err := plan.FindBreakingLoad(&input.fleet, &input.load, c.Seed, nil)
	if err != nil {
		return err
	}
	breakingLoad := input.load.Scaled(breaks.QueriesPerSecond / input.load.QueriesPerSecond)
	outcome := plan.Emulate(&input.fleet, &breakingLoad, c.Seed, 0)
	busyCores, cores := 0.0, 0.0
	for i, backend := range input.fleet.Backends {
		busyCores, cores = busyCores+outcome.Use[i]*float64(backend.Cores), cores+float64(backend.Cores)
	}
	demand := busyCores / breaks.QueriesPerSecond * input.load.QueriesPerSecond
	offers := c.offers(&input.fleet, busyCores/cores)
	purchase, err := plan.CheapestPurchase(offers, demand, c.Spare)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(map[string]any{"offers": offers, "buy": purchase, "demand_cores": demand, "notes": input.notes})
	}
	printNotes(input.notes)
	fmt.Fprintf(stdout, "%.1f cores of work a second at %.0f lookups a second; the goals break at a use of %.0f%%\n", demand, input.load.QueriesPerSecond, 100*busyCores/cores)
	rows := [][]string{}
	for i, offer := range offers {
		rows = append(rows, []string{offer.Location, strconv.Itoa(purchase.Counts[i]), fmt.Sprintf("%.4g", offer.Price)})
	}
	writeTableWithHeader(stdout, "LOCATION SEARCHERS PRICE-EACH", rows)
	fmt.Fprintf(stdout, "price %.4g; no purchase costs less than %.4g\n", purchase.Price, purchase.Bound)
	return nil
}

// offers returns the backends that can be bought: for each location, a copy of its first backend. usableShare is the
// utilization of cores up to which the goals are met.
func (c *planBuyCommand) offers(fleet *plan.Site, usable float64) []plan.Offer {
	var offers []plan.Offer
	for _, location := range fleet.Locations {
		for _, backend := range fleet.Backends {
			if backend.Location == location {
				offers = append(offers, plan.Offer{Location: location, Price: max(backend.Price, 1e-9), Capacity: usable * float64(backend.Cores), Max: c.Most})
				break
			}
		}
	}
	return offers
}
