//! Tasks that serve nothing: each sends heartbeats as a real one does. Some share a connection.

use crate::Sizes;
use crate::configuration::service;
use crate::http::Connection;
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

/// Tasks that share a connection.
const SHARED: usize = 64;
const HEARTBEAT_EVERY: Duration = Duration::from_millis(1_500);
const PAUSE: Duration = Duration::from_millis(200);
/// Ports on one address of the stand-in network.
const PORTS: usize = 200;

#[derive(Default)]
pub struct Heartbeats {
    pub acknowledged: Cell<u64>,
    pub failed: Cell<u64>,
}

pub fn start(sizes: &Sizes, zones: usize, controls: &[SocketAddrV4], heartbeats: &Rc<Heartbeats>) {
    for (at, first) in (0..sizes.tasks).step_by(SHARED).enumerate() {
        let last = (first + SHARED).min(sizes.tasks);
        let bodies: Vec<(String, String)> = (first..last)
            .map(|task| {
                (
                    format!("/rookpulley/instances/t-{task:05}"),
                    facts(sizes, zones, task),
                )
            })
            .collect();
        let controls = controls.to_vec();
        tokio::task::spawn_local(heartbeat_all(at, bodies, controls, heartbeats.clone()));
    }
}

/// A heartbeat up to its number.
fn facts(sizes: &Sizes, zones: usize, task: usize) -> String {
    let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 128, 0, 0)) + (task / PORTS) as u32);
    format!(
        "{{\"address\":\"{ip}:{}\",\"nodeInfo\":{{\"targetService\":\"{}\",\"configVersion\":\"v1\",\"zone\":\"zone-{}\",\
         \"capacitySlots\":4}},\"currentStatus\":{{\"lifecycleState\":\"available\",\"coldRemainingMs\":0,\"callSequence\":",
        8_000 + task % PORTS,
        service(task % sizes.services),
        task % zones
    )
}

async fn heartbeat_all(
    at: usize,
    bodies: Vec<(String, String)>,
    controls: Vec<SocketAddrV4>,
    heartbeats: Rc<Heartbeats>,
) {
    let mut to = at;
    let mut connection = None;
    // All begin spread over one interval.
    tokio::time::sleep(HEARTBEAT_EVERY.mul_f64((at % 16) as f64 / 16.0)).await;
    let mut ticks = tokio::time::interval(HEARTBEAT_EVERY);
    for sequence in 1u64.. {
        ticks.tick().await;
        for (path, facts) in &bodies {
            let Some(control) = controls.get(to % controls.len().max(1)) else {
                return;
            };
            if connection.is_none() {
                connection = Connection::open(*control).await.ok();
            }
            let Some(open) = &mut connection else {
                to += 1;
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            match open.put(path, &format!("{facts}{sequence}}}}}")).await {
                Ok(200) => heartbeats
                    .acknowledged
                    .set(heartbeats.acknowledged.get() + 1),
                _ => {
                    heartbeats.failed.set(heartbeats.failed.get() + 1);
                    (connection, to) = (None, to + 1);
                }
            }
        }
    }
}
