package message

import "github.com/dragonflydeal/dragonflydeal/internal/edge/group"

// EncodeMember returns the wire form of a member of a group.
func EncodeMember(m group.Member) *GroupMember {
	return &GroupMember{Target: m.Target, Group: m.Group, Pace: float32(m.Pace)}
}

// Decode returns the member of its wire form.
func (m *GroupMember) Decode() group.Member {
	return group.Member{Target: m.Target, Group: m.Group, Pace: group.ClampPace(float64(m.Pace))}
}
