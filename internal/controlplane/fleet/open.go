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
	// reopenInterval is the time, in seconds, between attempts to open the address and the directory while another process still
	// holds one of them.
	reopenInterval = 0.25
	// maxPeerBytesPerSecond limits the bytes accepted from one other node. It allows for about a hundred requests a second, and for
	// an occasional table of contracts.
	maxPeerBytesPerSecond = 512 << 10
	// outlierSeedMask gives the gossip of outlier reports a sequence of random numbers that differs from the failure detector's.
	outlierSeedMask = 0x5bd1e995
)

// open opens the directory and the address if they are not open yet. The previous process of this node releases both when it
// begins to stop, so open is retried after an error. It logs an error only if it differs from the one before.
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
	return f.startStateMachines()
}

// startStateMachines creates the state machines from the stored data.
func (f *Fleet) startStateMachines() (err error) {
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
	// The quotas of the operator's file do not apply until the voters have agreed on them: this node may spend a minimum only if
	// the granter reserves it.
	f.tables.quotas, f.tables.versions.Quotas = stored.Quotas, stored.QuotasVersion
	f.saveTables()
	if f.settings.Membership.Find(f.settings.Self).Votes {
		if err := f.startVoter(&f.stored); err != nil { // the node still takes part in the fleet, but does not vote
			f.suspendVoter(err)
		}
	}
	f.stored = aggregatorstore.LogContents{ID: f.stored.ID}
	f.publishTrafficView()
	f.publishZoneRules()
	return nil
}

// close closes the address and the directory, and rejects the pending commands.
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
