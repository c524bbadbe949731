//! Faults that tests inject.

/// A fault that occurs at a statement chosen by the test. In COPY data, either crash fault crashes the server at once,
/// and the other faults have no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The server crashes before it executes the statement.
    CrashBeforeExecution,
    /// The server crashes after it has executed the statement and, outside a transaction block, committed it, but
    /// before it responds.
    CrashAfterExecution,
    /// The server never responds to the statement.
    Hang,
    /// The server rejects the statement with `too_many_connections`.
    Reject,
}
