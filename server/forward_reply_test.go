package server

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"sesamedrift.example/sesamedrift"
	"sesamedrift.example/sesamedrift/messenger"
)

// Guards against a caller that is told that its submission was not processed, so that it sends it to another host, although
// the home domain may have run it and only its reply is missing.
func TestSubmissionWithoutReplyIsUnknown(t *testing.T) {
	for name, failure := range map[string]error{
		"call failed": errors.New("the connection broke"),
		"empty reply": nil,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o, e := submissionOutcome(&sesamedrift.Submission{Payloads: [][]byte{nil}}, "ikeja", response{}, failure)
			g.Expect(e).To(BeNil())
			g.Expect(o.Status).To(Equal(sesamedrift.Unknown))
			g.Expect(o.Digest).NotTo(BeEmpty())
		})
	}
}

// Guards against a task that counts as done without an answer: the reply of the peer that was to run it is empty.
func TestEmptyReplyIsNoSuccess(t *testing.T) {
	g := NewWithT(t)
	body, err := messenger.Encode(empty{})
	g.Expect(err).NotTo(HaveOccurred())
	var reply forwardedAnswer
	g.Expect(messenger.Decode(body, &reply)).To(Succeed())
	g.Expect(reply.Answer.isEmpty()).To(BeTrue())
	for _, answer := range []taskAnswer{
		{
			Result:   runSucceeded,
			Upstream: "worker-0",
		},
		notStarted(errNoSlots),
		fenced(errNoSlots),
	} {
		g.Expect(answer.isEmpty()).To(BeFalse())
	}
}
