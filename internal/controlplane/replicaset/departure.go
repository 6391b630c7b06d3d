package replicaset

// Departure is the information with which a departing member decides whether it may stop. Its methods are pure functions.
type Departure struct {
	View View   // newest view that the member knows
	Self string // the member's internal address

	WasMember          bool // whether it was a member when the departure began
	Staying            int  // number of other members that have just replied that they may vote and do not stop before this one
	JoinedIncomplete   bool // whether a member that joined since the departure began has not yet replied that it may vote
	JoiningMember      bool // whether this member, or one that replied, recently received an announcement of a joining member
	AllOthersDeparting bool // whether every other member is about to stop as well
}

// MayStop reports whether the set loses nothing but this member if the member stops. This requires that a quorum of other
// members is known to stay. All members that are being rebuilt can then still be rebuilt, because no rebuild needs more
// snapshots than a quorum. A member that has not replied counts as lost.
//
// The member waits for a joining member that could replace it, because an operator who stops a member after starting its
// successor does not count the member as lost. It does not wait if all other members stop as well, or if they are too few for a
// quorum, because waiting preserves nothing then.
func (d Departure) MayStop() bool {
	replaced := !d.View.Has(d.Self)
	switch {
	case !d.WasMember:
		return true
	case d.JoinedIncomplete:
		return false
	case d.JoiningMember && !replaced:
		return false
	case d.AllOthersDeparting:
		return true
	}
	return d.KeepsQuorum()
}

// KeepsQuorum reports whether a quorum is known to remain without this member. It also returns true if the process was no
// member when the departure began, or if the other members are too few for a quorum in any case.
func (d Departure) KeepsQuorum() bool {
	return !d.WasMember || d.Staying >= d.View.Quorum() || d.others() < d.View.Quorum()
}

// others returns the number of members of the view other than this one.
func (d Departure) others() int {
	if d.View.Has(d.Self) {
		return len(d.View.Members) - 1
	}
	return len(d.View.Members)
}
