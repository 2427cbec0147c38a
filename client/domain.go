package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// EvacuationResult is the answer to an order that evacuates or restores a failure domain.
type EvacuationResult struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
	// Version is the version of the evacuations, which grows with each order.
	Version uint64 `json:"version"`
	// InForceOn names the hosts on which Version is in force.
	InForceOn []string `json:"in-force-on"`
}

// Evacuations are the failure domains and the evacuations in force on the host that answers.
type Evacuations struct {
	// Version is the version of the evacuations, 0 before the first order.
	Version uint64   `json:"version"`
	Domains []Domain `json:"domains"`
	// InForceOn names the hosts on which Version is in force.
	InForceOn []string `json:"in-force-on"`
}

// Domain is a failure domain.
type Domain struct {
	Name      string `json:"name"`
	Evacuated bool   `json:"evacuated"`
}

// Evacuate orders that no further task is started on the upstreams of a failure domain. It returns
// once the order is stored on a majority of replicas. After an error other than an *APIError with
// CodeNotFound or CodeUnauthorized, the order may be in force; it is safe to send it again. The name
// of the operator, who, is for the audit trail.
func (c *Client) Evacuate(ctx context.Context, domain, who string) (EvacuationResult, error) {
	return c.orderEvacuation(ctx, http.MethodPut, domain, who)
}

// Restore takes an evacuated failure domain back into service. Results and errors are those of
// Evacuate.
func (c *Client) Restore(ctx context.Context, domain, who string) (EvacuationResult, error) {
	return c.orderEvacuation(ctx, http.MethodDelete, domain, who)
}

func (c *Client) orderEvacuation(ctx context.Context, method, domain, who string) (EvacuationResult, error) {
	r, err := c.deliverToAny(ctx, exchange{
		method: method,
		path:   "/v1/domains/" + url.PathEscape(domain) + "/evacuation",
		header: http.Header{
			"Authorization": {"Bearer " + c.cfg.OperatorToken},
			ChangedByHeader: {who},
		},
	})
	if err != nil {
		return EvacuationResult{}, err
	}
	var result EvacuationResult
	if err := json.Unmarshal(r.body, &result); err != nil || r.status != http.StatusOK || result.Domain == "" {
		return EvacuationResult{}, r.answerError("")
	}
	return result, nil
}

// Evacuations returns the failure domains and whether they are evacuated.
func (c *Client) Evacuations(ctx context.Context) (Evacuations, error) {
	var e Evacuations
	if err := c.get(ctx, "/v1/domains", &e); err != nil {
		return Evacuations{}, err
	}
	return e, nil
}

// EvacuationHistory returns up to limit entries of the audit trail of the evacuations whose version is
// greater than after. The identifier of an entry begins with the order and the domain. If limit is
// zero, the host chooses the number.
func (c *Client) EvacuationHistory(ctx context.Context, after uint64, limit int) ([]AuditEntry, error) {
	return c.history(ctx, "/v1/domains", after, limit)
}
