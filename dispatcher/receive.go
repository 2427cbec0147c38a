package dispatcher

import (
	"time"

	"sesamedrift.example/sesamedrift/courier"
	"sesamedrift.example/sesamedrift/messenger"
	"sesamedrift.example/sesamedrift/reporter"
)

// decoders holds the function that decodes and handles the messages of each kind.
var decoders = map[courier.Kind]func(c *Core, now time.Time, from string, m courier.Message){
	kindSnapshot:         decode[snapshot],
	kindJoin:             decode[join],
	kindAssignment:       decode[assignment],
	kindPlacementRequest: decode[placementRequest],
	kindCancelPlacement:  decode[cancelPlacement],
	kindReleasedPlace:    decode[releasedPlace],
	kindPlacement:        decode[placement],
	kindRefused:          decode[refused],
	kindStartRuns:        decode[startRuns],
	kindStopRun:          decode[stopRun],
	kindWatchRun:         decode[watchRun],
	kindRunEnded:         decode[runEnded],
	kindUpstreamStatus:   decode[upstreamStatus],
	kindFreed:            decode[freed],
	kindEligibility:      decode[eligibility],
	kindFreeCapacity:     decode[freeCapacity],
	kindForwardRequest:   decode[forwardRequest],
	kindForwardedJob:     decode[forwardedJob],
	kindForwardResult:    decode[forwardResult],
	kindCancelForward:    decode[cancelForward],
	kindProgress:         decode[progress],
	kindSuperseded:       decode[superseded],
	kindAnnouncement:     decode[announcement],
	kindSnapshotRequest:  decode[snapshotRequest],
	kindLostHosts:        decode[lostHosts],
	kindStatusRequest:    decode[statusRequest],
	kindRedirect:         decode[redirect],
	kindRedirectedJobs:   decode[redirectedJobs],
	kindTenureCheck:      decode[tenureCheck],
	kindTenureAnswer:     decode[tenureAnswer],
	kindClaimRequest:     decode[claimRequest],
	kindClaimAnswer:      decode[claimAnswer],
	kindEvacuations:      decode[evacuations],
	kindResultRequest:    decode[resultRequest],
	kindRecoveredResult:  decode[recoveredResult],
	kindForwardedJobs:    decode[forwardedJobs],
}

// receiveEncoded decodes a message and passes it to its handler.
func (c *Core) receiveEncoded(now time.Time, from string, m courier.Message) {
	handle, known := decoders[m.Kind]
	if !known {
		c.logEvent(reporter.MessageRejected, "peer", from, "kind", m.Kind, "error", "the kind is not known")
		return
	}
	handle(c, now, from, m)
}

// decode decodes a message into an M and passes it to receive. A malformed message is logged.
func decode[M any](c *Core, now time.Time, from string, m courier.Message) {
	var v M
	if err := messenger.Decode(m.Body, &v); err != nil {
		c.logEvent(reporter.MessageRejected, "peer", from, "kind", m.Kind, "error", err)
		return
	}
	c.receive(now, from, v)
}

// receive passes a message from another host, or from this one, to its handler.
func (c *Core) receive(now time.Time, from string, v any) {
	switch m := v.(type) {
	case snapshot:
		c.applySnapshot(now, m)
	case join:
		c.receiveJoin(now, from, m)
	case assignment:
		c.receiveAssignment(now, from, m)
	case placementRequest:
		c.receivePlacementRequest(now, from, m)
	case cancelPlacement:
		c.receiveCancelPlacement(from, m)
	case releasedPlace:
		c.receiveReleasedPlace(now, m)
	case placement:
		c.receivePlacement(from, m)
	case refused:
		c.receiveRefused(now, from, m)
	case eligibility:
		c.receiveEligibility(now, from, m)
	case freeCapacity:
		c.receiveFreeCapacity(now, from, m)
	case forwardRequest:
		c.receiveForwardRequest(now, from, m)
	case forwardedJob:
		c.receiveForwardedJob(now, from, m)
	case forwardResult:
		c.receiveForwardResult(now, from, m)
	case cancelForward:
		c.receiveCancelForward(now, from, m)
	case resultRequest:
		c.receiveResultRequest(from, m)
	case recoveredResult:
		c.receiveRecoveredResult(now, m)
	case forwardedJobs:
		c.receiveForwardedJobs(now, from, m)
	case evacuations:
		c.applyEvacuations(now, from, m)
	case superseded:
		c.receiveSuperseded(now, from, m)
	case announcement:
		c.receiveAnnouncement(now, from, m)
	case lostHosts:
		c.receiveLostHosts(from, m)
	case statusRequest:
		c.receiveStatusRequest(now, from, m)
	case redirect:
		c.receiveRedirect(now, from, m)
	case redirectedJobs:
		c.receiveRedirectedJobs(now, from, m)
	case snapshotRequest:
		c.send(from, kindSnapshot, c.snapshot())
	default:
		c.receiveAboutRuns(now, from, v)
	}
}

// receiveAboutRuns passes a message about runs and the leases of their upstreams to its handler.
func (c *Core) receiveAboutRuns(now time.Time, from string, v any) {
	switch m := v.(type) {
	case startRuns:
		c.receiveStartRuns(now, from, m)
	case stopRun:
		c.receiveStopRun(now, m)
	case watchRun:
		c.receiveWatchRun(now, from, m)
	case runEnded:
		c.receiveRunEnded(now, from, m)
	case upstreamStatus:
		c.receiveUpstreamStatus(now, from, m)
	case freed:
		c.receiveFreed(now, from, m)
	case progress:
		c.receiveProgress(from, m)
	case tenureCheck:
		c.receiveTenureCheck(now, from, m)
	case tenureAnswer:
		c.receiveTenureAnswer(now, from, m)
	case claimRequest:
		c.receiveClaimRequest(from, m)
	case claimAnswer:
		c.receiveClaimAnswer(now, from, m)
	default:
		panic("dispatcher: no handler for the message type")
	}
}
