//! The ranges of integer types.

use super::{Type, Value};
use crate::database::error::{SqlError, SqlState};

impl Value {
    /// Returns the value unchanged; an error if it is an integer outside the range of the type.
    pub(super) fn check_range(self, target: Type) -> Result<Self, SqlError> {
        let Self::Int(number) = self else {
            return Ok(self);
        };
        let (fits, type_name) = match target {
            Type::INT2 => (i16::try_from(number).is_ok(), "smallint"),
            Type::INT4 => (i32::try_from(number).is_ok(), "integer"),
            Type::OID => (u32::try_from(number).is_ok(), "OID"),
            _ => (true, ""),
        };
        if fits {
            return Ok(self);
        }
        Err(SqlError::new(
            SqlState::NUMERIC_VALUE_OUT_OF_RANGE,
            format!("{type_name} out of range"),
        ))
    }
}
