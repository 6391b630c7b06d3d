package replicaset_test

import (
	"context"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// ruleMutation selects a rule that a test violates on purpose. The zero value violates none.
type ruleMutation struct {
	name                    string
	votesBeforeRebuild      bool // a joining member votes before it is rebuilt
	votesInOldView          bool // a member keeps voting in its previous view for staleViewDuration after it learned the next one
	snapshotsInOldView      bool // a member provides a snapshot without having stored the receiver's view
	votesWithOutdatedDisk   bool // a replaced member votes with its outdated disk when it rejoins
	commitsWithoutQuorum    bool // a single member commits the next view
	stopsWithoutHandover    bool // a departing member does not wait for its successor
	refusesOwnReplacement   bool // a departing member does not vote for its own replacement
	replacedGivesNoSnapshot bool // a replaced member provides no snapshot
}

// unilateralViewChange commits a view without the other members.
type unilateralViewChange struct{}

// Commit implements replicaset.ViewChange.
func (unilateralViewChange) Commit(_ context.Context, _, next replicaset.View) (replicaset.View, error) {
	return next, nil
}

// Pending implements replicaset.ViewChange.
func (unilateralViewChange) Pending(replicaset.View) (replicaset.View, bool, error) {
	return replicaset.View{}, false, nil
}

// neverAbsentViews reports that the process has never been absent from the view.
type neverAbsentViews struct{ *replicaset.Manager }

// Absences implements rebuild.Views.
func (neverAbsentViews) Absences() uint64 { return 0 }

// prematureViews returns a received view as if it had been stored.
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

// staleViewDuration is how long a member uses its previous view if votesInOldView is set.
const staleViewDuration = 4 * time.Second

// staleView returns a function that returns each view only staleViewDuration after it became the current one.
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
