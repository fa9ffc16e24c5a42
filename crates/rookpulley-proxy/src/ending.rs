//! What the platform says by signals, and all that is due from time to time.

use crate::state::ProxyContext;
use rookpulley_proxy_core::Satchel;
use rookpulley_routes::Limits;
use rookpulley_runtime::SettingsFile;
use rookpulley_settings::Node;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};

const TICK: Duration = Duration::from_millis(250);
const LAST_TICK: Duration = Duration::from_millis(100);
/// So long clients are still sent here after the end has begun.
const STILL_SENT: Duration = Duration::from_secs(3);
/// The end comes so long before the platform would make it.
const BEFORE_KILL: Duration = Duration::from_millis(700);

/// What the platform may ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// To end in order.
    End,
    /// To read the settings again.
    Read,
}

pub struct Signals {
    heard: mpsc::Receiver<Signal>,
}

impl Signals {
    /// Those of this process. It must run inside a `LocalSet`.
    pub fn take() -> std::io::Result<Signals> {
        let (tell, signals) = Signals::by_hand();
        for (kind, means) in [
            (SignalKind::terminate(), Signal::End),
            (SignalKind::hangup(), Signal::Read),
        ] {
            let (mut sent, tell) = (signal(kind)?, tell.clone());
            tokio::task::spawn_local(async move {
                while sent.recv().await.is_some() && tell.send(means).await.is_ok() {}
            });
        }
        Ok(signals)
    }

    /// Those that somebody in this process sends.
    pub fn by_hand() -> (mpsc::Sender<Signal>, Signals) {
        let (tell, heard) = mpsc::channel(8);
        (tell, Signals { heard })
    }
}

/// Returns when the program may end.
pub async fn attend(proxy: Rc<ProxyContext>, path: Option<PathBuf>, mut signals: Signals) {
    let mut file = path.map(SettingsFile::new);
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tick = 0u32;
    loop {
        tokio::select! {
            Some(heard) = signals.heard.recv() => match (heard, &file) {
                (Signal::End, _) => break,
                (Signal::Read, Some(file)) => take_settings(&proxy, file.read()),
                (Signal::Read, None) => {}
            },
            _ = ticks.tick() => {
                tick = tick.wrapping_add(1);
                due(&proxy, tick);
                if tick.is_multiple_of(8) && let Some(file) = &mut file {
                    take_settings(&proxy, file.read_if_changed());
                }
            }
        }
    }
    end(&proxy).await;
}

fn take_settings(proxy: &Rc<ProxyContext>, node: Option<Node>) {
    if let Some(node) = node {
        let seeds = node.seeds.iter().map(|seed| *seed.ip()).collect();
        proxy.with(|satchel, _| satchel.set_seeds(seeds));
    }
}

fn due(proxy: &Rc<ProxyContext>, tick: u32) {
    proxy.with(Satchel::tend);
    if tick.is_multiple_of(2) {
        proxy.wires.sweep();
        proxy.clients.sweep(limits(proxy), proxy.ending());
    }
    if tick.is_multiple_of(4) {
        proxy.with(Satchel::report);
    }
}

fn limits(proxy: &ProxyContext) -> Limits {
    proxy
        .book()
        .map_or_else(Limits::default, |book| book.limits)
}

/// Not ready from now on, but at work for what still comes, until nothing does.
async fn end(proxy: &Rc<ProxyContext>) {
    tracing::info!("ending: no longer ready");
    proxy.with(|satchel, _| satchel.ending = true);
    let begun = Instant::now();
    let grace = Duration::from_secs_f64(proxy.node.bounds.grace_period_s.clamp(0.0, 3_600.0));
    let latest = grace.saturating_sub(BEFORE_KILL).max(grace / 2);
    let mut ticks = interval(LAST_TICK);
    let mut tick = 0u32;
    while begun.elapsed() < latest {
        ticks.tick().await;
        tick = tick.wrapping_add(1);
        proxy.clients.sweep(limits(proxy), true);
        if tick.is_multiple_of(2) {
            due(proxy, tick / 2);
        }
        if begun.elapsed() >= STILL_SENT && proxy.at_work.get() == 0 && proxy.clients.calm() {
            break;
        }
    }
    tracing::info!("ending: done, {} requests are left", proxy.at_work.get());
}
