package replicaset

// Departure is what a departing member knows when it decides whether it may stop. It reads no clock and sends nothing.
type Departure struct {
	View View   // the newest that it knows
	Self string // its internal address

	WasMember        bool // it was a member when the departure began
	Staying          int  // other members of the view that have just replied that they may vote and do not stop before this one
	JoinedIncomplete bool // a member that joined since the departure began has not replied that it may vote
	JoiningMember    bool // a core node that waits to become a member was heard of lately, here or by a member that replied
	OthersDepart     bool // every other member is about to stop as well
}

// MayStop tells whether the member may stop without more loss than that of itself: a quorum of others is known to stay, from
// which each member that is being rebuilt can be rebuilt as well, since no rebuild needs more snapshots than a quorum. A member
// that has not replied counts as lost.
//
// A joining member that could take its place is waited for, as those who stop a member after they have started its successor
// do not count it as lost. Where all others stop too, or are too few to be a quorum, waiting keeps nothing up.
func (d Departure) MayStop() bool {
	replaced := !d.View.Has(d.Self)
	switch {
	case !d.WasMember:
		return true
	case d.JoinedIncomplete:
		return false
	case d.JoiningMember && !replaced:
		return false
	case d.OthersDepart:
		return true
	}
	return d.KeepsQuorum()
}

// KeepsQuorum tells whether a quorum is known to be there without this member, or the others are too few for one in any case.
func (d Departure) KeepsQuorum() bool {
	return !d.WasMember || d.Staying >= d.View.Quorum() || d.others() < d.View.Quorum()
}

// others is the number of members of the view beside this one.
func (d Departure) others() int {
	if d.View.Has(d.Self) {
		return len(d.View.Members) - 1
	}
	return len(d.View.Members)
}
