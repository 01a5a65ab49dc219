//! Spans and metrics of a request.

use std::time::Instant;

use model::id::InstanceId;

use super::Caller;
use super::request::Request;
use crate::metrics::{Ending, Stage};
use crate::trace::Side;

impl Caller {
    /// Begins the request's span, under the context in its marks if there is one.
    pub(super) fn begin_span(&mut self, req: &Request) {
        let parent = req.profile.marks.traceparent.as_deref();
        let parent = parent.and_then(|text| text.parse().ok());
        self.span = self.cx.tracer.incoming("request", parent);
        self.span.set("group", self.group.routes.group());
        self.span.set("caller", &self.session.caller);
    }

    /// Records the time since `began` under a stage of the group's requests.
    pub(super) fn observe(&self, stage: Stage, began: Instant, instance: &InstanceId) {
        let (name, side) = match stage {
            Stage::Waiting => ("wait", Side::Internal),
            Stage::Serving => ("backend", Side::Client),
            Stage::Confirming => ("confirm", Side::Internal),
        };
        let mut span = self.span.child_since(name, side, began);
        span.set("instance", instance);
        let group = self.group.routes.group();
        let metrics = &self.cx.metrics;
        metrics.observe(group.as_str(), stage, began.elapsed());
    }

    pub(super) fn ended(&mut self, ending: Ending) {
        let mut span = std::mem::take(&mut self.span);
        span.set("ending", &ending.name());
        let group = self.group.routes.group();
        self.cx.metrics.ended(group.as_str(), ending);
    }
}
