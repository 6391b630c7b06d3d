package fleet

import (
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/aggregatorstore"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failuredetector"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/outlier"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/sealedmessage"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/udptransport"
)

const (
	reopenInterval = 0.25 // while another process still holds our address or directory
	// maxPeerBytesPerSecond is what one other node may send us: some hundred requests, and a table of contracts now and then.
	maxPeerBytesPerSecond = 512 << 10
	// outlierSeedMask keeps the gossip of outlier reports from drawing the same numbers as the failure detector.
	outlierSeedMask = 0x5bd1e995
)

// open opens directory and address unless they are open. The process before this one releases both as it begins to stop, so
// that an error is tried again, and logged only where it is not the last one.
func (f *Fleet) open() {
	err := f.tryOpen()
	if err == nil {
		if f.openError != "" {
			f.logger.Info("fleet opened")
		}
		f.openError = ""
		return
	}
	f.due.open = f.now + reopenInterval
	if text := err.Error(); text != f.openError {
		f.openError = text
		f.logger.Error("fleet not opened", zap.Error(err))
	}
}

func (f *Fleet) tryOpen() (err error) {
	if f.settings.Directory != "" && f.store == nil {
		if f.store, f.stored, err = aggregatorstore.OpenLog(f.settings.Directory, 0, f.logger); err != nil {
			return err
		}
	}
	if f.transport == nil {
		addresses := map[membership.Name]string{}
		for _, name := range f.peers {
			addresses[name] = f.settings.Membership.Find(name).Address
		}
		if f.transport, err = udptransport.Listen(f.settings.Membership.Find(f.settings.Self).Address, addresses, f.counters); err != nil {
			return err
		}
	}
	return f.startMachines()
}

// startMachines makes the state machines from what was stored.
func (f *Fleet) startMachines() (err error) {
	incarnation := sealedmessage.Incarnation(f.startUnix * 1e9)
	stored := f.readTables()
	incarnation = max(incarnation, stored.Incarnation+1)
	limits := sealedmessage.Limits{BytesPerSecond: maxPeerBytesPerSecond, Burst: 2 * sealedmessage.MaxBytes}
	if f.sealer, err = sealedmessage.New(f.settings.Self, incarnation, f.settings.Key, f.peers, limits); err != nil {
		return err
	}
	f.detector = failuredetector.New(failuredetector.DefaultSettings(), f.settings.Self, failuredetector.Incarnation(incarnation), f.peers, f.settings.Seed, f.now)
	f.outliers.store = outlier.NewStore(f.settings.Self, f.peers, f.settings.Seed^outlierSeedMask)
	f.outliers.version = outlier.Version(incarnation)
	if stored.Table != nil {
		f.tables.contracts, f.tables.versions.Contracts = stored.Table, stored.Table.Version
	}
	// The quotas of the operator's file apply once the voters have agreed on them: a minimum may be spent only while all other
	// nodes know that it is this node's.
	f.tables.quotas, f.tables.versions.Quotas = stored.Quotas, stored.QuotasAt
	f.saveTables()
	if f.settings.Membership.Find(f.settings.Self).Votes {
		if err := f.startVoter(&f.stored); err != nil { // the node takes part all the same, but does not vote
			f.stepOut(err)
		}
	}
	f.stored = aggregatorstore.LogContents{ID: f.stored.ID}
	f.publish()
	f.publishZones()
	return nil
}

// close closes address and directory, and rejects the commands that wait.
func (f *Fleet) close() {
	if f.transport != nil {
		f.transport.Close()
		f.transport = nil
	}
	if f.store != nil {
		f.store.Stop()
		f.store = nil
	}
	f.rejectCommands("the mixer stops")
}

func (f *Fleet) isReleased() bool {
	select {
	case <-f.released:
		return true
	default:
		return false
	}
}
