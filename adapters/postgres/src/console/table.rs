//! A table of text values, and its encoding as `RowDescription` and `DataRow` messages.

use std::fmt::Display;

use badgerpost_postgres_session::frame::Frame;
use badgerpost_postgres_session::message_tags::backend;
use bytes::{BufMut, BytesMut};

/// Object ID of the type `text`.
const TEXT_TYPE_OID: u32 = 25;
/// Type size of variable-length types.
const VARIABLE_SIZE: i16 = -1;
/// Type modifier of types without a modifier.
const NO_TYPE_MODIFIER: i32 = -1;
/// Format code of text values.
const TEXT_FORMAT: u16 = 0;

/// A table of text values.
pub(super) struct Table {
    columns: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(super) fn new(columns: &'static [&'static str], rows: Vec<Vec<String>>) -> Self {
        Self { columns, rows }
    }

    /// Appends the table's messages to a response.
    pub(super) fn write(&self, response: &mut Vec<Frame>) {
        response.push(self.row_description());
        response.extend(self.rows.iter().map(|row| data_row(row)));
    }

    fn row_description(&self) -> Frame {
        let mut body = BytesMut::new();
        body.put_u16(self.columns.len() as u16);
        for column in self.columns {
            body.put_slice(column.as_bytes());
            body.put_u8(0);
            // Table object ID and column number are 0, as the column belongs to no database table.
            body.put_u32(0);
            body.put_u16(0);
            body.put_u32(TEXT_TYPE_OID);
            body.put_i16(VARIABLE_SIZE);
            body.put_i32(NO_TYPE_MODIFIER);
            body.put_u16(TEXT_FORMAT);
        }
        Frame::new(backend::ROW_DESCRIPTION, body.freeze())
    }
}

fn data_row(values: &[String]) -> Frame {
    let mut body = BytesMut::new();
    body.put_u16(values.len() as u16);
    for value in values {
        body.put_u32(value.len() as u32);
        body.put_slice(value.as_bytes());
    }
    Frame::new(backend::DATA_ROW, body.freeze())
}

/// Formats values as a row.
pub(super) fn row<const N: usize>(values: [&dyn Display; N]) -> Vec<String> {
    values.iter().map(ToString::to_string).collect()
}
