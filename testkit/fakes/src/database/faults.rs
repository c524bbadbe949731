//! Faults that a test can inject.

/// What goes wrong at the statement that a fault is injected for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The server crashes before it executes the statement.
    CrashBeforeExecution,
    /// The server executes the statement and crashes before it answers.
    CrashAfterExecution,
    /// The statement is never answered.
    Hang,
    /// The statement is rejected, as by a server whose connections are all taken.
    Reject,
}
