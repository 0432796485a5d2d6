package answer

import "net/http"

// Framed reports whether the head of a response says where its body ends. Other bodies end with their connection.
func Framed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}
