//! The engine between fronts and the decision module: sole owner of one [`badgerpost_balancer::Balancer`] for each
//! fleet, of ids, timers, open requests and attempts. It knows no protocol: what a request carries and what
//! serves it are a [`Front`]'s types. Its [`Clock`] is the process's only one, and can be stepped from outside.

mod backends;
mod call_ids;
mod clock;
mod driver;
mod engine;
mod front;
mod idle_pool;
mod log_limiter;
mod open_count;
pub mod progress;
mod tally;
mod timers;
mod zones;

pub use clock::{Clock, Elapsed, Sleep, Stepped, nanos};
pub use engine::{Engine, Launcher, Waiting};
pub use front::{Asked, Ending, Front, Launch, Listed, Reply, Ticket, UnknownTenant};
pub use idle_pool::{IdlePool, Quiet};
pub use log_limiter::LogLimiter;
pub use open_count::{OpenCount, Opened};
pub use progress::spawn;
pub use tally::{ClassCounts, End, PeerFigures, Tally, ZoneFigure};
pub use zones::{FromPeer, ZoneWord};
