package replicaset_test

import (
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replication"
)

// proposeInterval is the interval between a leader's proposals.
const proposeInterval = 400 * time.Millisecond

// proposingLeader is one process's handler of the schedule's group. As leader, it proposes entries periodically.
type proposingLeader struct {
	schedule *faultSchedule
	node     *testCoordinator
}

// Elected implements replication.Handler. It checks that the state contains all acknowledged entries, and starts to propose
// entries.
func (l *proposingLeader) Elected(term *replication.Term, state map[string][]byte) {
	s := l.schedule
	s.scheduleMutex.Lock()
	for key := range s.groupAcknowledged {
		if _, found := state[key]; !found {
			s.violations = append(s.violations, fmt.Sprintf("after %v: the leader of term %d, %s, lacks %q, which was acknowledged",
				time.Since(s.start), term.Number(), l.node.address, key))
			break
		}
	}
	s.scheduleMutex.Unlock()
	s.tasks.Go(func() { l.lead(term) })
}

// Deposed implements replication.Handler.
func (l *proposingLeader) Deposed(*replication.Term) {}

func (l *proposingLeader) lead(term *replication.Term) {
	for i := 0; ; i++ {
		key := fmt.Sprintf("%d-%d", term.Number(), i)
		term.Propose([]replication.Entry{{Key: key, Value: []byte{1}}}, func() { l.schedule.groupCommitted(key) })
		select {
		case <-term.Ended():
			return
		case <-l.node.ctx.Done():
			return
		case <-time.After(proposeInterval):
		}
	}
}

// groupCommitted records that an entry of the group was committed and acknowledged.
func (s *faultSchedule) groupCommitted(key string) {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	s.groupAcknowledged[key] = true
	s.maxAcknowledgementGap = max(s.maxAcknowledgementGap, time.Since(s.groupLastAcknowledged))
	s.groupLastAcknowledged = time.Now()
}
