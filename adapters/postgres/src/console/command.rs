//! The console's commands.

use std::time::Duration;

use badgerpost_postgres_session::frame::Frame;
use badgerpost_postgres_session::server_messages::command_complete;

use super::table::{Table, row};
use super::tables;
use crate::context::ServerContext;

/// How often PAUSE looks whether all transactions have ended.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often it looks at most: for 60 s, as its error says.
const MAX_PAUSE_POLLS: usize = 3000;

const HELP: &str = "SHOW POOLS | CLIENTS | SERVERS | STATS | CONFIG | HELP; PAUSE; RESUME; RECONNECT; DISCONNECT n";

/// Why a command was not done, in words for the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CommandError {
    /// There is no such command.
    #[error("not understood; {HELP}")]
    UnknownCommand,
    /// SHOW knows no such table.
    #[error("there is no SHOW {0}; {HELP}")]
    UnknownTable(String),
    /// No client has this number.
    #[error("there is no client {0}; SHOW CLIENTS tells them")]
    UnknownClient(String),
    /// PAUSE waited in vain for the end of all transactions.
    #[error(
        "some transactions have not ended in 60 s; new ones still wait: RESUME lets them go on"
    )]
    TransactionsInProgress,
}

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Prints a table.
    Show(TableName),
    /// Holds new transactions back, waits for those in progress, and closes all connections to servers.
    Pause,
    /// Ends a pause.
    Resume,
    /// Closes each connection to a server once it is idle.
    Reconnect,
    /// Ends a client's session at the end of its transaction.
    Disconnect {
        /// The client's number, as the operator wrote it.
        client: String,
    },
}

/// What SHOW prints.
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
    /// Reads a command. Upper and lower case are the same.
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

    /// Runs the command and adds its response.
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

/// Ends a client's session.
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

/// Holds new transactions back, waits until those in progress have ended, and closes all connections.
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
