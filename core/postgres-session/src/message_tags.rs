//! Message type bytes of the protocol ("Message Formats"). The same byte can denote different messages in the two
//! directions.

/// Messages sent by a client.
pub mod frontend {
    /// `Bind`.
    pub const BIND: u8 = b'B';
    /// `Close`.
    pub const CLOSE: u8 = b'C';
    /// `CopyData`.
    pub const COPY_DATA: u8 = b'd';
    /// `CopyDone`.
    pub const COPY_DONE: u8 = b'c';
    /// `CopyFail`.
    pub const COPY_FAIL: u8 = b'f';
    /// `Describe`.
    pub const DESCRIBE: u8 = b'D';
    /// `Execute`.
    pub const EXECUTE: u8 = b'E';
    /// `Flush`.
    pub const FLUSH: u8 = b'H';
    /// `FunctionCall`.
    pub const FUNCTION_CALL: u8 = b'F';
    /// `Parse`.
    pub const PARSE: u8 = b'P';
    /// `PasswordMessage`, `SASLInitialResponse` and `SASLResponse`.
    pub const PASSWORD: u8 = b'p';
    /// `Query`.
    pub const QUERY: u8 = b'Q';
    /// `Sync`.
    pub const SYNC: u8 = b'S';
    /// `Terminate`.
    pub const TERMINATE: u8 = b'X';
}

/// Messages sent by a server.
pub mod backend {
    /// `AuthenticationOk` and all authentication requests; see [`super::authentication`].
    pub const AUTHENTICATION: u8 = b'R';
    /// `BackendKeyData`.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// `BindComplete`.
    pub const BIND_COMPLETE: u8 = b'2';
    /// `CloseComplete`.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// `CommandComplete`.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// `CopyData`.
    pub const COPY_DATA: u8 = b'd';
    /// `CopyInResponse`.
    pub const COPY_IN_RESPONSE: u8 = b'G';
    /// `DataRow`.
    pub const DATA_ROW: u8 = b'D';
    /// `EmptyQueryResponse`.
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    /// `ErrorResponse`.
    pub const ERROR_RESPONSE: u8 = b'E';
    /// `NegotiateProtocolVersion`.
    pub const NEGOTIATE_PROTOCOL_VERSION: u8 = b'v';
    /// `NoData`.
    pub const NO_DATA: u8 = b'n';
    /// `NoticeResponse`.
    pub const NOTICE_RESPONSE: u8 = b'N';
    /// `NotificationResponse`.
    pub const NOTIFICATION_RESPONSE: u8 = b'A';
    /// `ParameterDescription`.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// `ParameterStatus`.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// `ParseComplete`.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// `PortalSuspended`.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// `ReadyForQuery`.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// `RowDescription`.
    pub const ROW_DESCRIPTION: u8 = b'T';
}

/// Codes at the start of the body of an authentication message.
pub mod authentication {
    /// `AuthenticationOk`.
    pub const OK: u32 = 0;
    /// `AuthenticationCleartextPassword`.
    pub const CLEARTEXT_PASSWORD: u32 = 3;
    /// `AuthenticationMD5Password`.
    pub const MD5_PASSWORD: u32 = 5;
    /// `AuthenticationSASL`.
    pub const SASL: u32 = 10;
    /// `AuthenticationSASLContinue`.
    pub const SASL_CONTINUE: u32 = 11;
    /// `AuthenticationSASLFinal`.
    pub const SASL_FINAL: u32 = 12;
}
