//! What the platform says by signals, what is due from time to time, and the end in order.

use crate::context::ProxyContext;
use rookpulley_proxy_core::ProxyState;
use rookpulley_runtime::SettingsFile;
use rookpulley_settings::Node;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

const TICK: Duration = Duration::from_millis(250);
/// What is done how often, in ticks.
const SWEEP_TICKS: u32 = 2;
const REPORT_TICKS: u32 = 4;
const SETTINGS_TICKS: u32 = 8;
/// While the program ends it looks more often whether it may.
const ENDING_TICK: Duration = Duration::from_millis(100);
const ENDING_TICKS_PER_TICK: u32 = 2;
/// For so long clients are still sent here after the end has begun.
const CLIENTS_STILL_COME: Duration = Duration::from_secs(3);
/// The end comes so long before the platform would make it.
const BEFORE_KILL: Duration = Duration::from_millis(700);
const MAX_GRACE_S: f64 = 3_600.0;
const SIGNAL_QUEUE: usize = 8;

/// What the platform may ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// To end in order.
    Shutdown,
    /// To read the settings again.
    ReloadSettings,
}

/// Signals as they come.
pub struct Signals {
    received: mpsc::Receiver<Signal>,
}

impl Signals {
    /// Those of this process. It must run inside a `LocalSet`.
    pub fn of_process() -> std::io::Result<Self> {
        let (sender, signals) = Self::channel();
        for (kind, meaning) in [
            (SignalKind::terminate(), Signal::Shutdown),
            (SignalKind::hangup(), Signal::ReloadSettings),
        ] {
            let mut stream = signal(kind)?;
            let sender = sender.clone();
            tokio::task::spawn_local(async move {
                while stream.recv().await.is_some() && sender.send(meaning).await.is_ok() {}
            });
        }
        Ok(signals)
    }

    /// Those that somebody in this process sends.
    pub fn channel() -> (mpsc::Sender<Signal>, Self) {
        let (sender, received) = mpsc::channel(SIGNAL_QUEUE);
        (sender, Self { received })
    }
}

/// Returns when the program may end.
pub async fn run_until_end(
    proxy: Rc<ProxyContext>,
    settings_file: Option<PathBuf>,
    mut signals: Signals,
) {
    let mut file = settings_file.map(SettingsFile::new);
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick = 0u32;
    loop {
        tokio::select! {
            Some(signal) = signals.received.recv() => match (signal, &file) {
                (Signal::Shutdown, _) => break,
                (Signal::ReloadSettings, Some(file)) => apply_settings(&proxy, file.read()),
                (Signal::ReloadSettings, None) => {}
            },
            _ = ticks.tick() => {
                tick = tick.wrapping_add(1);
                handle_tick(&proxy, tick);
                if tick.is_multiple_of(SETTINGS_TICKS) && let Some(file) = &mut file {
                    apply_settings(&proxy, file.read_if_changed());
                }
            }
        }
    }
    end_in_order(&proxy).await;
}

fn apply_settings(proxy: &Rc<ProxyContext>, node: Option<Node>) {
    if let Some(node) = node {
        let seeds = node.seeds.iter().map(|seed| *seed.ip()).collect();
        proxy.step(|state, _| state.set_seeds(seeds));
    }
}

fn handle_tick(proxy: &Rc<ProxyContext>, tick: u32) {
    proxy.step(ProxyState::tick);
    if tick.is_multiple_of(SWEEP_TICKS) {
        proxy.upstreams.sweep();
        proxy.clients.sweep(proxy.limits(), proxy.is_ending());
    }
    if tick.is_multiple_of(REPORT_TICKS) {
        proxy.step(ProxyState::send_report);
    }
}

/// Not ready from now on, but at work for what still comes, until nothing does.
async fn end_in_order(proxy: &Rc<ProxyContext>) {
    tracing::info!("ending: no longer ready");
    proxy.step(|state, _| state.is_shutting_down = true);
    let began = Instant::now();
    let grace_s = proxy.node.bounds.grace_period_s.clamp(0.0, MAX_GRACE_S);
    let grace = Duration::from_secs_f64(grace_s);
    let latest = grace.saturating_sub(BEFORE_KILL).max(grace / 2);
    let mut ticks = interval(ENDING_TICK);
    let mut tick = 0u32;
    while began.elapsed() < latest {
        ticks.tick().await;
        tick = tick.wrapping_add(1);
        proxy.clients.sweep(proxy.limits(), true);
        if tick.is_multiple_of(ENDING_TICKS_PER_TICK) {
            handle_tick(proxy, tick / ENDING_TICKS_PER_TICK);
        }
        let is_idle = proxy.requests_in_flight.get() == 0 && proxy.clients.is_idle();
        if began.elapsed() >= CLIENTS_STILL_COME && is_idle {
            break;
        }
    }
    let left = proxy.requests_in_flight.get();
    tracing::info!("ending: done, {left} requests are left");
}
