package message

import "github.com/dragonflydeal/dragonflydeal/internal/request/limit"

// EncodeShares returns the wire form of shares.
func EncodeShares(shares []limit.Share) (out []*Share) {
	for _, s := range shares {
		out = append(out, &Share{Workspace: s.Workspace, Rate: s.Rate, Admitted: uint32(s.Admitted)})
	}
	return out
}

// DecodeShares returns the shares of their wire form.
func DecodeShares(list []*Share) (out []limit.Share) {
	for _, s := range list {
		out = append(out, limit.Share{Workspace: s.Workspace, Rate: s.Rate, Admitted: int(s.Admitted)})
	}
	return out
}
