//! The rows of a result, their description and their end.

use super::super::query::Outcome;
use super::super::value::{Type, Value};
use super::Backend;

impl Backend {
    pub(super) fn describe_rows(&mut self, columns: &[(String, Type)], formats: &[u16]) {
        let mut body = u16::try_from(columns.len())
            .unwrap_or(0)
            .to_be_bytes()
            .to_vec();
        for (at, (name, kind)) in columns.iter().enumerate() {
            body.extend_from_slice(name.as_bytes());
            body.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0]);
            body.extend_from_slice(&kind.0.to_be_bytes());
            body.extend_from_slice(&kind.length().to_be_bytes());
            body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff]);
            let format = formats.get(at).or(formats.first()).copied().unwrap_or(0);
            body.extend_from_slice(&format.to_be_bytes());
        }
        self.put(b'T', &body);
    }

    /// Writes rows; returns how many.
    pub(super) fn rows(
        &mut self,
        outcome: &Outcome,
        columns: &[(String, Type)],
        formats: &[u16],
    ) -> u64 {
        if columns.is_empty() {
            return outcome.changed;
        }
        let mut count = 0;
        for row in &outcome.rows {
            for _ in 0..=outcome.repeats {
                self.row(row, columns, formats);
                count += 1;
                if self.out.len() > 256 * 1024 {
                    // Large results go out as they are made.
                    let out = std::mem::take(&mut self.out);
                    if !self.session.shared.write(self.session.number, &out) {
                        return count;
                    }
                }
            }
        }
        count
    }

    pub(super) fn row(&mut self, row: &[Value], columns: &[(String, Type)], formats: &[u16]) {
        let mut body = u16::try_from(row.len()).unwrap_or(0).to_be_bytes().to_vec();
        for (at, value) in row.iter().enumerate() {
            let format = formats.get(at).or(formats.first()).copied().unwrap_or(0);
            let kind = columns.get(at).map_or(Type::TEXT, |column| column.1);
            if *value == Value::Null {
                body.extend_from_slice(&(-1_i32).to_be_bytes());
                continue;
            }
            // A literal without a type becomes what its column is.
            let value = value.clone().cast(kind).unwrap_or_else(|_| value.clone());
            let bytes = if format == 1 {
                value.binary(kind)
            } else {
                value.text(kind).into_bytes()
            };
            body.extend_from_slice(&u32::try_from(bytes.len()).unwrap_or(0).to_be_bytes());
            body.extend_from_slice(&bytes);
        }
        self.put(b'D', &body);
    }

    pub(super) fn complete(&mut self, outcome: &Outcome, count: u64) {
        let tag = match outcome.verb {
            "INSERT" => format!("INSERT 0 {}", outcome.changed.max(count)),
            "UPDATE" | "DELETE" | "SELECT" | "FETCH" => format!("{} {count}", outcome.verb),
            verb => verb.to_owned(),
        };
        self.put(b'C', format!("{tag}\0").as_bytes());
    }
}
