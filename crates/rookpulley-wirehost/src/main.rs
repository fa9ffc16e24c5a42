//! The bench adapter: reads batches from standard input, runs one isolated controller per instance and writes one
//! reply per batch to standard output.

mod wire;

use rookpulley::interface::Input;
use rookpulley::rules::Controller;
use std::collections::BTreeMap;
use std::io::{BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

#[derive(Debug, thiserror::Error)]
enum HostError {
    #[error("batch {batch}: {error}")]
    Frame { batch: u32, error: wire::FrameError },
    #[error("batch {batch}: event for instance {instance}, which has not started")]
    NotStarted { batch: u32, instance: u32 },
    #[error("input ends inside a {part}: {got} of {expected} bytes")]
    Truncated {
        part: &'static str,
        got: usize,
        expected: usize,
    },
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Reads `expected` bytes, or fewer if the input ends first. Returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buf: &mut Vec<u8>, expected: usize) -> std::io::Result<usize> {
    buf.clear();
    input.take(expected as u64).read_to_end(buf)
}

fn host(input: impl Read, output: impl Write) -> Result<(), HostError> {
    let (mut input, mut output) = (BufReader::new(input), BufWriter::new(output));
    let mut controllers: BTreeMap<u32, Controller> = BTreeMap::new();
    let (mut header, mut body, mut reply) = (Vec::new(), Vec::new(), Vec::new());
    loop {
        let got = read_up_to(&mut input, &mut header, wire::BATCH_HEADER_BYTES)?;
        if got == 0 {
            return Ok(output.flush()?);
        }
        if got < wire::BATCH_HEADER_BYTES {
            return Err(HostError::Truncated {
                part: "batch header",
                got,
                expected: wire::BATCH_HEADER_BYTES,
            });
        }
        let batch = wire::BatchHeader::read(&header);
        let got = read_up_to(&mut input, &mut body, batch.length)?;
        if got < batch.length {
            return Err(HostError::Truncated {
                part: "batch",
                got,
                expected: batch.length,
            });
        }
        let events = wire::read_events(&batch, &body).map_err(|error| HostError::Frame {
            batch: batch.number,
            error,
        })?;
        let mut by_instance: BTreeMap<u32, Vec<Input>> = BTreeMap::new();
        for (instance, event) in events {
            by_instance.entry(instance).or_default().push(event);
        }
        let mut writer = wire::ReplyWriter::default();
        for (instance, events) in by_instance {
            let mut inputs = Vec::new();
            for event in events {
                match event {
                    Input::Stop => {
                        inputs.clear();
                        controllers.remove(&instance);
                    }
                    Input::Start(start) => {
                        inputs.clear();
                        controllers.insert(instance, Controller::new(batch.now_ms, *start));
                    }
                    other if controllers.contains_key(&instance) => inputs.push(other),
                    _ => {
                        return Err(HostError::NotStarted {
                            batch: batch.number,
                            instance,
                        });
                    }
                }
            }
            if let Some(controller) = controllers.get_mut(&instance) {
                writer.add(instance, &controller.handle(batch.now_ms, &inputs));
            }
        }
        writer.finish(batch.number, &mut reply);
        output.write_all(&reply)?;
        output.flush()?;
    }
}

fn main() -> ExitCode {
    match host(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rookpulley-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::host;

    fn error_of(bytes: &[u8]) -> String {
        host(bytes, Vec::new()).map_or_else(|e| e.to_string(), |()| "fine".into())
    }

    fn batch(count: u32, body: &[u8]) -> Vec<u8> {
        let mut frame = (body.len() as u32).to_le_bytes().to_vec();
        frame.extend(7_u64.to_le_bytes());
        frame.extend(count.to_le_bytes());
        frame.extend(3_u32.to_le_bytes());
        frame.extend(body);
        frame
    }

    fn event(code: u8, at: usize, bytes: &[u8]) -> Vec<u8> {
        let mut record = vec![0; 48];
        record[0] = code;
        record[at..at + bytes.len()].copy_from_slice(bytes);
        record
    }

    #[test]
    fn an_empty_batch_is_answered() {
        let mut out = Vec::new();
        host(&batch(0, &[])[..], &mut out).unwrap();
        assert_eq!(out, [0, 0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0]);
    }

    const SETTINGS: &str = r#"{"self_index": 0, "balancers": 1, "locality": 0, "areas": ["a"],
        "registry_mode": "on_request", "never_heard_of": 1, "load_info": {"fields": ["depth"]},
        "categories": [{"name": "view", "effect": "token", "group": "cell", "window_us": 2000000,
            "aim_us": 500000, "hard_limit_us": 900000, "worth": 1.5}],
        "family_info": {"empty_for_us": 1000000, "lines_per_s": 500, "envelope": 2, "backlog": 900,
            "transit_us": 90000, "push_delay_max_us": 200000},
        "rules": {"drain_grace_us": 900000, "cold_share": 0.5, "ramp_time_us": 5000000,
            "fall_multiple": 2, "tip_after_us": 700000}}"#;

    #[test]
    fn every_event_code_is_decoded() {
        let mut start = event(16, 13, &0_u32.to_le_bytes());
        start[17..21].copy_from_slice(&(SETTINGS.len() as u32).to_le_bytes());
        let codes_after_start = [17, 18, 19, 20, 22, 23, 24, 25, 26, 27, 28, 29];
        let mut body = start.clone();
        codes_after_start
            .iter()
            .for_each(|code| body.extend(event(*code, 0, &[*code])));
        body.extend([event(21, 0, &[21]), start].concat());
        body.extend(SETTINGS.as_bytes());
        let mut out = Vec::new();
        host(
            &batch(codes_after_start.len() as u32 + 3, &body)[..],
            &mut out,
        )
        .unwrap();
        let codes: Vec<u8> = out[12..].chunks_exact(24).map(|record| record[0]).collect();
        assert_eq!(
            codes,
            [90, 85],
            "after the restart: sets a timer and watches the list"
        );
    }

    #[test]
    fn a_large_batch_is_read_and_a_truncated_one_rejected() {
        let mut body = event(16, 13, &0_u32.to_le_bytes());
        body[17..21].copy_from_slice(&(SETTINGS.len() as u32).to_le_bytes());
        (0..1_000_u16).for_each(|proxy| body.extend(event(22, 5, &proxy.to_le_bytes())));
        (0..25_000_u16).for_each(|k| body.extend(event(26, 5, &(k % 1_000).to_le_bytes())));
        body.extend(SETTINGS.as_bytes());
        let frame = batch(26_001, &body);
        assert!(frame.len() > 1_000_000);
        let mut out = Vec::new();
        host(&frame[..], &mut out).unwrap();
        assert_eq!(out[12], 90, "the first effect sets a timer");
        let truncated = error_of(&frame[..frame.len() / 2]);
        assert!(
            truncated != "fine" && !truncated.contains('\n'),
            "{truncated}"
        );
    }

    #[test]
    fn malformed_frames_are_reported() {
        let mut start = event(16, 13, &0_u32.to_le_bytes());
        start[17..21].copy_from_slice(&2_u32.to_le_bytes());
        start.extend(b"{x");
        let mut not_utf8 = start.clone();
        not_utf8[48] = 0xff;
        let outside = event(20, 11, &9_u32.to_le_bytes());
        let messages: Vec<String> = [
            vec![1, 2, 3],
            batch(0, &[])[..19].to_vec(),
            [&9_u32.to_le_bytes()[..], &batch(0, &[])[4..]].concat(),
            batch(2, &[0; 48]),
            batch(1, &event(99, 0, &[99])),
            batch(1, &event(18, 0, &[18])),
            batch(1, &event(17, 5, &[7])),
            batch(1, &outside),
            batch(1, &start),
            batch(1, &not_utf8),
        ]
        .iter()
        .map(|bytes| error_of(bytes))
        .collect();
        insta::assert_snapshot!(messages.join("\n"));
    }
}
