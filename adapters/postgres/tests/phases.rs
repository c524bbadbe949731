//! Time limits and counts of the phases of a client's connection: authentication, cancel requests, the first login at a
//! server, the console.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use badgerpost_engine::{Clock, VirtualClock, nanos};
use common::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio_postgres::NoTls;
use tokio_postgres::error::SqlState;

/// The node's time limit for a client's authentication.
const ADMISSION_TIMEOUT: Duration = Duration::from_secs(5);
/// The request code of a `CancelRequest`, its second field.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;

#[test]
fn open_consoles_do_not_use_slots_of_unauthenticated_clients() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |config| {
            config.max_unauthenticated_clients = 5;
        })
        .await;
        let mut consoles = Vec::new();
        for _ in 0..20 {
            consoles.push(node.connect_console().await.expect("the console"));
        }
        for _ in 0..10 {
            let client = node.connect().await;
            client.batch_execute("select 1").await.expect("served");
        }
        for console in &consoles {
            query_value(console, "SHOW VERSION").await;
        }
        let statistics = consoles[0].simple_query("SHOW STATS").await;
        let text = format!("{:?}", statistics.expect("a table"));
        assert!(text.contains("unidentified"), "{text}");
    });
}

#[test]
fn the_number_of_consoles_is_limited() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let mut consoles = Vec::new();
        let error = loop {
            match node.connect_console().await {
                Ok(console) => consoles.push(console),
                Err(error) => break error,
            }
            assert!(consoles.len() <= 100, "there is no limit");
        };
        assert!(consoles.len() >= 20, "{}", consoles.len());
        assert_eq!(sqlstate(&error), Some(&SqlState::TOO_MANY_CONNECTIONS));
        consoles.clear();
        while node.connect_console().await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn an_idle_console_is_closed_with_idle_session_timeout() {
    run_test(async {
        let database = start_database();
        let virtual_clock = VirtualClock::at(0);
        let clock = Clock::from_virtual(virtual_clock.clone());
        let node = Node::start_with(&[database.address], clock, |_| {}).await;
        let mut config = node.driver_config("ann", "secret", "ops");
        let (client, connection) = config
            .dbname("badgerpost")
            .connect(NoTls)
            .await
            .expect("the console");
        let ended = tokio::task::spawn_local(connection);
        let advance = async |by: Duration| {
            let now = Clock::from_virtual(virtual_clock.clone()).now();
            virtual_clock.advance(now + nanos(by));
            // Gives the tasks woken by the clock time to run.
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        advance(ADMISSION_TIMEOUT * 10).await;
        query_value(&client, "SHOW VERSION").await;
        advance(Duration::from_secs(9 * 60)).await;
        query_value(&client, "SHOW VERSION").await;
        advance(Duration::from_secs(11 * 60)).await;
        let error = ended.await.expect("no panic").expect_err("ended");
        assert_eq!(sqlstate(&error), Some(&SqlState::IDLE_SESSION_TIMEOUT));
    });
}

#[test]
fn an_open_console_gets_admin_shutdown_when_the_node_stops() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let mut config = node.driver_config("ann", "secret", "ops");
        let (_client, connection) = config
            .dbname("badgerpost")
            .connect(NoTls)
            .await
            .expect("the console");
        node.stop();
        let error = connection.await.expect_err("ended");
        assert_eq!(sqlstate(&error), Some(&SqlState::ADMIN_SHUTDOWN));
    });
}

#[test]
fn a_pause_may_take_longer_than_the_authentication_timeout() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |config| {
            for class in &mut config.class {
                class.deadline_ms = 30_000;
            }
        })
        .await;
        let client = node.connect().await;
        client
            .batch_execute("begin; select 1")
            .await
            .expect("begun");
        let console = node.connect_console().await.expect("the console");
        let paused = console.batch_execute("PAUSE");
        let committed = async {
            tokio::time::sleep(ADMISSION_TIMEOUT + Duration::from_secs(1)).await;
            client.batch_execute("commit").await
        };
        let (paused, committed) = tokio::join!(paused, committed);
        committed.expect("committed");
        paused.expect("paused once the transaction has ended");
        console.batch_execute("RESUME").await.expect("resumed");
    });
}

