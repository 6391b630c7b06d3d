package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/transport"
)

// AnnounceCall announces to a member of the replica set that a newer configuration is committed.
var AnnounceCall = transport.NewIdempotent[Announcement, AnnouncementReply]("/configuration/learn")

// announceTimeout is the timeout of one AnnounceCall. A member that misses the call finds the update by its own quorum reads.
const announceTimeout = time.Second

// Announcement names a committed version. The receiver reads it from a majority, in most cases with the value from its own
// replica of the register. The configuration itself is therefore sent to each member only once, when the member accepts it.
type Announcement struct {
	Version uint64 `msgpack:"n"`
	Value   []byte `msgpack:"v,omitempty"` // the register's value; older builds send it instead of Version
}

// AnnouncementReply returns the version that the receiver had cached.
type AnnouncementReply struct {
	Version uint64 `msgpack:"v"`
}

// Mount registers the handler for announcements of other members.
func (c *Configurator) Mount(mux *transport.Mux) {
	transport.Handle(mux, AnnounceCall, func(_ context.Context, announcement Announcement) (AnnouncementReply, error) {
		if len(announcement.Value) > 0 {
			if err := c.adoptEncoded(announcement.Value); err != nil {
				return AnnouncementReply{}, err
			}
		}
		cachedVersion := c.cached().Version
		if announcement.Version > cachedVersion {
			c.Refresh()
		}
		return AnnouncementReply{Version: cachedVersion}, nil
	})
}

// Refresh makes Run read immediately, or once more if a read is in progress.
func (c *Configurator) Refresh() { c.newerAnnounced.Notify() }

// announceToMembers announces a committed version to all other members. It does not wait for the calls.
func (c *Configurator) announceToMembers(version uint64) {
	members := c.options.Members().Members
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return
	}
	for _, member := range members {
		if member == c.options.Address {
			continue
		}
		c.announcements.Go(func() { c.announceTo(member, version) })
	}
}

// announceTo announces a version to one member. It only logs a failure, since the member finds the version by its own reads.
func (c *Configurator) announceTo(member string, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if _, err := AnnounceCall.Call(ctx, c.options.Caller, member, Announcement{Version: version}); err != nil {
		c.options.Logger.Debug("announcement of the configuration failed", zap.String("member", member), zap.Error(err))
	}
}
