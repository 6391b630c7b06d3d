package replicaset_test

import (
	"context"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// ruleMutant breaks one rule in a test; the zero value breaks none.
type ruleMutation struct {
	name                    string
	votesBeforeRebuild      bool // a joining member votes before it is rebuilt
	votesInOldView          bool // a member votes for a while in the view before the one that it has learned
	snapshotsInOldView      bool // a member gives a snapshot of its tables without having stored the receiver's view
	votesWithOutdatedDisk   bool // a member that was replaced votes with its old disk when it rejoins
	commitsWithoutQuorum    bool // a single member decides the next view
	stopsWithoutHandover    bool // a departing member does not wait for its successor
	refusesOwnReplacement   bool // a departing member does not vote for its own replacement
	replacedGivesNoSnapshot bool // a replaced member gives no snapshot
}

// unilateralSuccession commits a view without the other members.
type unilateralSuccession struct{}

// Commit implements replicaset.Succession.
func (unilateralSuccession) Commit(_ context.Context, _, next replicaset.View) (replicaset.View, error) {
	return next, nil
}

// Pending implements replicaset.Succession.
func (unilateralSuccession) Pending(replicaset.View) (replicaset.View, bool, error) {
	return replicaset.View{}, false, nil
}

// neverAbsentViews say that this process has always been a member.
type neverAbsentViews struct{ *replicaset.Manager }

// Absences implements rebuild.Views.
func (neverAbsentViews) Absences() uint64 { return 0 }

// prematureViews return a received view as if it were stored.
type prematureViews struct {
	*replicaset.Manager
	mutex    sync.Mutex
	received replicaset.View
}

// Learn implements rebuild.Views.
func (v *prematureViews) Learn(view replicaset.View) error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.received = view
	return nil
}

// View implements rebuild.Views.
func (v *prematureViews) View() replicaset.View {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if known := v.Manager.View(); known.Version >= v.received.Version {
		return known
	}
	return v.received
}

// staleViewTime is how long a member works with the old view in a mutant.
const staleViewDuration = 4 * time.Second

// staleView returns a view some time after it became the current one.
func staleView(current func() replicaset.View) func() replicaset.View {
	var mutex sync.Mutex
	var served, newest replicaset.View
	var since time.Time
	return func() replicaset.View {
		mutex.Lock()
		defer mutex.Unlock()
		if view := current(); view.Version != newest.Version {
			served, newest, since = newest, view, time.Now()
		}
		if served.Version == 0 || time.Since(since) >= staleViewDuration {
			served = newest
		}
		return served
	}
}
