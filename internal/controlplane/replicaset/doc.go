// Package replicaset knows which core nodes replicate the control state, and replaces those that have failed or stop.
//
// The set is a [View]. The founders commit the first one, and each further one replaces a single member by a joining member:
// a reconfiguration. View n+1 is committed in a write-once register that the members of view n replicate (package register),
// so there are never two views of one version. A joining member takes part in no quorum before it has been rebuilt (package
// rebuild).
//
// That the members of a configuration choose the next one is the rule of Lamport, Malkhi and Zhou, "Reconfiguring a State
// Machine" (SIGACT News 41(1), 2010). That the state is transferred to the new configuration before that one becomes active,
// while the old one can decide nothing any more, is the rule of their "Vertical Paxos and Primary-Backup Replication" (PODC
// 2009), there with a separate master that chooses the configurations.
//
// # Why nothing is lost
//
// Let a view have N members, of which each quorum has Q, and let a value be decided in view n by the quorum D.
//
//   - A member votes only in the view that it works with, and checks the view again once the vote is stored: a vote that
//     counts was stored before the member learned the next view. From then on the member refuses view n.
//   - A joining member is rebuilt from the snapshots of N-Q+1 others or more, and each of them stores view n+1 before it takes
//     its snapshot. D has at least Q-1 of these N-1 others, so one of them, at least, voted in D. It did so before it took its
//     snapshot, and the snapshot has the vote. So the joining member holds what was decided, as if it had voted.
//   - Every quorum of view n+1 therefore has a member that holds what was decided: a quorum without the joining member
//     intersects D, and in any other one there is the joining member. The same holds for the promises of a quorum that
//     prepares.
//   - Once a quorum of view n+1 can decide, view n cannot any more: too few of its members have not learned view n+1. For
//     a joining member to vote earlier, those that it was rebuilt from must stay enough also if one of them loses its disk and
//     thereby forgets the view; so where N is even, the joining member waits for Q snapshots.
//   - A member that lost its disk and stays in the view is rebuilt by the rule of package rebuild. A member that was
//     replaced is no different from a joining member: by the number of its absences it knows, also after a restart, that its
//     disk is out of date. Only one that has learned a view without itself may enter the next one.
//   - No member accepts a view without itself unless it is a departing member. So a quorum of the members that commit a view
//     stays in it, or gives its snapshot before it stops, and joining members find enough others to be rebuilt from. A member
//     that accepted a next view completes it.
//   - The snapshot of the member that was replaced counts like another's: it votes no more once it has learned view n+1, so
//     its snapshot has all that it ever voted for, and of any N-Q+1 members of view n one voted in D. It lacks what was
//     decided in view n+1, which a quorum of the N-1 others may decide before the joining member counts; but the joining
//     member has N-Q snapshots or more of those others, and one of them voted. That holds for the very process that entered
//     with the view, as it has not voted in it: a later one at the same address, whose votes may be lost, counts the snapshots
//     of members alone.
//
// Which member is replaced, and when, is not a matter of safety: a live member that is replaced by mistake comes back as
// a joining member. So [Liveness] may be wrong at any time.
package replicaset
