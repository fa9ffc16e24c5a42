//! Admission control: detects overload and limits admitted requests, the most valuable kinds first.

use crate::{
    interface::*, rules::demand::LEVEL_SPAN_MS, rules::health::UNRESPONSIVE_SHARE,
    shares::level_for, state::*,
};

const LEVELS: &[(Mode, LoadSignal, Mode, AdmissionAction)] = &[
    (
        Mode::Open,
        LoadSignal::Overloaded,
        Mode::Throttled,
        AdmissionAction::Cut,
    ),
    (
        Mode::Open,
        LoadSignal::Refusing,
        Mode::Open,
        AdmissionAction::Narrow,
    ),
    (
        Mode::Open,
        LoadSignal::Slack,
        Mode::Open,
        AdmissionAction::Widen,
    ),
    (
        Mode::Throttled,
        LoadSignal::Overloaded,
        Mode::Throttled,
        AdmissionAction::Lower,
    ),
    (
        Mode::Throttled,
        LoadSignal::Refusing,
        Mode::Throttled,
        AdmissionAction::Narrow,
    ),
    (
        Mode::Throttled,
        LoadSignal::Steady,
        Mode::Throttled,
        AdmissionAction::Raise,
    ),
    (
        Mode::Throttled,
        LoadSignal::Slack,
        Mode::Open,
        AdmissionAction::Release,
    ),
];

const STEP_MS: f64 = 2000.0;
pub(super) const OVERLOAD_SPAN_MS: f64 = 3_000.0;
const OVERLOAD_MIN_TRIES: f64 = 20.0;
/// The fleet is overloaded above this share of failed tries, or when latency exceeds this fraction of the target.
const OVERLOAD_BAD_SHARE: f64 = 0.2;
const OVERLOAD_TARGET_SHARE: f64 = 0.5;
/// Latency quantile that is compared with the target; the lower one applies where admission can't be limited.
const FAST_QUANTILE: f64 = 0.67;
const FAST_QUANTILE_UNSUPPORTED: f64 = 0.5;
const OPEN_PART: f64 = 0.65;
const QUEUE_BASE: f64 = 0.45;
const CUT_TO: f64 = 0.9;
/// The first limit is at least this fraction of the highest rate served without overload.
const MIN_CUT_SHARE: f64 = 0.6;
/// Failures above this share can't be explained by client timeouts alone.
const REFUSED_BAD_SHARE: f64 = 0.33;
/// Smallest scale of arcs where connections are refused, and the interval for widening them again.
const MIN_ARC_SCALE: f64 = 0.125;
const WIDEN_MS: f64 = 12_000.0;
const MIN_RAISE: f64 = 1.05;
const MAX_RAISE: f64 = 1.3;
const SLACK_RATIO: f64 = 1.2;
/// Minimum share of each kind that is admitted.
const MIN_ADMITTED_SHARE: f64 = 0.05;
pub(crate) const UNLIMITED: f64 = 1e6;

