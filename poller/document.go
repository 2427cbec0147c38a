package poller

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"sesamedrift.example/sesamedrift/messenger"
)

// maxDocumentBytes bounds the content of a received document. It is above the largest document
// that operators may send.
const maxDocumentBytes = 16 << 20

// Document is a version of the operator's document as it was published.
type Document struct {
	// Version is 0 if there is no document.
	Version uint64 `msgpack:"version"`
	Content []byte `msgpack:"content"`
}

// DocumentRequest asks a host for its newest document.
type DocumentRequest struct {
	// Version is the lowest version that the requesting host can use.
	Version uint64 `msgpack:"version"`
}

// documentReply is the reply to a DocumentRequest. Compressed is the content in gzip format.
// Documents repeat the same keys for each queue and shrink to about a tenth.
type documentReply struct {
	Version    uint64 `msgpack:"version"`
	Compressed []byte `msgpack:"gzip"`
}

// DocumentSource serves the newest document of a host to other hosts. It compresses a version once,
// at the first request. The zero value has no document. It is safe for concurrent use.
type DocumentSource struct {
	mu       sync.Mutex
	document Document
	reply    []byte // encoded documentReply, nil until the first request
}

// Set makes d the document to serve. The content must not be changed afterwards.
func (s *DocumentSource) Set(d Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document, s.reply = d, nil
}

// Handle returns the encoded reply to an encoded DocumentRequest. The error is a
// *messenger.RemoteError if the host has no document of the requested version or a newer one.
func (s *DocumentSource) Handle(body []byte) ([]byte, error) {
	var req DocumentRequest
	if err := messenger.Decode(body, &req); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document.Version == 0 || s.document.Version < req.Version {
		return nil, &messenger.RemoteError{
			Code:    "no-document",
			Message: fmt.Sprintf("the newest document here has version %d", s.document.Version),
		}
	}
	if s.reply == nil {
		compressed, err := compress(s.document.Content)
		if err != nil {
			return nil, err
		}
		s.reply, err = messenger.Encode(documentReply{
			Version:    s.document.Version,
			Compressed: compressed,
		})
		if err != nil {
			return nil, err
		}
	}
	return s.reply, nil
}

func compress(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// FetchDocument asks a host for a document of the given version or a newer one, and waits for the
// reply for at most the timeout.
func FetchDocument(ctx context.Context, peer *messenger.Peer, timeout time.Duration, version uint64) (Document, error) {
	body, err := messenger.Encode(DocumentRequest{Version: version})
	if err != nil {
		return Document{}, err
	}
	answer, err := peer.CallWithTimeout(ctx, timeout, messenger.KindDocument, body)
	if err != nil {
		return Document{}, err
	}
	var reply documentReply
	if err := messenger.Decode(answer, &reply); err != nil {
		return Document{}, err
	}
	r, err := gzip.NewReader(bytes.NewReader(reply.Compressed))
	if err != nil {
		return Document{}, fmt.Errorf("document version %d: %w", reply.Version, err)
	}
	content, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return Document{}, fmt.Errorf("document version %d: %w", reply.Version, err)
	}
	if len(content) > maxDocumentBytes {
		return Document{}, fmt.Errorf("document version %d has more than %d bytes", reply.Version, maxDocumentBytes)
	}
	return Document{
		Version: reply.Version,
		Content: content,
	}, nil
}
