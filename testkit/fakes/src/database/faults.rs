//! Faults that a test can inject.

/// What goes wrong at the statement that a fault is injected for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// The server crashes before it executes the statement.
    DieBefore,
    /// The server executes the statement and crashes before it answers.
    DieAfter,
    /// The statement is never answered.
    Hang,
    /// The statement is rejected, as by a server whose connections are all taken.
    Refuse,
}
