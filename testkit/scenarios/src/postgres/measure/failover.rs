//! Measures the service interruption of one client when one of two databases is killed or drained.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio_postgres::Client;

use super::{Figure, Report, client_error, connect, quantile};
use crate::postgres::PgEnvironment;
use crate::run::RunError;

/// The number of injected faults of each kind.
const FAULTS: usize = 40;
/// Pause before each fault.
const FAULT_INTERVAL: Duration = Duration::from_millis(30);
/// Time limit for the first response after a fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

#[derive(Clone, Copy)]
enum DatabaseFault {
    Kill,
    Drain,
}

impl DatabaseFault {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Drain => "drain",
        }
    }

    fn inject(self, environment: &mut PgEnvironment, database: usize) {
        match self {
            Self::Kill => environment.databases()[database].kill(),
            Self::Drain => environment.set_draining(Some(database)),
        }
    }

    fn clear(self, environment: &mut PgEnvironment, database: usize) {
        match self {
            Self::Kill => environment.databases()[database].restart(),
            Self::Drain => environment.set_draining(None),
        }
    }
}

/// State shared with the task of the client that probes the service.
#[derive(Clone, Default)]
struct Probe {
    /// When the last fault was injected; `None` after the first response that follows.
    fault_at: Rc<Cell<Option<Instant>>>,
    /// Time from each fault to the first response, in milliseconds.
    interruptions_ms: Rc<RefCell<Vec<f64>>>,
    is_stopped: Rc<Cell<bool>>,
}

impl Probe {
    /// Runs statements until `is_stopped` is set, and records the time of the first success after each fault.
    async fn run(self, client: Client) {
        while !self.is_stopped.get() {
            let is_served = client.batch_execute("SELECT 1").await.is_ok();
            if is_served && let Some(fault_at) = self.fault_at.take() {
                let interruption_ms = fault_at.elapsed().as_secs_f64() * 1e3;
                self.interruptions_ms.borrow_mut().push(interruption_ms);
            }
            if !is_served {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Waits for the first response after the fault, at most `RECOVERY_TIMEOUT`.
    async fn await_response(&self) {
        let started = Instant::now();
        while self.fault_at.get().is_some() && started.elapsed() < RECOVERY_TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

pub(super) async fn measure(program: &Path, report: Report<'_>) -> Result<(), RunError> {
    for fault in [DatabaseFault::Kill, DatabaseFault::Drain] {
        let interruptions_ms = sorted_interruptions_ms(program, fault).await?;
        let at = |fraction| quantile(&interruptions_ms, fraction).unwrap_or(f64::NAN);
        report(Figure {
            name: format!(
                "time to a client's first response after a {} of one of two databases ({} times)",
                fault.name(),
                interruptions_ms.len()
            ),
            value: format!("p50 {:.1} ms, longest {:.1} ms", at(0.5), at(1.0)),
        });
    }
    Ok(())
}

async fn sorted_interruptions_ms(
    program: &Path,
    fault: DatabaseFault,
) -> Result<Vec<f64>, RunError> {
    let mut environment = PgEnvironment::start(2, program, 0)?;
    let client = connect(&environment.node_parameters())
        .await
        .map_err(client_error)?;
    let probe = Probe::default();
    let probing = tokio::task::spawn_local(probe.clone().run(client));
    for round in 0..FAULTS {
        let database = round % 2;
        tokio::time::sleep(FAULT_INTERVAL).await;
        probe.fault_at.set(Some(Instant::now()));
        fault.inject(&mut environment, database);
        probe.await_response().await;
        fault.clear(&mut environment, database);
    }
    probe.is_stopped.set(true);
    let _ = probing.await;
    let mut interruptions_ms = probe.interruptions_ms.take();
    interruptions_ms.sort_by(f64::total_cmp);
    Ok(interruptions_ms)
}
