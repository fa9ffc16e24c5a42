//! Measures reading and validating a file of 10,000 servers compared with plain evaluation of the script.
//! Run with `cargo run --release -p rookpulley-files --example check`.

use rookpulley_files::{read, render};
use rookpulley_lists::candidate::{Rejection, validate_change, validate_list};
use rookpulley_lists::{Candidate, Deployment, Entry};
use std::path::Path;
use std::time::Instant;

fn median_ms(mut operation: impl FnMut()) -> f64 {
    let time = |_| {
        let from = Instant::now();
        operation();
        from.elapsed().as_secs_f64() * 1e3
    };
    let mut times: Vec<f64> = (0..15).map(time).collect();
    times.sort_by(f64::total_cmp);
    times[7]
}

fn main() {
    let entry = |n: usize| Entry {
        name: format!("s-{n:08x}"),
        address: format!("10.{}.{}.{}:8000", n >> 16, n >> 8 & 255, n & 255),
        zone: ["a", "b", "c"][n % 3].into(),
        machine: "m".into(),
        weight: 1.0,
        ..Entry::default()
    };
    let list = Candidate {
        generation: 1,
        loss: None,
        entries: (0..10_000).map(entry).collect(),
    };
    let zones = ["a", "b", "c"].map(String::from).to_vec();
    let deployment = Deployment {
        zones,
        machines: vec!["m".into()],
        ..Deployment::default()
    };
    let (text, file) = (render(&list), Path::new("servers.star"));
    let (body, _) = rookpulley_files::read::split_closing(&text);
    let evaluate_ms = median_ms(|| {
        assert_eq!(
            rookpulley_files::read::parse_body(file, body)
                .unwrap()
                .entries
                .len(),
            10_000
        )
    });
    let read_ms =
        median_ms(|| assert_eq!(read(file, text.as_bytes()).unwrap().entries.len(), 10_000));
    let validate_ms = median_ms(|| {
        let mut rejection = Rejection::default();
        validate_list(1e12, &list, &deployment, &mut rejection);
        validate_change(&list, &list, &mut rejection);
        assert!(rejection.is_empty());
    });
    println!(
        "10,000 servers, {} bytes, medians of 15: plain evaluation {evaluate_ms:.1} ms; reading and verifying the seal \
         {read_ms:.1} ms, validating the list {validate_ms:.1} ms; both {:.3} of plain evaluation",
        text.len(),
        (read_ms + validate_ms) / evaluate_ms
    );
}
