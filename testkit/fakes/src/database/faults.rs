//! What a stand-in database does wrong when it is told to.

/// What a connection does wrong at the next statement that matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// The whole server dies before it runs.
    DieBefore,
    /// It runs, and the server dies before it answers.
    DieAfter,
    /// It is taken, and nothing is ever said.
    Hang,
    /// It is refused, as by a server that is full.
    Refuse,
}