impl AdmissionControl {
    fn step(
        &mut self,
        now: f64,
        met: AttemptStats,
        held: Option<f64>,
        target_ms: f64,
        came: f64,
    ) -> Option<String> {
        // With too few samples neither overload nor its absence is known.
        if self.mode == Mode::Open && met.tries < OVERLOAD_MIN_TRIES {
            self.stepped_ms = self.stepped_ms.max(now + STEP_MS);
        }
        let pause_ms = if self.mode == Mode::Open && self.arc_scale == 1.0 {
            0.0
        } else {
            STEP_MS
        };
        if now < self.stepped_ms + pause_ms || met.tries < OVERLOAD_MIN_TRIES {
            return None;
        }
        let done_per_s = met.good() / OVERLOAD_SPAN_MS * 1e3;
        // Requests admitted before throttling still finish late, so queue reports are preferred when available.
        let (late_ms, bad_now) = match (self.mode, held) {
            (Mode::Throttled, Some(held_ms)) => (held_ms, 0.0),
            // Failures at servers that report short queues are not overload.
            (_, Some(held_ms)) if held_ms < OVERLOAD_TARGET_SHARE * target_ms => {
                (met.mean_ms(), 0.0)
            }
            (_, held) => (
                met.mean_ms().max(OPEN_PART * held.unwrap_or(0.0)),
                met.bad_share(),
            ),
        };
        let flow = match bad_now > OVERLOAD_BAD_SHARE || late_ms > OVERLOAD_TARGET_SHARE * target_ms
        {
            true => LoadSignal::Overloaded,
            false if held.is_some() && met.bad_share() > REFUSED_BAD_SHARE => LoadSignal::Refusing,
            false if self.allowed_per_s > SLACK_RATIO * came => LoadSignal::Slack,
            false => LoadSignal::Steady,
        };
        if flow != LoadSignal::Overloaded {
            self.sustainable_per_s = self.sustainable_per_s.max(done_per_s);
        }
        let row = LEVELS
            .iter()
            .find(|row| row.0 == self.mode && row.1 == flow)?;
        let raise =
            (OVERLOAD_TARGET_SHARE * target_ms / late_ms.max(1.0)).clamp(MIN_RAISE, MAX_RAISE);
        self.allowed_per_s = match row.3 {
            AdmissionAction::Cut => {
                (CUT_TO * done_per_s.min(came)).max(MIN_CUT_SHARE * self.sustainable_per_s)
            }
            AdmissionAction::Lower => CUT_TO * (self.allowed_per_s + done_per_s) / 2.0,
            // Bounded by the served rate, so that the limit does not grow while it has no effect.
            AdmissionAction::Raise => {
                let raised = raise * self.allowed_per_s.min(SLACK_RATIO * done_per_s);
                self.allowed_per_s
                    .max(raised)
                    .max((self.allowed_per_s + self.sustainable_per_s) / 2.0)
            }
            AdmissionAction::Narrow if came > self.allowed_per_s => raise * self.allowed_per_s,
            AdmissionAction::Narrow | AdmissionAction::Widen => self.allowed_per_s,
            AdmissionAction::Release => UNLIMITED,
        };
        // Narrower arcs open fewer connections where idle servers refuse them, at the cost of less even load.
        let reach_was = self.arc_scale;
        self.arc_scale = match row.3 {
            AdmissionAction::Narrow => (self.arc_scale / 2.0).max(MIN_ARC_SCALE),
            AdmissionAction::Widen if now >= self.stepped_ms + WIDEN_MS => {
                (self.arc_scale * 2.0).min(1.0)
            }
            AdmissionAction::Widen => return None,
            _ => self.arc_scale,
        };
        let (was, to, lets, arcs) = (self.mode, row.2, self.allowed_per_s, self.arc_scale);
        (self.mode, self.stepped_ms) = (row.2, now);
        let why = format!(
            "{met}, offered {came:.0} reqs/s, admitting {lets:.0} reqs/s, arc scale {arcs:.3}"
        );
        (to != was || arcs != reach_was).then(|| format!("admission {was:?} -> {to:?}: {why}"))
    }
}

