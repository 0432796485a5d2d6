package revision

import "errors"

// ErrConflict reports another value under the revision that is already accepted.
var ErrConflict = errors.New("another value was accepted under this revision")

// ErrBase reports a change to a value that is not kept here.
var ErrBase = errors.New("the base of the change is not known")

// ErrDigest reports a change whose result is not the value that was meant.
var ErrDigest = errors.New("the changed value has another digest")
