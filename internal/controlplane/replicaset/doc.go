// Package replicaset determines which coordinators replicate the control state, and replaces members that have failed or
// are about to stop.
//
// The set of members is a [View]. The founders, which are the seeds of the first start, commit the first view. Each later
// view replaces one member by one joining member, which is called a reconfiguration. View n+1 is committed in a write-once
// register that the members of view n replicate (package register), so no two views have the same version. A joining member
// votes in no quorum before it has been rebuilt (package rebuild).
//
// Package coordinator assembles and runs the [Manager]. Packages register, replication and rebuild work with its current
// view. The package never decides whether a value is committed, and never transfers the control state itself.
//
// The members of a configuration choose the next one, as in Lamport, Malkhi and Zhou, "Reconfiguring a State Machine"
// (SIGACT News 41(1), 2010). The state is transferred to the new configuration before that one becomes active, when the old
// one can decide nothing any more. This is the rule of their "Vertical Paxos and Primary-Backup Replication" (PODC 2009),
// where a separate master chooses the configurations.
//
// # Why no decided value is lost
//
// Let a view have N members, let each quorum have Q of them, and let the quorum D decide a value in view n.
//
//   - A member votes only in its current view, and checks the view again after it has stored the vote. So a vote that counts
//     was stored before the member learned the next view. From then on the member refuses requests of view n.
//   - A joining member is rebuilt from the snapshots of at least N-Q+1 other members. Each of them stores view n+1 before it
//     takes its snapshot. D contains at least Q-1 of these N-1 other members, so at least one of the donors voted in D. It
//     voted before it took its snapshot, so the snapshot contains the vote. The joining member therefore holds the decided
//     value, as if it had voted itself.
//   - So every quorum of view n+1 has a member that holds the decided value. A quorum without the joining member intersects
//     D, and any other quorum contains the joining member. The same holds for the promises of a quorum that prepares.
//   - Once a quorum of view n+1 can decide, view n cannot decide any more, because too few of its members have not learned
//     view n+1. A donor that loses its disk forgets view n+1. Enough donors must remain even then before the joining member
//     may vote, so where N is even, the joining member waits for Q snapshots.
//   - A member that lost its disk and stays in the view is rebuilt by the rule of package rebuild. A member that was replaced
//     is treated like any joining member. Its number of absences, which survives restarts, shows that its disk is out of
//     date. A replaced member can join a later view only after it has learned a view without itself.
//   - No member accepts a view without itself unless it is departing. So a quorum of the members that commit a view stays in
//     it, or provides snapshots before it stops, and joining members find enough donors. A member that accepted a next view
//     completes it.
//   - The snapshot of the replaced member counts like any other. That member does not vote any more once it has learned view
//     n+1, so its snapshot contains all its votes, and among any N-Q+1 members of view n one voted in D. The snapshot lacks
//     values decided in view n+1, which a quorum of the N-1 other members may decide before the joining member votes. But the
//     joining member also has at least N-Q snapshots of those other members, and one of them voted. This holds only for the
//     process that entered with the view, because it has not voted in it. A later process at the same address may have lost
//     votes, so it counts only the snapshots of current members.
//
// Safety does not depend on which member is replaced, or when. A live member that is replaced by mistake becomes a joining
// member again. So [Liveness] may be wrong at any time.
package replicaset
