//! What is counted for the home's next report.

use rookpulley_balancer::Fate;
use rookpulley_protocol::{IncarnationId, InstanceLoad, LoadReport, ServiceLoad};
use std::collections::HashMap;

#[derive(Default)]
struct OfTask {
    tries: u32,
    bad: u32,
    good: u32,
    good_ms: f64,
}

#[derive(Default)]
struct OfService {
    came: u32,
    bad: u32,
    tasks: HashMap<IncarnationId, OfTask>,
}

#[derive(Default)]
pub(crate) struct Tally {
    since_ms: f64,
    services: HashMap<String, OfService>,
}

impl Tally {
    pub fn came(&mut self, service: &str) {
        self.of(service).came += 1;
    }

    /// A request for the service failed for good.
    pub fn failed(&mut self, service: &str) {
        self.of(service).bad += 1;
    }

    pub fn tried(&mut self, service: &str, incarnation: &IncarnationId, fate: Fate, took_ms: f64) {
        let task = self
            .of(service)
            .tasks
            .entry(incarnation.clone())
            .or_default();
        task.tries += 1;
        match fate {
            Fate::Answered(..500) => {
                task.good += 1;
                task.good_ms += took_ms;
            }
            // A task that is full is not a bad one.
            Fate::NotExecuted => {}
            _ => task.bad += 1,
        }
    }

    pub fn report(&mut self, now_ms: f64) -> LoadReport {
        let span_ms = (now_ms - self.since_ms).clamp(0.0, 1e9) as u32;
        self.since_ms = now_ms;
        let mut services: Vec<ServiceLoad> = std::mem::take(&mut self.services)
            .into_iter()
            .map(|(name, of)| of.report(name))
            .collect();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        LoadReport { span_ms, services }
    }

    fn of(&mut self, service: &str) -> &mut OfService {
        self.services.entry(service.to_owned()).or_default()
    }
}

impl OfService {
    fn report(self, service: String) -> ServiceLoad {
        let tasks = self
            .tasks
            .into_iter()
            .map(|(incarnation, of)| of.report(incarnation))
            .collect();
        ServiceLoad {
            service,
            received: self.came,
            failed: self.bad,
            instances: tasks,
        }
    }
}

impl OfTask {
    fn report(self, incarnation: IncarnationId) -> InstanceLoad {
        let mean_ms = if self.good > 0 {
            (self.good_ms / f64::from(self.good)) as f32
        } else {
            0.0
        };
        InstanceLoad {
            incarnation,
            attempts: self.tries,
            failed: self.bad,
            mean_ms,
        }
    }
}
