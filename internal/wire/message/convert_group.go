package message

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/group"
)

// EncodeMember returns the wire form of a member of a group.
func EncodeMember(m group.Member) *GroupMember {
	return &GroupMember{Target: m.Target, Group: m.Group, Pace: float32(m.Pace)}
}

// Decode returns the member of its wire form.
func (m *GroupMember) Decode() group.Member {
	return group.Member{Target: m.Target, Group: m.Group, Pace: group.ClampPace(float64(m.Pace))}
}

// EncodeState returns the wire form of the state of a group.
func EncodeState(now time.Time, s group.State) *GroupState {
	return &GroupState{Group: s.Group, Epoch: s.Epoch, Down: s.Down, Age: max(now.Sub(s.ReadAt).Microseconds(), 0)}
}

// Decode returns the state of its wire form.
func (m *GroupState) Decode(now time.Time) group.State {
	return group.State{Group: m.Group, Epoch: m.Epoch, Down: m.Down, ReadAt: now.Add(-decodeMicros(m.Age))}
}
