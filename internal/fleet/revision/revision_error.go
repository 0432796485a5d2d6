package revision

import "github.com/ansel1/merry/v2"

// ErrConflict reports a different value with the revision of the accepted one.
var ErrConflict = merry.Sentinel("another value with this revision was accepted")

// ErrBase reports a patch against a value that this process does not have.
var ErrBase = merry.Sentinel("the base of the patch is not known")

// ErrDigest reports a patch whose result does not have the expected digest.
var ErrDigest = merry.Sentinel("the patched value does not have the expected digest")
