package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/transport"
)

// AnnounceCall is served by the members of the replica set: another one announces that a newer configuration is committed.
var AnnounceCall = transport.NewIdempotent[Announcement, AnnouncementReply]("/configuration/learn")

// announceTimeout bounds one such call. A member that misses it finds the update by its own quorum reads.
const announceTimeout = time.Second

// Announcement names a version that is committed. The receiver reads it from a majority, most often out of its own replica of the
// register, so that the configuration itself is sent to each member once, when the member accepts it.
type Announcement struct {
	Version uint64 `msgpack:"n"`
	Value   []byte `msgpack:"v,omitempty"` // the register's value in its place, from builds that send it
}

// AnnouncementReply says which version the receiver had cached.
type AnnouncementReply struct {
	Version uint64 `msgpack:"v"`
}

// Mount serves the announcements of other members.
func (c *Configurator) Mount(mux *transport.Mux) {
	transport.Handle(mux, AnnounceCall, func(_ context.Context, announcement Announcement) (AnnouncementReply, error) {
		if len(announcement.Value) > 0 {
			if err := c.adoptEncoded(announcement.Value); err != nil {
				return AnnouncementReply{}, err
			}
		}
		cachedVersion := c.cached().Version
		if announcement.Version > cachedVersion {
			c.triggerRead()
		}
		return AnnouncementReply{Version: cachedVersion}, nil
	})
}

// triggerRead makes Run read at once, or again if it is reading.
func (c *Configurator) triggerRead() { c.newerAnnounced.Notify() }

// announceToMembers announces a committed version to every other member, without waiting for them.
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

// announceTo makes one call. A failure is logged only: the member finds the version by its own reads.
func (c *Configurator) announceTo(member string, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	if _, err := AnnounceCall.Call(ctx, c.options.Caller, member, Announcement{Version: version}); err != nil {
		c.options.Logger.Debug("announcement of the configuration failed", zap.String("member", member), zap.Error(err))
	}
}
