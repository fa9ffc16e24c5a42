//! The scripts of the review. `review-case NAME FOLDER` plays a case and writes `FOLDER/record.txt`.
//! It ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod behind;
mod cluster;
mod http;
mod keys;
mod lock;
mod relay;
mod sites;
mod task;

use cluster::Record;
use std::path::PathBuf;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

pub type Outcome = Result<Verdict, Box<dyn std::error::Error>>;

fn main() -> std::process::ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (name, folder) = (
        arguments.next().unwrap_or_default(),
        arguments.next().unwrap_or_else(|| ".".into()),
    );
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return 2.into();
        }
    };
    record.line(format!("case {name}, disruption: {has_trouble}"));
    let outcome = match name.as_str() {
        "behind" => behind::play(&record, has_trouble),
        "keys" => keys::play(&record, has_trouble),
        "lock" => lock::play(&record, has_trouble),
        _ => Err(format!("no case {name:?}").into()),
    };
    let (code, text) = match outcome {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    code.into()
}
