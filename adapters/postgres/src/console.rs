//! The operators' console: the database `badgerpost`, for named users, readable with any client that sends simple
//! queries.

use std::fmt::Display;
use std::time::Duration;

use badgerpost_postgres_session::frame::{DecodeResult, Frame};
use badgerpost_postgres_session::server_messages::{self, ErrorReason, TransactionStatus};
use bytes::{BufMut, BytesMut};
use tokio::io::AsyncReadExt;

use crate::client::{Client, ClientError};
use crate::server::PostgresServer;

/// How often PAUSE looks whether all transactions have ended, and how often at most.
const LOOK: Duration = Duration::from_millis(20);
const LOOKS: usize = 3000;

const HELP: &str = "SHOW POOLS | CLIENTS | SERVERS | STATS | CONFIG | HELP; PAUSE; RESUME; RECONNECT; DISCONNECT n";

/// A table of texts.
struct Table {
    columns: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

fn texts<const N: usize>(values: [&dyn Display; N]) -> Vec<String> {
    values.iter().map(ToString::to_string).collect()
}

impl Table {
    fn frames(&self, out: &mut Vec<Frame>) {
        let mut head = BytesMut::new();
        head.put_u16(self.columns.len() as u16);
        for column in self.columns {
            head.put_slice(column.as_bytes());
            // No table, no column of one; text of any length, in its text form.
            head.put_slice(&[0, 0, 0, 0, 0, 0, 0]);
            head.put_u32(25);
            head.put_i16(-1);
            head.put_i32(-1);
            head.put_u16(0);
        }
        out.push(Frame::new(b'T', head.freeze()));
        for row in &self.rows {
            let mut body = BytesMut::new();
            body.put_u16(row.len() as u16);
            for text in row {
                body.put_u32(text.len() as u32);
                body.put_slice(text.as_bytes());
            }
            out.push(Frame::new(b'D', body.freeze()));
        }
        out.push(server_messages::command_complete("SHOW"));
    }
}

/// Serves the console until the client goes.
#[expect(clippy::too_many_lines, reason = "to be split with the module")]
pub async fn serve(
    front: &PostgresServer,
    mut client: Client,
    user: String,
) -> Result<(), ClientError> {
    tracing::info!(user, "console opened");
    let mut greeting = vec![Frame::new(b'R', &b"\0\0\0\0"[..])];
    for (name, value) in [
        (
            "server_version",
            concat!("16.0 (badgerpost ", env!("CARGO_PKG_VERSION"), ")"),
        ),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("standard_conforming_strings", "on"),
        ("integer_datetimes", "on"),
        ("TimeZone", "UTC"),
    ] {
        greeting.push(Frame::new(b'S', format!("{name}\0{value}\0").into_bytes()));
    }
    greeting.extend([
        Frame::new(b'K', &[0; 8][..]),
        TransactionStatus::Idle.ready_for_query(),
    ]);
    client.send(&greeting).await?;
    let mut skips = false;
    loop {
        let frame = match client.cutter.next_from_client()? {
            Some(DecodeResult::Frame(frame)) => frame,
            Some(DecodeResult::Chunk { .. }) => continue,
            None => {
                let mut buffer = vec![0; 1024];
                let read = client.stream.read(&mut buffer).await?;
                if read == 0 {
                    return Ok(());
                }
                client.cutter.push(&buffer[..read]);
                continue;
            }
        };
        match frame.tag {
            b'X' => return Ok(()),
            b'Q' => {
                let text =
                    String::from_utf8_lossy(frame.first_string().unwrap_or_default()).into_owned();
                let mut out = Vec::new();
                for command in text
                    .split(';')
                    .map(str::trim)
                    .filter(|command| !command.is_empty())
                {
                    tracing::info!(user, command, "console command");
                    if let Err(problem) = run(front, command, &mut out).await {
                        out.push(server_messages::error_response(
                            ErrorReason::Unsupported,
                            Some(&problem),
                        ));
                        break;
                    }
                }
                if out.is_empty() {
                    out.push(Frame::new(b'I', &b""[..]));
                }
                out.push(TransactionStatus::Idle.ready_for_query());
                client.send(&out).await?;
            }
            b'S' => {
                skips = false;
                client
                    .send(&[TransactionStatus::Idle.ready_for_query()])
                    .await?;
            }
            b'H' => {}
            _ if !std::mem::replace(&mut skips, true) => {
                let detail = "the console takes simple queries only";
                client
                    .send(&[server_messages::error_response(
                        ErrorReason::Unsupported,
                        Some(detail),
                    )])
                    .await?;
            }
            _ => {}
        }
    }
}

#[expect(clippy::too_many_lines, reason = "to be split with the module")]
async fn run(front: &PostgresServer, command: &str, out: &mut Vec<Frame>) -> Result<(), String> {
    let words: Vec<String> = command
        .split_whitespace()
        .map(str::to_ascii_uppercase)
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["SHOW", what] => {
            let table = match what {
                "POOLS" => pools(front),
                "CLIENTS" => clients(front),
                "SERVERS" => servers(front),
                "STATS" => stats(front),
                "CONFIG" => config(front),
                "HELP" => Table {
                    columns: &["commands"],
                    rows: vec![vec![HELP.to_owned()]],
                },
                "VERSION" => Table {
                    columns: &["version"],
                    rows: vec![vec![env!("CARGO_PKG_VERSION").to_owned()]],
                },
                _ => return Err(format!("there is no SHOW {what}; {HELP}")),
            };
            table.frames(out);
        }
        ["PAUSE"] => {
            front.pool.set_paused(true);
            let busy = || {
                front
                    .pool
                    .figures()
                    .iter()
                    .any(|server| server.open > server.idle)
            };
            let mut looks = 0;
            while busy() && looks < LOOKS {
                front.fleet.clock().sleep(LOOK).await;
                looks += 1;
            }
            if busy() {
                return Err(
                    "some transactions have not ended in 60 s; new ones still wait: RESUME lets them go on"
                        .to_owned(),
                );
            }
            front.pool.reconnect();
            out.push(server_messages::command_complete("PAUSE"));
        }
        ["RESUME"] => {
            front.pool.set_paused(false);
            out.push(server_messages::command_complete("RESUME"));
        }
        ["RECONNECT"] => {
            front.pool.reconnect();
            out.push(server_messages::command_complete("RECONNECT"));
        }
        ["DISCONNECT", number] => {
            let known = number
                .parse()
                .is_ok_and(|number| front.clients.disconnect(number));
            if !known {
                return Err(format!(
                    "there is no client {number}; SHOW CLIENTS tells them"
                ));
            }
            out.push(server_messages::command_complete("DISCONNECT"));
        }
        _ => return Err(format!("not understood; {HELP}")),
    }
    Ok(())
}

