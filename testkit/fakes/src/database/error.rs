//! Errors that the fake server reports to a client.
//!
//! Source: PostgreSQL documentation, appendix "PostgreSQL Error Codes".

/// A five-character SQLSTATE code. The constants are named after PostgreSQL's condition names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SqlState(pub &'static str);

impl SqlState {
    /// `protocol_violation`.
    pub const PROTOCOL_VIOLATION: Self = Self("08P01");
    /// `feature_not_supported`.
    pub const FEATURE_NOT_SUPPORTED: Self = Self("0A000");
    /// `numeric_value_out_of_range`.
    pub const NUMERIC_VALUE_OUT_OF_RANGE: Self = Self("22003");
    /// `division_by_zero`.
    pub const DIVISION_BY_ZERO: Self = Self("22012");
    /// `invalid_parameter_value`.
    pub const INVALID_PARAMETER_VALUE: Self = Self("22023");
    /// `invalid_text_representation`.
    pub const INVALID_TEXT_REPRESENTATION: Self = Self("22P02");
    /// `invalid_binary_representation`.
    pub const INVALID_BINARY_REPRESENTATION: Self = Self("22P03");
    /// `bad_copy_file_format`.
    pub const BAD_COPY_FILE_FORMAT: Self = Self("22P04");
    /// `not_null_violation`.
    pub const NOT_NULL_VIOLATION: Self = Self("23502");
    /// `unique_violation`.
    pub const UNIQUE_VIOLATION: Self = Self("23505");
    /// `active_sql_transaction`.
    pub const ACTIVE_SQL_TRANSACTION: Self = Self("25001");
    /// `read_only_sql_transaction`.
    pub const READ_ONLY_SQL_TRANSACTION: Self = Self("25006");
    /// `no_active_sql_transaction`.
    pub const NO_ACTIVE_SQL_TRANSACTION: Self = Self("25P01");
    /// `in_failed_sql_transaction`.
    pub const IN_FAILED_SQL_TRANSACTION: Self = Self("25P02");
    /// `invalid_sql_statement_name`.
    pub const INVALID_SQL_STATEMENT_NAME: Self = Self("26000");
    /// `invalid_password`.
    pub const INVALID_PASSWORD: Self = Self("28P01");
    /// `invalid_cursor_name`.
    pub const INVALID_CURSOR_NAME: Self = Self("34000");
    /// `invalid_savepoint_specification`.
    pub const INVALID_SAVEPOINT_SPECIFICATION: Self = Self("3B001");
    /// `deadlock_detected`.
    pub const DEADLOCK_DETECTED: Self = Self("40P01");
    /// `syntax_error`.
    pub const SYNTAX_ERROR: Self = Self("42601");
    /// `undefined_column`.
    pub const UNDEFINED_COLUMN: Self = Self("42703");
    /// `undefined_object`.
    pub const UNDEFINED_OBJECT: Self = Self("42704");
    /// `undefined_function`.
    pub const UNDEFINED_FUNCTION: Self = Self("42883");
    /// `undefined_table`.
    pub const UNDEFINED_TABLE: Self = Self("42P01");
    /// `undefined_parameter`.
    pub const UNDEFINED_PARAMETER: Self = Self("42P02");
    /// `duplicate_cursor`.
    pub const DUPLICATE_CURSOR: Self = Self("42P03");
    /// `duplicate_prepared_statement`.
    pub const DUPLICATE_PREPARED_STATEMENT: Self = Self("42P05");
    /// `duplicate_table`.
    pub const DUPLICATE_TABLE: Self = Self("42P07");
    /// `too_many_connections`.
    pub const TOO_MANY_CONNECTIONS: Self = Self("53300");
    /// `object_not_in_prerequisite_state`.
    pub const OBJECT_NOT_IN_PREREQUISITE_STATE: Self = Self("55000");
    /// `cant_change_runtime_param`.
    pub const CANT_CHANGE_RUNTIME_PARAM: Self = Self("55P02");
    /// `query_canceled`.
    pub const QUERY_CANCELED: Self = Self("57014");
    /// `admin_shutdown`.
    pub const ADMIN_SHUTDOWN: Self = Self("57P01");
}

/// An error in a statement or protocol message, sent to the client in an `ErrorResponse`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", .state.0)]
pub struct SqlError {
    /// The SQLSTATE code.
    pub state: SqlState,
    /// The primary error message, as the client receives it.
    pub message: String,
}

impl SqlError {
    /// An error with this SQLSTATE and primary message.
    pub fn new(state: SqlState, message: impl Into<String>) -> Self {
        Self {
            state,
            message: message.into(),
        }
    }

    /// The error for a statement other than ROLLBACK or COMMIT in a failed transaction block.
    pub(super) fn failed_transaction() -> Self {
        Self::new(
            SqlState::IN_FAILED_SQL_TRANSACTION,
            "current transaction is aborted, commands ignored until end of transaction block",
        )
    }

    /// The error for a table that does not exist.
    pub(super) fn undefined_table(name: &str) -> Self {
        Self::new(
            SqlState::UNDEFINED_TABLE,
            format!("relation \"{name}\" does not exist"),
        )
    }

    /// The error for a prepared statement that does not exist.
    pub(super) fn undefined_statement(name: &str) -> Self {
        Self::new(
            SqlState::INVALID_SQL_STATEMENT_NAME,
            format!("prepared statement \"{name}\" does not exist"),
        )
    }

    /// The error for a configuration parameter that does not exist.
    pub(super) fn unrecognized_setting(name: &str) -> Self {
        Self::new(
            SqlState::UNDEFINED_OBJECT,
            format!("unrecognized configuration parameter \"{name}\""),
        )
    }

    /// The error that a server sends on each connection when it shuts down.
    pub(super) fn admin_shutdown() -> Self {
        Self::new(
            SqlState::ADMIN_SHUTDOWN,
            "terminating connection due to administrator command",
        )
    }

    /// The error for a new connection when the server's connection limit is reached.
    pub(super) fn too_many_connections() -> Self {
        Self::new(
            SqlState::TOO_MANY_CONNECTIONS,
            "sorry, too many clients already",
        )
    }

    /// The error for a reference to the unnamed prepared statement when there is none.
    pub(super) fn undefined_unnamed_statement() -> Self {
        Self::new(
            SqlState::INVALID_SQL_STATEMENT_NAME,
            "unnamed prepared statement does not exist",
        )
    }
}
