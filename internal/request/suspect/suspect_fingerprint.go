package suspect

import "github.com/cespare/xxhash/v2"

// Fingerprint returns a hash of a request's body and of the texts that identify its caller and what it asks for. Equal
// requests have the same one.
func Fingerprint(body []byte, texts ...string) uint64 {
	d := xxhash.New()
	for _, text := range texts {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64() &^ partBit
}
