package client

import (
	"slices"
	"strconv"
	"time"

	"sesamedrift.example/sesamedrift"
)

// checkOutcome returns a *MismatchError unless the outcome is consistent and belongs to
// the key.
func (r response) checkOutcome(key sesamedrift.Key, o sesamedrift.Outcome) error {
	want := key.String()
	if o.Key != want {
		return &MismatchError{Host: r.host, Field: "key", Want: want, Got: o.Key}
	}
	if got := r.header.Get(sesamedrift.KeyHeader); got != "" && got != want {
		return &MismatchError{Host: r.host, Field: "key", Want: want, Got: got}
	}
	if got := r.header.Get(sesamedrift.KeyCreatedHeader); !sameTime(got, key.Created) {
		return &MismatchError{Host: r.host, Field: "created", Want: key.Created.UTC().Format(createdFormat), Got: got}
	}
	if !slices.Contains(sesamedrift.Statuses, o.Status) {
		return &MismatchError{Host: r.host, Field: "status", Want: "one of " + statusList(), Got: string(o.Status)}
	}
	if got := r.header.Get(OutcomeHeader); got != string(o.Status) {
		return &MismatchError{Host: r.host, Field: "status", Want: string(o.Status), Got: got}
	}
	if code := o.Status.HTTPStatus(); r.status != code {
		return &MismatchError{Host: r.host, Field: "status", Want: strconv.Itoa(code), Got: strconv.Itoa(r.status)}
	}
	return nil
}

// sameTime reports whether the text (RFC 3339) equals the time at millisecond precision. It
// accepts an empty text, since hosts may omit the header for a key that contains its creation
// time.
func sameTime(text string, created time.Time) bool {
	if text == "" {
		return true
	}
	t, err := time.Parse(time.RFC3339, text)
	return err == nil && t.UnixMilli() == created.UnixMilli()
}

// checkSubmission returns a *MismatchError unless the outcome belongs to the submission.
func checkSubmission(host string, s *sesamedrift.Submission, o sesamedrift.Outcome) error {
	if digest := s.Digest(); o.Digest != digest {
		return &MismatchError{Host: host, Field: "digest", Want: digest, Got: o.Digest}
	}
	answers := 0
	if o.Status == sesamedrift.Complete {
		answers = len(s.Payloads)
	}
	if len(o.Answers) != answers {
		return &MismatchError{Host: host, Field: "answers", Want: strconv.Itoa(answers), Got: strconv.Itoa(len(o.Answers))}
	}
	if o.Task < sesamedrift.NoTask || o.Task >= len(s.Payloads) {
		want := "-1 to " + strconv.Itoa(len(s.Payloads)-1)
		return &MismatchError{Host: host, Field: "task", Want: want, Got: strconv.Itoa(o.Task)}
	}
	return nil
}
