//! Writes results: `RowDescription`, `DataRow` and `CommandComplete`.

use super::Backend;
use crate::database::result::{ResultColumn, StatementResult};
use crate::database::value::{Type, Value};

/// More buffered output than this is sent while a result is still being written.
const MAX_BUFFERED_ROW_BYTES: usize = 256 * 1024;

/// The code of the text format, the default.
const TEXT_FORMAT: u16 = 0;

/// The code of the binary format.
pub(super) const BINARY_FORMAT: u16 = 1;

/// The length that encodes NULL.
const NULL_LENGTH: i32 = -1;

/// The format code of the column or parameter at a position. A single code applies to all positions; without any code,
/// the format is text.
pub(super) fn column_format(formats: &[u16], position: usize) -> u16 {
    let format = formats.get(position).or(formats.first());
    format.copied().unwrap_or(TEXT_FORMAT)
}

/// Encodes a number of columns as a 16-bit integer.
fn encode_column_count(count: usize) -> [u8; 2] {
    u16::try_from(count).unwrap_or(0).to_be_bytes()
}

impl Backend {
    /// Writes a `RowDescription`.
    pub(super) fn write_row_description(&mut self, columns: &[ResultColumn], formats: &[u16]) {
        let mut body = encode_column_count(columns.len()).to_vec();
        for (position, column) in columns.iter().enumerate() {
            body.extend_from_slice(column.name.as_bytes());
            // The terminator of the name; 0 for the table's OID and for the column's attribute number.
            body.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0]);
            body.extend_from_slice(&column.data_type.0.to_be_bytes());
            body.extend_from_slice(&column.data_type.length().to_be_bytes());
            // Type modifier -1: none.
            body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff]);
            body.extend_from_slice(&column_format(formats, position).to_be_bytes());
        }
        self.write_message(b'T', &body);
    }

    /// Writes the rows of a result. Returns the number of rows written, or the number of affected rows for a statement
    /// that returns none.
    pub(super) fn write_rows(&mut self, result: &StatementResult, formats: &[u16]) -> u64 {
        if result.columns.is_empty() {
            return result.affected_rows;
        }
        let mut count = 0;
        for row in &result.rows {
            for _ in 0..=result.extra_copies {
                self.write_row(row, &result.columns, formats);
                count += 1;
                if !self.flush_large_output() {
                    return count;
                }
            }
        }
        count
    }

    /// Sends the output if it exceeds [`MAX_BUFFERED_ROW_BYTES`]. Returns `false` if that fails.
    fn flush_large_output(&mut self) -> bool {
        if self.output.len() <= MAX_BUFFERED_ROW_BYTES {
            return true;
        }
        let output = std::mem::take(&mut self.output);
        self.session
            .server
            .write_to(self.session.connection_id, &output)
    }

    /// Writes a `DataRow`.
    pub(super) fn write_row(&mut self, row: &[Value], columns: &[ResultColumn], formats: &[u16]) {
        let mut body = encode_column_count(row.len()).to_vec();
        for (position, value) in row.iter().enumerate() {
            if *value == Value::Null {
                body.extend_from_slice(&NULL_LENGTH.to_be_bytes());
                continue;
            }
            let column = columns.get(position);
            let data_type = column.map_or(Type::TEXT, |column| column.data_type);
            let bytes = encode(value, data_type, column_format(formats, position));
            let length = u32::try_from(bytes.len()).unwrap_or(0);
            body.extend_from_slice(&length.to_be_bytes());
            body.extend_from_slice(&bytes);
        }
        self.write_message(b'D', &body);
    }

    /// Writes a `CommandComplete`; `count` is the number of rows returned or affected.
    pub(super) fn write_command_complete(&mut self, result: &StatementResult, count: u64) {
        let tag = match result.command_tag {
            "INSERT" => format!("INSERT 0 {}", result.affected_rows.max(count)),
            "UPDATE" | "DELETE" | "SELECT" | "FETCH" => format!("{} {count}", result.command_tag),
            other => other.to_owned(),
        };
        self.write_message(b'C', format!("{tag}\0").as_bytes());
    }
}

/// Encodes a value for a column of this type and format.
fn encode(value: &Value, data_type: Type, format: u16) -> Vec<u8> {
    // Converts values whose type differs from the column's, such as untyped literals.
    let cast = value.clone().cast(data_type);
    let value = cast.unwrap_or_else(|_| value.clone());
    if format == BINARY_FORMAT {
        value.binary(data_type)
    } else {
        value.text(data_type).into_bytes()
    }
}
