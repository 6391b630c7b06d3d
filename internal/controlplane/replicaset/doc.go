// Package replicaset knows which core nodes replicate the control state, and replaces those that are gone.
//
// The set is a View. The first one is settled by the founders, and each further one replaces a single member by a
// joining member. View n+1 is settled in a register that is written once, on the members of view n, so there are never two views
// of one version. A joining member takes part in nothing before it has been rebuilt (package rebuild).
//
// # Why nothing is lost
//
// Let a view have N members, of which each quorum has Q, and let a value be decided in view n by the quorum D.
//
//   - A member votes only in the view that it works with, and looks again once the vote is stored: a vote that counts was
//     stored before the member learned the next view. From then on the member refuses view n.
//   - A joining member is rebuilt from N-Q+1 others or more, and each of them learns view n+1 before it gives its copy. D has at
//     least Q-1 of these N-1 others, so one of them, at least, voted in D. It did so before it gave its copy, and the copy
//     has the vote. So the joining member holds what was decided, as if it had voted.
//   - Every quorum of view n+1 therefore has a member that holds what was decided: a quorum without the joining member meets D,
//     and in any other one there is the joining member. The same holds for the promises of a quorum that prepares.
//   - Once a quorum of view n+1 can decide, view n cannot any more: too few of its members have not learned view n+1. For
//     a joining member to vote earlier, those that it was rebuilt from must stay enough also if one of them loses its disk and
//     thereby forgets the view; so where N is even, the joining member waits for Q copies.
//   - A member that lost its disk and stays in the view is rebuilt by the rule of package rebuild. A member that was
//     replaced is no different from a joining member: by the number of its absences it knows, also after a restart, that its
//     disk is out of date. Only one that has learned a view without itself may enter the next one.
//   - No member accepts a view without itself unless it is about to stop. So a quorum of the members that settle a view
//     stays in it, or gives its copy before it goes, and joining members find enough others to be rebuilt from. One that gave its
//     vote to a next view brings it to its end.
//   - The copy of the member that was replaced counts like another's: it votes no more once it has learned view n+1, so its
//     copy has all that it ever voted for, and of any N-Q+1 members of view n one voted in D. It lacks what was decided in
//     view n+1, which a quorum of the N-1 others may decide before the joining member counts; but the joining member has N-Q copies or
//     more of those others, and one of them voted. That holds for the very process that entered with the view, as it has
//     not voted in it: a later one at the same address, whose votes may be lost, counts copies of members alone.
//
// Which member is replaced, and when, is not a matter of safety: a live member that is replaced by mistake comes back as
// a joining member.
package replicaset
