//! A soak test: injects random faults into running gateways and checks their promises.

#![allow(
    clippy::missing_panics_doc,
    reason = "test equipment: a panic ends the run and names the place"
)]

pub mod caller;
pub mod check;
pub mod cluster;
pub mod plan;
pub mod proxy;
pub mod report;