/// Starts a proxy that forwards connections to a database and delays all of them, or cancel requests only.
async fn slow_proxy(
    database: SocketAddr,
    delay: Duration,
    delays_only_cancels: bool,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        loop {
            let (mut client, _) = listener.accept().await.unwrap();
            tokio::task::spawn_local(async move {
                let mut first = [0; 8];
                client.read_exact(&mut first).await.unwrap();
                let is_cancel = first[4..] == CANCEL_REQUEST_CODE.to_be_bytes();
                if is_cancel || !delays_only_cancels {
                    tokio::time::sleep(delay).await;
                }
                let mut server = TcpStream::connect(database).await.unwrap();
                server.write_all(&first).await.unwrap();
                let _ = copy_bidirectional(&mut client, &mut server).await;
            });
        }
    });
    address
}

/// The time limit for the first login at a server starts after the client's authentication.
#[test]
fn a_client_that_authenticates_late_can_wait_for_the_first_server_login() {
    run_test(async {
        let database = start_database();
        let delay = Duration::from_millis(1500);
        let server = slow_proxy(database.address, delay, false).await;
        let node = Node::start_with(&[server], Clock::system(), |_| {}).await;
        let socket = TcpStream::connect(node.address)
            .await
            .expect("a connection");
        tokio::time::sleep(ADMISSION_TIMEOUT - Duration::from_secs(1)).await;
        let config = node.driver_config("ann", "secret", "x");
        let connected = config.connect_raw(socket, NoTls).await;
        let (client, connection) = connected.expect("admitted");
        tokio::task::spawn_local(connection);
        client.batch_execute("select 1").await.expect("served");
    });
}

#[test]
fn a_client_that_does_not_authenticate_is_disconnected_at_the_timeout() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let mut silent = TcpStream::connect(node.address)
            .await
            .expect("a connection");
        let closed = async {
            let _ = silent.read(&mut [0; 1]).await;
        };
        let in_time = tokio::time::timeout(ADMISSION_TIMEOUT + Duration::from_secs(1), closed);
        in_time.await.expect("closed");
    });
}

/// Guards against evicting a cancel request in flight: the request would count as in flight forever, and the session's
/// server connections would never return to the pool.
#[test]
fn new_unauthenticated_clients_do_not_interrupt_a_cancel_request() {
    run_test(async {
        let database = start_database();
        let delay = Duration::from_millis(500);
        let server = slow_proxy(database.address, delay, true).await;
        let node = Node::start_with(&[server], Clock::system(), |config| {
            config.max_unauthenticated_clients = 2;
        })
        .await;
        let client = node.connect().await;
        let token = client.cancel_token();
        let slow = client.batch_execute("select pg_sleep(30)");
        let cancelled = async {
            while database.statements() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let request = tokio::task::spawn_local(async move { token.cancel_query(NoTls).await });
            tokio::time::sleep(delay / 4).await;
            let mut silent_clients = Vec::new();
            for _ in 0..20 {
                let mut silent = TcpStream::connect(node.address)
                    .await
                    .expect("a connection");
                // An incomplete packet, sent after the cancel request.
                silent.write_all(&[0; 3]).await.expect("written");
                tokio::time::sleep(Duration::from_millis(5)).await;
                silent_clients.push(silent);
            }
            let _ = request.await;
        };
        let (slow, ()) = tokio::join!(slow, cancelled);
        assert_eq!(
            sqlstate(&slow.expect_err("cancelled")),
            Some(&SqlState::QUERY_CANCELED)
        );
        let before = database.connections();
        for _ in 0..10 {
            client.batch_execute("select 1").await.expect("served");
        }
        let opened = database.connections() - before;
        assert!(opened <= 1, "{opened} connections for ten transactions");
    });
}

/// The node is suspended from before the server's response until after the transaction's deadline. The response is read
/// before the deadline is checked.
#[test]
fn a_response_received_before_the_deadline_counts_although_the_node_was_suspended() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |config| {
            for class in &mut config.class {
                class.deadline_ms = 1000;
            }
        })
        .await;
        let client = node.connect().await;
        client.batch_execute("select 1").await.expect("served");
        for _ in 0..5 {
            let statement = client.batch_execute("select pg_sleep(0.3)");
            let suspension = async {
                tokio::time::sleep(Duration::from_millis(100)).await;
                // Blocks the node's tasks, which run on this thread.
                std::thread::sleep(Duration::from_millis(1000));
            };
            let (statement, ()) = tokio::join!(statement, suspension);
            statement.expect("the response arrived before the deadline");
        }
    });
}
