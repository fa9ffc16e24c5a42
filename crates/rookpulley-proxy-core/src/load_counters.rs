//! Counters for the load report to the primary.

use rookpulley_balancer::AttemptOutcome;
use rookpulley_protocol::{IncarnationId, InstanceLoad, LoadReport, ServiceLoad};
use std::collections::HashMap;

#[derive(Default)]
struct InstanceCounters {
    attempts: u32,
    failed: u32,
    succeeded: u32,
    /// Total latency of the successful attempts.
    succeeded_ms: f64,
}

#[derive(Default)]
struct ServiceCounters {
    received: u32,
    failed: u32,
    instances: HashMap<IncarnationId, InstanceCounters>,
}

/// Counters since the last report.
#[derive(Default)]
pub(crate) struct LoadCounters {
    since_ms: f64,
    services: HashMap<String, ServiceCounters>,
}

impl LoadCounters {
    /// Counts a received request.
    pub fn count_request(&mut self, service: &str) {
        self.service(service).received += 1;
    }

    /// Counts a request that failed after all attempts.
    pub fn count_failure(&mut self, service: &str) {
        self.service(service).failed += 1;
    }

    /// Counts an attempt at an instance.
    pub fn count_attempt(
        &mut self,
        service: &str,
        incarnation: &IncarnationId,
        outcome: AttemptOutcome,
        took_ms: f64,
    ) {
        let instances = &mut self.service(service).instances;
        let instance = instances.entry(incarnation.clone()).or_default();
        instance.attempts += 1;
        match outcome {
            AttemptOutcome::Answered(..500) => {
                instance.succeeded += 1;
                instance.succeeded_ms += took_ms;
            }
            // A rejection for lack of capacity is not a failure of the instance.
            AttemptOutcome::NotExecuted => {}
            _ => instance.failed += 1,
        }
    }

    /// Returns the report and resets the counters.
    pub fn take_report(&mut self, now_ms: f64) -> LoadReport {
        let span_ms = (now_ms - self.since_ms).clamp(0.0, 1e9) as u32;
        self.since_ms = now_ms;
        let services = std::mem::take(&mut self.services).into_iter();
        let mut services: Vec<ServiceLoad> = services
            .map(|(name, counters)| counters.into_load(name))
            .collect();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        LoadReport { span_ms, services }
    }

    fn service(&mut self, service: &str) -> &mut ServiceCounters {
        self.services.entry(service.to_owned()).or_default()
    }
}

impl ServiceCounters {
    fn into_load(self, service: String) -> ServiceLoad {
        let instances = self.instances.into_iter();
        let instances = instances.map(|(incarnation, counters)| counters.into_load(incarnation));
        ServiceLoad {
            service,
            received: self.received,
            failed: self.failed,
            instances: instances.collect(),
        }
    }
}

impl InstanceCounters {
    fn into_load(self, incarnation: IncarnationId) -> InstanceLoad {
        let mean_ms = if self.succeeded > 0 {
            (self.succeeded_ms / f64::from(self.succeeded)) as f32
        } else {
            0.0
        };
        InstanceLoad {
            incarnation,
            attempts: self.attempts,
            failed: self.failed,
            mean_ms,
        }
    }
}
