#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

mod admission;
pub mod api;
mod choice;
mod figures;
mod gate;
mod health;
mod ledger;
mod lists;
mod probing;
mod state;

pub use api::*;
pub use state::Balancer;
