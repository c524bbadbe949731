//! Closed-loop load: each client sends the next request as soon as the response to the previous one arrives.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio_postgres::{Client, Error};

use super::{client_error, connect, quantile};
use crate::postgres::load::ConnectionParameters;
use crate::run::RunError;

/// The request that a client repeats.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Request {
    /// A prepared SELECT.
    Select,
    /// BEGIN, a prepared SELECT and COMMIT.
    Transaction,
}

/// Latencies of all requests of a run.
pub(super) struct Latencies {
    sorted_us: Vec<f64>,
    run_duration: Duration,
}

impl Latencies {
    /// The latency, in microseconds, below which this fraction of the requests lies; 0 without requests.
    pub(super) fn quantile_us(&self, fraction: f64) -> f64 {
        quantile(&self.sorted_us, fraction).unwrap_or(0.0)
    }

    pub(super) fn count(&self) -> usize {
        self.sorted_us.len()
    }

    /// Completed requests per second.
    pub(super) fn throughput(&self) -> f64 {
        self.count() as f64 / self.run_duration.as_secs_f64()
    }
}

/// Connects the clients, has each repeat the request for `duration`, and returns the latencies of all requests.
pub(super) async fn run(
    parameters: &ConnectionParameters,
    client_count: usize,
    request: Request,
    duration: Duration,
) -> Result<Latencies, RunError> {
    let latencies: Rc<RefCell<Vec<f64>>> = Rc::default();
    let mut clients = Vec::new();
    for _ in 0..client_count {
        clients.push(connect(parameters).await.map_err(client_error)?);
    }
    let started = Instant::now();
    let mut tasks = Vec::new();
    for client in clients {
        let latencies = latencies.clone();
        tasks.push(tokio::task::spawn_local(async move {
            let client_latencies = repeat(&client, request, started, duration).await?;
            latencies.borrow_mut().extend(client_latencies);
            Ok::<(), Error>(())
        }));
    }
    for task in tasks {
        task.await.map_err(client_error)?.map_err(client_error)?;
    }
    let run_duration = started.elapsed();
    let mut sorted_us = latencies.take();
    sorted_us.sort_by(f64::total_cmp);
    Ok(Latencies {
        sorted_us,
        run_duration,
    })
}

/// Repeats a request on one connection; returns the latencies in microseconds.
async fn repeat(
    client: &Client,
    request: Request,
    started: Instant,
    duration: Duration,
) -> Result<Vec<f64>, Error> {
    let select = client.prepare("SELECT $1::int8").await?;
    let mut latencies = Vec::new();
    while started.elapsed() < duration {
        let sent = Instant::now();
        match request {
            Request::Select => drop(client.query_one(&select, &[&1_i64]).await?),
            Request::Transaction => {
                client.batch_execute("BEGIN").await?;
                client.query_one(&select, &[&1_i64]).await?;
                client.batch_execute("COMMIT").await?;
            }
        }
        latencies.push(sent.elapsed().as_secs_f64() * 1e6);
    }
    Ok(latencies)
}
