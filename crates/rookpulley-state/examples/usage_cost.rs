//! Cost of usage: bytes in the chain a window, size of a snapshot, and time to apply and to close.
//!
//!     cargo run --release -p rookpulley-state --example usage_cost -- PROXIES TENANTS REQUESTS_PER_WINDOW

use rookpulley_state::{Answer, Limits, StateMachine, Update};
use rookpulley_usage::{ProxyUsage, TenantUsage, Window, WindowUsage};
use std::collections::BTreeMap;
use std::time::Instant;

/// Proxies in one update.
const PROXIES_PER_UPDATE: usize = 40;
const FIRST_WINDOW: u64 = 353_445_120;

struct Load {
    proxies: u64,
    tenants: usize,
    /// None: each tenant has requests at each proxy.
    requests: Option<usize>,
}

/// The tenant of a request: the n-th has a share that falls with n.
fn tenant_of(request: usize, tenants: usize) -> usize {
    let point = (request as f64 * 0.618_033_988_749_895).fract();
    ((tenants as f64 + 1.0).powf(point) - 1.0) as usize
}

fn usage_of(load: &Load, proxy: u64, window: u64) -> ProxyUsage {
    let mut counts = BTreeMap::<usize, u64>::new();
    match load.requests {
        Some(requests) => {
            for request in 0..requests / load.proxies as usize {
                let drawn = request * load.proxies as usize + proxy as usize + window as usize;
                *counts.entry(tenant_of(drawn, load.tenants)).or_default() += 1;
            }
        }
        None => counts = (0..load.tenants).map(|tenant| (tenant, 200)).collect(),
    }
    let tenants = counts.into_iter().map(|(tenant, requests)| TenantUsage {
        tenant: format!("te{tenant:04}"),
        requests,
    });
    let usage = WindowUsage {
        window: Window(window),
        tenants: tenants.collect(),
    };
    ProxyUsage {
        incarnation: u64::MAX - proxy * 7_919,
        windows: vec![usage],
    }
}

fn measure(name: &str, load: &Load) {
    let mut state = StateMachine::new(Limits {
        usage_bytes: usize::MAX,
        ..Limits::default()
    });
    println!("{name}: {} proxies, {} tenants", load.proxies, load.tenants);
    for window in FIRST_WINDOW..FIRST_WINDOW + 3 {
        let proxies: Vec<_> = (0..load.proxies)
            .map(|proxy| usage_of(load, proxy, window))
            .collect();
        let updates = proxies.chunks(PROXIES_PER_UPDATE).map(|proxies| {
            let proxies = proxies.to_vec();
            Update::RecordUsage { proxies }.encode()
        });
        let updates: Vec<Vec<u8>> = updates.collect();
        let began = Instant::now();
        for update in &updates {
            let answer = state.apply_bytes(1, update);
            assert_eq!(answer, Answer::Done.encode());
        }
        let took = began.elapsed();
        println!(
            "  window: {} updates, {} bytes in the chain, applied in {took:?}; accounted {} bytes, snapshot {} bytes",
            updates.len(),
            updates.iter().map(Vec::len).sum::<usize>(),
            state.usage().usage_bytes,
            state.snapshot().len()
        );
    }
    let window = Window(FIRST_WINDOW);
    let began = Instant::now();
    state.apply(2, &Update::CloseUsage { window });
    println!("  closed one window in {:?}", began.elapsed());
    let window = Window(FIRST_WINDOW + 2);
    state.apply(2, &Update::CloseUsage { window });
    let (bytes, snapshot) = (state.usage().usage_bytes, state.snapshot().len());
    println!("  3 reports: accounted {bytes} bytes, snapshot {snapshot} bytes");
}

fn main() {
    let numbers: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let [proxies, tenants, requests] = numbers[..] else {
        eprintln!("usage: usage_cost PROXIES TENANTS REQUESTS_PER_WINDOW");
        return;
    };
    let proxies = proxies as u64;
    let drawn = Load {
        proxies,
        tenants,
        requests: Some(requests),
    };
    measure("drawn requests", &drawn);
    let all = Load {
        requests: None,
        ..drawn
    };
    measure("each tenant at each proxy", &all);
}
