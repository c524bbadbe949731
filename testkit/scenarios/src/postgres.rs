//! PostgreSQL scenarios, run in real time: fake databases, a node in front of them, and clients with real drivers. The
//! seed determines the kinds of transactions and the times at which databases crash, become unresponsive or drain.

pub mod consistency;
mod environment;
mod faults;
mod load;
pub mod measure;
mod run;
mod scenario;

pub use environment::PgEnvironment;
pub use faults::DrainCounts;
pub use load::ConnectionParameters;
pub use run::{PgRunReport, run};
pub use scenario::{PgScenario, SHIPPED, find};
