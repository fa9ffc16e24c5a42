//! Signal handling, periodic tasks and graceful shutdown.

use crate::context::ProxyContext;
use crate::shutdown_schedule::ShutdownPhase;
use rookpulley_proxy_core::ProxyState;
use rookpulley_runtime::SettingsFile;
use rookpulley_settings::Node;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval};

const TICK: Duration = Duration::from_millis(250);
/// Periods of recurring work, in ticks.
const SWEEP_TICKS: u32 = 2;
const REPORT_TICKS: u32 = 4;
const SETTINGS_TICKS: u32 = 8;
/// The tick during shutdown, shorter to exit soon after the last request.
const SHUTDOWN_TICK: Duration = Duration::from_millis(100);
const SHUTDOWN_TICKS_PER_TICK: u32 = 2;
const SIGNAL_QUEUE: usize = 8;

/// What the platform requests by a signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// Shut down gracefully.
    Shutdown,
    /// Reload the settings file.
    ReloadSettings,
}

/// A receiver of signals.
pub struct Signals {
    received: mpsc::Receiver<Signal>,
}

impl Signals {
    /// Receives the signals of this process. Must be called inside a `LocalSet`.
    pub fn from_process() -> std::io::Result<Self> {
        let (sender, signals) = Self::channel();
        for (kind, event) in [
            (SignalKind::terminate(), Signal::Shutdown),
            (SignalKind::hangup(), Signal::ReloadSettings),
        ] {
            let mut stream = signal(kind)?;
            let sender = sender.clone();
            tokio::task::spawn_local(async move {
                while stream.recv().await.is_some() && sender.send(event).await.is_ok() {}
            });
        }
        Ok(signals)
    }

    /// Receives signals sent through a channel.
    pub fn channel() -> (mpsc::Sender<Signal>, Self) {
        let (sender, received) = mpsc::channel(SIGNAL_QUEUE);
        (sender, Self { received })
    }
}

/// Handles signals and periodic work. Returns after graceful shutdown, which ends `accepting`.
pub async fn run_until_shutdown(
    proxy: Rc<ProxyContext>,
    settings_file: Option<PathBuf>,
    mut signals: Signals,
    accepting: JoinHandle<()>,
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
    shut_down_gracefully(&proxy, &accepting).await;
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
        proxy
            .clients
            .sweep(proxy.limits(), proxy.is_shutting_down());
    }
    if tick.is_multiple_of(REPORT_TICKS) {
        proxy.step(ProxyState::send_report);
    }
}

/// Reports not ready and keeps serving while clients are still routed here. Then finishes the requests in flight
/// without reading new ones. Returns when none is left, or when the grace period is about to end.
async fn shut_down_gracefully(proxy: &Rc<ProxyContext>, accepting: &JoinHandle<()>) {
    tracing::info!("shutdown: no longer ready");
    let schedule = proxy.start_shutdown();
    let started = Instant::now();
    let mut ticks = interval(SHUTDOWN_TICK);
    let mut tick = 0u32;
    loop {
        ticks.tick().await;
        tick = tick.wrapping_add(1);
        proxy.clients.sweep(proxy.limits(), true);
        if tick.is_multiple_of(SHUTDOWN_TICKS_PER_TICK) {
            handle_tick(proxy, tick / SHUTDOWN_TICKS_PER_TICK);
        }
        match schedule.phase(started.elapsed()) {
            ShutdownPhase::Draining => continue,
            ShutdownPhase::Finishing | ShutdownPhase::Answering => {}
            ShutdownPhase::Ended => break,
        }
        accepting.abort();
        proxy.clients.stop_reading_requests();
        if proxy.requests_in_flight.get() == 0 && proxy.clients.is_idle() {
            break;
        }
    }
    let remaining = proxy.requests_in_flight.get();
    tracing::info!("shutdown: complete with {remaining} requests still in flight");
}
