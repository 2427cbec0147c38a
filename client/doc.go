// Package client implements a client of the HTTP interface of the hosts (docs/http.md).
//
// An outcome that Submit, Resubmit or Wait returns belongs to the key of the request. An
// outcome of Submit or Resubmit also has the digest of the submission and, if it is
// complete, one answer for each task. Any other answer is a *MismatchError.
//
// The client tries the next host only if nothing was delivered: the connection could not
// be established, or the host answered that it is not ready. A submission that may have
// been delivered fails with a *LostError. The caller decides whether to send it again with
// the same key, either by a call of Resubmit or in advance by Config.MaxResubmissions. A
// refusal is returned with its retry hint (Outcome.RetryAfter) and is not retried here, so
// that only one layer, that of the caller, retries. A Client is safe for concurrent use.
package client
