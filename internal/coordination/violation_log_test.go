package coordination

import (
	"context"
	"log/slog"

	"pipitgap/internal/fake"
)

// ControllerInvariant is the invariant of violations that a controller itself has reported.
const ControllerInvariant fake.Invariant = "controller invariant"

// violationHandler passes on log records and adds each violated invariant to the checker's violations.
type violationHandler struct {
	slog.Handler
	cluster *cluster
}

func (h violationHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelError || h.Handler.Enabled(ctx, level)
}

func (h violationHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Message == "invariant violated" {
		detail := ""
		record.Attrs(func(attr slog.Attr) bool {
			detail += attr.String() + " "
			return true
		})
		h.cluster.checker.Violations = append(h.cluster.checker.Violations,
			fake.Violation{At: h.cluster.sim.Now(), Invariant: ControllerInvariant, Detail: detail})
	}
	if !h.Handler.Enabled(ctx, record.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

func (h violationHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return violationHandler{h.Handler.WithAttrs(attrs), h.cluster}
}

func (h violationHandler) WithGroup(name string) slog.Handler {
	return violationHandler{h.Handler.WithGroup(name), h.cluster}
}
