package message

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// FuzzDecode checks that no message between processes causes a panic or is decoded to values out of range.
func FuzzDecode(f *testing.F) {
	seeds := []proto.Message{
		EncodeRequest(&call.Request{ID: "a", Key: "dd1.x", Offset: 3, Remaining: time.Second, Body: []byte("b")}),
		EncodeChunk(&call.Chunk{ID: "a", Data: []byte("b"), End: true, Outcome: call.OutcomeNotRun, Status: 503}),
		&Request{Offset: -1, Remaining: -1 << 62},
		&Chunk{Offset: -1, Outcome: 258, Status: 99, Retry: 1 << 62},
		&Heartbeat{Target: "t", Age: -1},
		&Envelope{Target: "t", Body: &Envelope_Handover{Handover: &Handover{Records: []*Record{{Key: "dd1.x"}}}}},
	}
	for i, m := range seeds {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), data)
	}
	f.Fuzz(func(t *testing.T, _ uint8, data []byte) {
		checkRequest(t, data)
		checkChunk(t, data)
		var h Heartbeat
		if proto.Unmarshal(data, &h) == nil && h.Decode().Age < 0 {
			t.Error("heartbeat has a negative age")
		}
		var e Envelope
		if proto.Unmarshal(data, &e) != nil {
			return
		}
		if s := e.GetSwitch(); s != nil {
			_ = s.Decode()
		}
		if l := e.GetLoan(); l != nil {
			_ = l.Decode()
		}
	})
}

func checkRequest(t *testing.T, data []byte) {
	var m Request
	if proto.Unmarshal(data, &m) != nil {
		return
	}
	r := m.Decode()
	if r.Offset < 0 || (r.Remaining < 0) != (m.Remaining < 0) {
		t.Errorf("request is decoded as %+v", r)
	}
}

func checkChunk(t *testing.T, data []byte) {
	var m Chunk
	if proto.Unmarshal(data, &m) != nil {
		return
	}
	c := m.Decode()
	if c.Offset < 0 || c.RetryAfter < 0 || c.Status != 0 && (c.Status < 200 || c.Status > 599) {
		t.Errorf("chunk is decoded as %+v", c)
	}
	if c.Outcome == call.OutcomeNotRun && m.Outcome != uint32(call.OutcomeNotRun) {
		t.Errorf("outcome %d is decoded as not run", m.Outcome)
	}
}
