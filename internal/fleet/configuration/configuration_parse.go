package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tailscale/hujson"
)

// MaxSize is the largest accepted value in bytes.
const MaxSize = 1 << 20

// Parse reads a configuration from JSON with comments and checks it.
func Parse(data []byte) (c *Configuration, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("configuration: %w", err)
		}
	}()
	if len(data) > MaxSize {
		return nil, fmt.Errorf("the value has %d bytes, the limit is %d", len(data), MaxSize)
	}
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, err
	}
	c = &Configuration{}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(c); err != nil {
		return nil, err
	}
	return c, errors.Join(c.Check()...)
}

// Encode returns the published form.
func (c *Configuration) Encode() ([]byte, error) {
	return json.Marshal(c)
}