fn pools(front: &PostgresServer) -> Table {
    let rows = front.pool.figures().into_iter().map(|server| {
        let name = front.fleet.endpoint_name(server.place.0);
        let busy = server.open.saturating_sub(server.idle);
        let paused = if front.pool.is_paused() {
            "paused"
        } else {
            "active"
        };
        texts([
            &name,
            &server.place.1,
            &busy,
            &server.idle,
            &server.logging_in,
            &server.waiting,
            &server.hold_us,
            &server.served,
            &paused,
        ])
    });
    let columns = &[
        "server",
        "address",
        "sv_active",
        "sv_idle",
        "sv_login",
        "cl_waiting",
        "hold_us",
        "transactions",
        "state",
    ];
    Table {
        columns,
        rows: rows.collect(),
    }
}

fn clients(front: &PostgresServer) -> Table {
    let rows = front.clients.all().into_iter().map(|client| {
        let server = client.server().map(|at| at.to_string()).unwrap_or_default();
        let pin = client.pin().map(|pin| pin.to_string()).unwrap_or_default();
        texts([
            &client.number,
            &client.user,
            &client.database,
            &client.application,
            &client.from,
            &client.tls,
            &client.state(),
            &server,
            &pin,
            &client.served.get(),
        ])
    });
    let columns = &[
        "client",
        "user",
        "database",
        "application",
        "address",
        "tls",
        "state",
        "server",
        "pinned",
        "transactions",
    ];
    Table {
        columns,
        rows: rows.collect(),
    }
}

fn servers(front: &PostgresServer) -> Table {
    let serving: Vec<_> = front
        .fleet
        .endpoints_in_service()
        .into_iter()
        .map(|server| (server.backend, server.address))
        .collect();
    let rows = front.pool.figures().into_iter().map(|server| {
        let state = if serving.contains(&server.place) {
            "in service"
        } else {
            "leaving"
        };
        texts([
            &front.fleet.endpoint_name(server.place.0),
            &server.place.1,
            &state,
            &server.open,
            &server.served,
        ])
    });
    Table {
        columns: &["server", "address", "state", "connections", "transactions"],
        rows: rows.collect(),
    }
}

fn stats(front: &PostgresServer) -> Table {
    let (unidentified, evicted) = front.unidentified.counts();
    let (open, served) = (front.sessions.get(), front.clients.served());
    let rows = [
        texts([&"sessions", &open]),
        texts([&"transactions", &served]),
        texts([&"unidentified", &unidentified]),
        texts([&"unidentified_evicted", &evicted]),
    ];
    Table {
        columns: &["name", "value"],
        rows: rows.into(),
    }
}

fn config(front: &PostgresServer) -> Table {
    let config = &front.config;
    let rows = [
        texts([&"listen", &config.listen]),
        texts([&"zone", &config.zone]),
        texts([&"clients", &config.max_clients]),
        texts([&"unidentified", &config.max_unauthenticated_clients]),
        texts([&"pooling", &format!("{:?}", config.pooling).to_lowercase()]),
        texts([&"per_server", &config.max_connections_per_server]),
        texts([&"logins", &config.max_concurrent_logins]),
        texts([&"min_idle", &config.min_idle]),
        texts([&"idle_close_ms", &config.idle_timeout_ms]),
        texts([&"lifetime_ms", &config.max_lifetime_ms]),
        texts([
            &"tls",
            &config.tls.as_ref().map_or("off", |tls| {
                if tls.is_required {
                    "required"
                } else {
                    "offered"
                }
            }),
        ]),
        texts([
            &"server_tls",
            &if config.server_tls.is_some() {
                "required"
            } else {
                "off"
            },
        ]),
        texts([
            &"classes",
            &config
                .class
                .iter()
                .map(|class| class.name.as_str())
                .collect::<Vec<_>>()
                .join(", "),
        ]),
    ];
    Table {
        columns: &["key", "value"],
        rows: rows.into(),
    }
}
