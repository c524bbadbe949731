//! Parses and runs the console's commands.

use std::time::Duration;

use badgerpost_postgres_session::frame::Frame;
use badgerpost_postgres_session::server_messages::command_complete;

use super::table::{Table, row};
use super::tables;
use crate::context::ServerContext;

/// Interval at which PAUSE checks whether all transactions have ended.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of checks by PAUSE: 60 s at the poll interval.
const MAX_PAUSE_POLLS: usize = 3000;

const HELP: &str = "SHOW POOLS | CLIENTS | SERVERS | STATS | CONFIG | HELP; PAUSE; RESUME; RECONNECT; DISCONNECT n";

/// Why a command failed. The text is sent to the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CommandError {
    /// The text is not a command.
    #[error("unknown command; available: {HELP}")]
    UnknownCommand,
    /// SHOW has no such table. Contains the table's name in upper case.
    #[error("unknown table in SHOW {0}; available: {HELP}")]
    UnknownTable(String),
    /// No client has this number. Contains the number as entered.
    #[error("no client has the number {0}; SHOW CLIENTS lists all clients")]
    UnknownClient(String),
    /// Some transactions did not end within the time limit of PAUSE.
    #[error(
        "some transactions have not ended within 60 s; new transactions stay paused until RESUME"
    )]
    TransactionsInProgress,
}

/// A console command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Shows a table.
    Show(TableName),
    /// Holds back new transactions, waits for those in progress, and closes all connections to servers.
    Pause,
    /// Ends a pause, so that held back transactions start.
    Resume,
    /// Closes idle connections to servers now, and leased connections when they are released.
    Reconnect,
    /// Ends a client's session after its current transaction.
    Disconnect {
        /// The client's number, as entered.
        client: String,
    },
}

/// The tables of SHOW.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TableName {
    Pools,
    Clients,
    Servers,
    Stats,
    Config,
    Help,
    Version,
}

impl Command {
    /// Parses a command. Case is ignored.
    pub(super) fn parse(text: &str) -> Result<Self, CommandError> {
        let text = text.to_ascii_uppercase();
        let words: Vec<&str> = text.split_whitespace().collect();
        match words[..] {
            ["SHOW", table] => TableName::parse(table).map(Self::Show),
            ["PAUSE"] => Ok(Self::Pause),
            ["RESUME"] => Ok(Self::Resume),
            ["RECONNECT"] => Ok(Self::Reconnect),
            ["DISCONNECT", number] => Ok(Self::Disconnect {
                client: number.to_owned(),
            }),
            _ => Err(CommandError::UnknownCommand),
        }
    }

    /// Runs the command and appends the response messages.
    pub(super) async fn run(
        self,
        context: &ServerContext,
        response: &mut Vec<Frame>,
    ) -> Result<(), CommandError> {
        let command_tag = match self {
            Self::Show(name) => {
                name.table(context).write(response);
                "SHOW"
            }
            Self::Pause => {
                pause(context).await?;
                "PAUSE"
            }
            Self::Resume => {
                context.pool.resume();
                "RESUME"
            }
            Self::Reconnect => {
                context.pool.reconnect();
                "RECONNECT"
            }
            Self::Disconnect { client } => {
                disconnect(context, client)?;
                "DISCONNECT"
            }
        };
        response.push(command_complete(command_tag));
        Ok(())
    }
}

impl TableName {
    fn parse(word: &str) -> Result<Self, CommandError> {
        match word {
            "POOLS" => Ok(Self::Pools),
            "CLIENTS" => Ok(Self::Clients),
            "SERVERS" => Ok(Self::Servers),
            "STATS" => Ok(Self::Stats),
            "CONFIG" => Ok(Self::Config),
            "HELP" => Ok(Self::Help),
            "VERSION" => Ok(Self::Version),
            _ => Err(CommandError::UnknownTable(word.to_owned())),
        }
    }

    fn table(self, context: &ServerContext) -> Table {
        match self {
            Self::Pools => tables::pools(context),
            Self::Clients => tables::clients(context),
            Self::Servers => tables::servers(context),
            Self::Stats => tables::stats(context),
            Self::Config => tables::config(context),
            Self::Help => Table::new(&["commands"], vec![row([&HELP])]),
            Self::Version => Table::new(&["version"], vec![row([&env!("CARGO_PKG_VERSION")])]),
        }
    }
}

/// Requests the end of a client's session.
fn disconnect(context: &ServerContext, number: String) -> Result<(), CommandError> {
    let is_known = number
        .parse()
        .is_ok_and(|number| context.clients.disconnect(number));
    if is_known {
        Ok(())
    } else {
        Err(CommandError::UnknownClient(number))
    }
}

/// Holds back new transactions, waits until those in progress have ended, and closes all connections to servers.
async fn pause(context: &ServerContext) -> Result<(), CommandError> {
    context.pool.pause();
    let has_transactions = || {
        let servers = context.pool.stats();
        servers.iter().any(|server| server.open > server.idle)
    };
    let mut polls = 0;
    while has_transactions() && polls < MAX_PAUSE_POLLS {
        context.clock().sleep(PAUSE_POLL_INTERVAL).await;
        polls += 1;
    }
    if has_transactions() {
        return Err(CommandError::TransactionsInProgress);
    }
    context.pool.reconnect();
    Ok(())
}

#[cfg(test)]
mod tests;
