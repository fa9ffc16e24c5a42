//! Stored data and frames of earlier builds stay readable, and this build writes the same bytes.
//!
//! `postcard` encodes fields and variants by position, so reordering them breaks compatibility while renaming does not.

mod frames;
mod rows;

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Encoded values by unique name.
#[derive(Default)]
struct Encoded(BTreeMap<String, Vec<u8>>);

impl Encoded {
    /// Encodes a value and checks that it decodes to the same value.
    fn add<T: Serialize + DeserializeOwned + Debug>(&mut self, name: &str, value: &T) {
        let bytes = postcard::to_allocvec(value).unwrap();
        let read: T = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(format!("{read:?}"), format!("{value:?}"), "{name}");
        self.add_bytes(name, bytes);
    }

    fn add_bytes(&mut self, name: &str, bytes: Vec<u8>) {
        let previous = self.0.insert(name.into(), bytes);
        assert!(previous.is_none(), "duplicate name: {name}");
    }

    /// Compares with a fixture byte by byte. If `WRITE_FIXTURES` is set, a missing fixture is written.
    fn assert_matches(&self, file: &str) {
        let path = format!(
            "{}/tests/compatibility/fixtures/{file}",
            env!("CARGO_MANIFEST_DIR")
        );
        if !std::fs::exists(&path).unwrap() && std::env::var_os("WRITE_FIXTURES").is_some() {
            let lines = self
                .0
                .iter()
                .map(|(name, bytes)| format!("{name} = {}\n", hex(bytes)));
            std::fs::write(&path, lines.collect::<String>()).unwrap();
        }
        let fixture = read_fixture(file);
        let names =
            |encoded: &BTreeMap<String, Vec<u8>>| encoded.keys().cloned().collect::<Vec<_>>();
        assert_eq!(names(&self.0), names(&fixture));
        for (name, bytes) in &self.0 {
            assert_eq!(hex(bytes), hex(&fixture[name]), "{name} of {file}");
        }
    }
}

/// Reads the encoded values of a fixture by name.
fn read_fixture(file: &str) -> BTreeMap<String, Vec<u8>> {
    let path = format!(
        "{}/tests/compatibility/fixtures/{file}",
        env!("CARGO_MANIFEST_DIR")
    );
    let text = std::fs::read_to_string(path).unwrap();
    let parse_line = |line: &str| {
        let (name, digits) = line.split_once(" = ").unwrap();
        (name.to_string(), unhex(digits))
    };
    text.lines().map(parse_line).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}
