//! A table of texts, and its messages on the wire.

use std::fmt::Display;

use badgerpost_postgres_session::frame::Frame;
use badgerpost_postgres_session::message_tags::backend;
use bytes::{BufMut, BytesMut};

/// Object number of the type `text`.
const TEXT_TYPE_OID: u32 = 25;
/// Size of a type whose values have different lengths.
const VARIABLE_SIZE: i16 = -1;
/// A type without a modifier.
const NO_TYPE_MODIFIER: i32 = -1;
/// Values are sent as text.
const TEXT_FORMAT: u16 = 0;

/// A table of texts.
pub(super) struct Table {
    columns: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(super) fn new(columns: &'static [&'static str], rows: Vec<Vec<String>>) -> Self {
        Self { columns, rows }
    }

    /// Adds the table's messages.
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
            // The column is of no table: its object number and the column's number there.
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

/// A row of displayed values.
pub(super) fn row<const N: usize>(values: [&dyn Display; N]) -> Vec<String> {
    values.iter().map(ToString::to_string).collect()
}
