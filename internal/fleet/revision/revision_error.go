package revision

import "github.com/ansel1/merry/v2"

// ErrConflict reports another value under the revision that is already accepted.
var ErrConflict = merry.Sentinel("another value was accepted under this revision")

// ErrBase reports a change to a value that is not kept here.
var ErrBase = merry.Sentinel("the base of the change is not known")

// ErrDigest reports a change whose result is not the value that was meant.
var ErrDigest = merry.Sentinel("the changed value has another digest")
