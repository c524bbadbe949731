//! Measures latency, throughput and CPU time of statements through the node, compared with direct connections.

use std::path::Path;

use super::closed_loop::{self, Latencies, Request};
use super::{Figure, ProcessUsage, RUN_DURATION, Report};
use crate::postgres::PgEnvironment;
use crate::run::RunError;

/// Rounds for each figure. The fastest round is reported, because other load on the machine only adds latency.
const ROUNDS: usize = 3;
const CLIENT_COUNTS: [usize; 3] = [1, 32, 256];

/// Results of the same load with direct connections to the database and through the node.
struct Comparison {
    direct: Latencies,
    through_node: Latencies,
    /// The node's CPU time for each request, in microseconds.
    node_cpu_us: f64,
}

pub(super) async fn measure(program: &Path, report: Report<'_>) -> Result<(), RunError> {
    let environment = PgEnvironment::start(1, program, 0)?;
    for (request, name) in [
        (Request::Select, "prepared select"),
        (Request::Transaction, "transaction of three statements"),
    ] {
        for clients in CLIENT_COUNTS {
            if let Some(best) = best_round(&environment, clients, request).await? {
                report(figure(&format!("{name}, {clients} clients"), &best));
            }
        }
    }
    Ok(())
}

/// The round with the lowest median latency through the node.
async fn best_round(
    environment: &PgEnvironment,
    clients: usize,
    request: Request,
) -> Result<Option<Comparison>, RunError> {
    let mut best: Option<Comparison> = None;
    for _ in 0..ROUNDS {
        let round = compare(environment, clients, request).await?;
        let median = |comparison: &Comparison| comparison.through_node.quantile_us(0.5);
        if best
            .as_ref()
            .is_none_or(|best| median(&round) < median(best))
        {
            best = Some(round);
        }
    }
    Ok(best)
}

async fn compare(
    environment: &PgEnvironment,
    clients: usize,
    request: Request,
) -> Result<Comparison, RunError> {
    let database = environment.database_parameters(0);
    let node = environment.node_parameters();
    let direct = closed_loop::run(&database, clients, request, RUN_DURATION).await?;
    let cpu_before = ProcessUsage::read(environment.node_id())?.cpu_us;
    let through_node = closed_loop::run(&node, clients, request, RUN_DURATION).await?;
    let cpu_us = ProcessUsage::read(environment.node_id())?.cpu_us - cpu_before;
    Ok(Comparison {
        node_cpu_us: cpu_us / through_node.count().max(1) as f64,
        direct,
        through_node,
    })
}

fn figure(name: &str, comparison: &Comparison) -> Figure {
    let Comparison {
        direct,
        through_node,
        node_cpu_us,
    } = comparison;
    Figure {
        name: name.to_owned(),
        value: format!(
            "p50 {:.0} us direct, {:.0} us through the node (+{:.0}); p99 {:.0} us, {:.0} us; \
             {:.0} requests/s, {:.0}; {node_cpu_us:.1} us of node CPU per request",
            direct.quantile_us(0.5),
            through_node.quantile_us(0.5),
            through_node.quantile_us(0.5) - direct.quantile_us(0.5),
            direct.quantile_us(0.99),
            through_node.quantile_us(0.99),
            direct.throughput(),
            through_node.throughput()
        ),
    }
}