impl Controller {
    pub(super) fn step_admission(&mut self, now: f64) {
        let used = self
            .fleet
            .servers
            .iter()
            .filter(|(_, s)| s.part > 0.0)
            .map(|(id, _)| *id);
        let (mut met, mut held, mut means) = (AttemptStats::default(), Vec::new(), Vec::new());
        for id in used.collect::<Vec<_>>() {
            let at = self.fleet.stats_at(now, id, OVERLOAD_SPAN_MS);
            if at.bad_share() <= UNRESPONSIVE_SHARE {
                met = met.with([at.tries, at.bad, at.time_ms]);
                means.extend((at.good() >= 3.0).then(|| at.mean_ms()));
                held.push(
                    self.fleet
                        .held
                        .get(&id)
                        .filter(|_| at.tries > 0.0)
                        .copied()
                        .unwrap_or(0.0),
                );
            }
        }
        let came_per_s = self
            .demand
            .came
            .over(now, LEVEL_SPAN_MS)
            .iter()
            .sum::<f64>()
            / LEVEL_SPAN_MS
            * 1e3;
        // A minority of slow or full servers is not overload; their weights are reduced instead.
        let most = 2.0 * quantile(held.clone(), FAST_QUANTILE).unwrap_or(0.0);
        let held: f64 = held.iter().map(|h| h.min(most)).sum();
        let calm = if self.admission.levels == AdmissionMode::Unsupported {
            FAST_QUANTILE_UNSUPPORTED
        } else {
            FAST_QUANTILE
        };
        met.time_ms = quantile(means, calm).unwrap_or(met.mean_ms()) * met.good();
        // The limit scales with the joined proxies' demand; the sustainable rate also with the servers' capacity.
        let sized: f64 = self
            .demand
            .proxies
            .values()
            .filter(|p| p.joined)
            .map(|p| p.sized_per_s)
            .sum();
        let live: f64 = self
            .fleet
            .servers
            .values()
            .map(|s| s.part * s.listed.weight)
            .sum();
        if sized > 0.0 && live > 0.0 {
            let (sized_was, live_was) = self
                .admission
                .scaled_for
                .replace((sized, live))
                .unwrap_or((sized, live));
            self.admission.allowed_per_s *= sized / sized_was;
            self.admission.sustainable_per_s *= sized / sized_was * live / live_was;
        }
        let target_ms = self.demand.usual_target_ms(now, &self.kinds);
        // Load reports cover all proxies and show queued requests before they complete.
        let all_per_ms = met.good() / OVERLOAD_SPAN_MS / self.demand.share_of_demand(self.proxies);
        let base_ms = if self.queue_only {
            QUEUE_BASE * target_ms
        } else {
            0.0
        };
        let held_ms = self.held_at.map(|_| base_ms + held / all_per_ms.max(1e-6));
        self.log.extend(
            self.admission
                .step(now, met, held_ms, target_ms, came_per_s),
        );
    }

    /// Returns the admission levels and retry policies for all proxies.
    pub(super) fn admission_levels(&mut self, now: f64) -> Vec<(u16, f64, Retry)> {
        // A timed-out try may still be running, so only tries that provably did not execute are retried, and none
        // during overload.
        let retry = if self.admission.mode == Mode::Open {
            Retry::IfNotExecuted
        } else {
            Retry::Never
        };
        if self.admission.mode == Mode::Open || self.admission.levels == AdmissionMode::Unsupported
        {
            return vec![(mask_of(0..self.kinds.len()), UNLIMITED, retry)];
        }
        let mut order: Vec<KindId> = (0..self.kinds.len()).collect();
        order.sort_by(|a, b| self.kinds[*b].value.total_cmp(&self.kinds[*a].value));
        let (mut left, mut admission_levels) = (self.admission.allowed_per_s, Vec::new());
        for kind in order {
            let joined = self.demand.proxies.values_mut().filter(|p| p.joined);
            let rate = |p: &mut Proxy| p.came.over(now, LEVEL_SPAN_MS)[kind] / LEVEL_SPAN_MS * 1e3;
            let rates: Vec<f64> = joined.map(rate).collect();
            let came: f64 = rates.iter().sum();
            let allowed = left.clamp(MIN_ADMITTED_SHARE * came, came);
            left -= allowed;
            let level = match self.admission.levels {
                _ if allowed >= came => UNLIMITED,
                AdmissionMode::Share => allowed / came,
                _ => level_for(rates, allowed),
            };
            admission_levels.push((1 << kind, level, retry));
        }
        admission_levels
    }
}
