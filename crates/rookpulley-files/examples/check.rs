//! What reading and checking a file of 10,000 servers takes, beside plain evaluation and beside reading the bytes.
//! `cargo run --release -p rookpulley-files --example check`

use rookpulley_files::{read, render};
use rookpulley_lists::candidate::{Rejection, validate_change, validate_list};
use rookpulley_lists::{Candidate, Deployment, Entry};
use std::path::Path;
use std::time::Instant;

fn best(mut what: impl FnMut()) -> f64 {
    let time = |_| {
        let from = Instant::now();
        what();
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
    let facts = Deployment {
        zones,
        machines: vec!["m".into()],
        ..Deployment::default()
    };
    let (text, file) = (render(&list), Path::new("servers.star"));
    let (before, _) = rookpulley_files::read::split_closing(&text);
    let plain = best(|| {
        assert_eq!(
            rookpulley_files::read::parse_body(file, before)
                .unwrap()
                .entries
                .len(),
            10_000
        )
    });
    let whole = best(|| assert_eq!(read(file, text.as_bytes()).unwrap().entries.len(), 10_000));
    let checked = best(|| {
        let mut refused = Rejection::default();
        validate_list(1e12, &list, &facts, &mut refused);
        validate_change(&list, &list, &mut refused);
        assert!(refused.is_empty());
    });
    println!(
        "10,000 servers, {} bytes, medians of 15: plain evaluation {plain:.1} ms; read with its seal {whole:.1} ms, \
         checks of the list {checked:.1} ms; both {:.3} of plain evaluation",
        text.len(),
        (whole + checked) / plain
    );
}
