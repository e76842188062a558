package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/platform"
)

// mirrorMetrics counts what this node sends as a mirror, and from where it reads.
type mirrorMetrics struct {
	answers, bytes, reads metric.Int64Counter
}

func newMirrorMetrics(m metric.Meter) (metrics mirrorMetrics, err error) {
	if metrics.answers, err = m.Int64Counter("cassiadeal_mirror_answers", metric.WithDescription("Answers to other nodes that read the store through this one, by kind, call (list or watch), status and encoding.")); err != nil {
		return metrics, eris.Wrap(err, "create the counter of a mirror's answers")
	}
	if metrics.bytes, err = m.Int64Counter("cassiadeal_mirror_bytes", metric.WithDescription("Bytes of the bodies of these answers, by kind and call.")); err != nil {
		return metrics, eris.Wrap(err, "create the counter of a mirror's bytes")
	}
	metrics.reads, err = m.Int64Counter("cassiadeal_source_reads", metric.WithDescription("Reads of the store's objects by this node, by kind, call, source (store or mirror) and result."))
	return metrics, eris.Wrap(err, "create the counter of reads")
}

// handler counts the answers of a mirror.
func (m mirrorMetrics) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &countingWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(counted, r)
		if counted.status == http.StatusNotFound {
			return // The path may be anything.
		}
		kind, watch := platform.DescribeRead(r)
		of := []attribute.KeyValue{attribute.String("kind", kind), attribute.String("call", callName(watch))}
		m.bytes.Add(r.Context(), counted.bytes, metric.WithAttributes(of...))
		m.answers.Add(r.Context(), 1, metric.WithAttributes(append(of, attribute.String("status", strconv.Itoa(counted.status)),
			attribute.String("encoding", w.Header().Get("Content-Encoding")))...))
	})
}

// countRead counts a read of this follower.
func (f *follower) countRead(watch bool, err error) {
	source, result := "store", "answered"
	if f.source != "" {
		source = "mirror"
	}
	if err != nil {
		result = "failed"
	}
	f.node.mirrorMetrics.reads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", f.kind), attribute.String("call", callName(watch)),
		attribute.String("source", source), attribute.String("result", result)))
}

func callName(watch bool) string {
	if watch {
		return "watch"
	}
	return "list"
}

// countingWriter records the status and the size of an answer.
type countingWriter struct {
	http.ResponseWriter
	status int
	bytes  int64
}

// WriteHeader implements http.ResponseWriter.
func (w *countingWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += int64(n)
	return n, err
}
